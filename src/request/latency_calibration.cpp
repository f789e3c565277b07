// Moving means of the errors of estimated times.
#include "request/latency_calibration.h"

#include <algorithm>

namespace arbutus {

void latency_calibration::observe(const model_key& model, duration modelled, duration observed) {
  model_state& state = by_model_[model];
  state.first_events += 1;
  const double weight = std::max(settings_.weight, 1 / state.first_events);
  const double limit = to_seconds(settings_.max_error);
  const double error = to_seconds(observed - modelled) - state.first_event_s;
  state.first_event_s =
      std::clamp(state.first_event_s + weight * std::clamp(error, -limit, limit),
                 to_seconds(settings_.min_correction), to_seconds(settings_.max_correction));
}

void latency_calibration::observe_request(const model_key& model, duration modelled,
                                          duration observed) {
  model_state& state = by_model_[model];
  const double known = to_seconds(modelled);
  const double limit = settings_.max_request_time_factor * known;
  state.modelled_s = settings_.request_time_decay * state.modelled_s + known;
  state.observed_s =
      settings_.request_time_decay * state.observed_s + std::min(to_seconds(observed), limit);
}

latency_correction latency_calibration::correction(const model_key& model) const {
  const auto found = by_model_.find(model);
  if (found == by_model_.end()) {
    return {};
  }
  const model_state& state = found->second;
  const double limit = settings_.max_request_time_factor;
  return {from_seconds(state.first_event_s),
          std::clamp(state.observed_s / std::max(state.modelled_s, 1e-6), 1 / limit, limit)};
}

}  // namespace arbutus
