// Corrects the estimated times of a model by what its runs have shown.
//
// The estimate models passes, prefill and the wait for a slot. Real engines add a part that the
// parameters do not describe, some 100 ms, which is the same at any load. The correction is a
// moving mean of observed minus modelled time whose errors are clipped, so that a stall counts
// little more than a slow pass.
//
// The time of a whole request is corrected by a factor, the ratio of recent sums of observed and
// modelled times: the means of prompts and answers that are configured may differ from the present
// ones.
#pragma once

#include <map>

#include "base/id.h"
#include "base/units.h"

namespace arbutus {

struct latency_correction {
  duration first_event{};          // to be added to the modelled time
  double request_time_factor = 1;  // of the modelled time
};

struct calibration_settings {
  // Weight of a new observation. The first ones weigh more: a node sees a few runs of a model per
  // second and knows nothing before.
  double weight = 0.1;
  // An error beyond this counts as this much. It is above the spread of the observations, which is
  // about a pass (50 ms).
  duration max_error = 100ms;
  // Bounds of the correction: a larger one would rather be a fault of the target than its
  // constant part.
  duration min_correction = -50ms;
  duration max_correction = 400ms;
  // Decay of the sums of request times with each observation: some 30 recent requests count.
  double request_time_decay = 0.97;
  // Bound of the factor and its inverse, and of a request's time as a multiple of the modelled one.
  double max_request_time_factor = 3;
};

class latency_calibration {
 public:
  explicit latency_calibration(const calibration_settings& settings = {}) : settings_(settings) {}

  // A first event came `observed` after the request was sent; `modelled`: by estimate().
  void observe(const model_key& model, duration modelled, duration observed);

  // A request ended `observed` after it was sent; `modelled`: replica_estimate::request_time.
  void observe_request(const model_key& model, duration modelled, duration observed);

  [[nodiscard]] latency_correction correction(const model_key& model) const;

 private:
  struct model_state {
    double first_event_s = 0;  // correction
    double first_events = 0;   // observations
    // Sums of request times, which begin with a request as modelled.
    double modelled_s = 1;
    double observed_s = 1;
  };
  calibration_settings settings_;
  std::map<model_key, model_state> by_model_;
};

}  // namespace arbutus
