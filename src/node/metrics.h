// Histograms per workspace and class, and counters, as Prometheus text.
//
// Each worker has a shard with its own lock, so that workers do not contend when recording; a
// scrape sums the shards.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/id.h"
#include "base/units.h"

namespace arbutus {

struct finished_call {
  workspace_id workspace;
  std::string request_class;
  std::string target;              // model or service
  std::string result;              // "done", "not_run", "unknown", "caller_gone"
  std::string reason;              // why the call failed; empty when done
  duration call_duration{};        // from the call's arrival to its end
  duration time_to_first_token{};  // from the call's arrival; 0: no token was sent
  duration queue_time{};           // from the call's arrival to its admission
  std::uint32_t attempts{};        // number of times that the call was sent to a target or a node
  std::uint32_t tokens{};          // sent to the caller
};

class metrics {
 public:
  explicit metrics(std::size_t shards);
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  void record(std::size_t shard, const finished_call& call);
  // Records the duration of an operation other than a request, as `arbutusworks_STEP_seconds`.
  void record_step(std::size_t shard, std::string_view step, duration took);
  // The same by model, as `arbutusworks_STEP_seconds{service="SERVICE",model="MODEL"}`.
  void record_model_step(std::size_t shard, std::string_view step, const model_key& model,
                         duration took);
  // Adds to a named counter; `labels` is written as given, for example `label="value"`.
  void count(std::size_t shard, std::string_view name, std::string_view labels = {},
             std::uint64_t by = 1);

  // The sum of all shards in Prometheus text format; `gauges` is appended unchanged.
  [[nodiscard]] std::string text(std::string_view gauges = {}) const;

 private:
  struct shard_state;
  std::size_t shards_;
  std::unique_ptr<shard_state[]> state_;
};

}  // namespace arbutus
