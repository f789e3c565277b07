// Counters and latency histograms of a hosted node, as Prometheus text.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "node/metrics.h"

namespace arbutus {

class hosted_metrics {
 public:
  // Label values must come from bounded sets, such as kinds of routes, reasons or actions, and
  // never be request ids.
  void count(std::string_view name, std::string_view labels = {}, std::uint64_t by = 1) {
    calls_.count(0, name, labels, by);
  }
  void record(const finished_call& call) { calls_.record(0, call); }
  // The time of a step that is not a request; `step` names its histogram.
  void record_step(std::string_view step, duration took) { calls_.record_step(0, step, took); }
  // The same by service and model.
  void record_model_step(std::string_view step, const model_key& model, duration took) {
    calls_.record_model_step(0, step, model, took);
  }
  [[nodiscard]] std::string text(std::string_view gauges) const { return calls_.text(gauges); }

 private:
  metrics calls_{1};
};

}  // namespace arbutus
