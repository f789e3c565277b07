// Corrects smoothed rates by their slope.
#include "admission/demand_trend.h"

#include <algorithm>

namespace arbutus {

void demand_trend::update(time_point now, const model_demand& smoothed) {
  samples_.push_back({now, smoothed});
  while (samples_.size() > 2 && now - samples_[1].at >= slope_interval) {
    samples_.pop_front();
  }
  current_ = smoothed;
  const sample& before = samples_.front();
  // A sample much older than the interval tells nothing of the present slope.
  if (now - before.at < slope_interval || now - before.at > 2 * slope_interval) {
    return;
  }
  const double lead = to_seconds(demand_table::time_constant) / to_seconds(now - before.at);
  for (auto& [key, rate] : current_) {
    const auto found = before.smoothed.find(key);
    const double known = rate.calls_per_second;
    const double past = found == before.smoothed.end() ? 0 : found->second.calls_per_second;
    if (known <= 0) {
      continue;
    }
    const double factor =
        std::clamp(1 + lead * (known - past) / known, 1 / max_correction, max_correction);
    rate.calls_per_second *= factor;
    rate.prompt_tokens_per_second *= factor;
    rate.answer_tokens_per_second *= factor;
  }
}

}  // namespace arbutus
