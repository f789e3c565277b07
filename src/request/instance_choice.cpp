// Chooses instances of services that are not models.
#include "request/instance_choice.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace arbutus {

double instance_table::failure_rate(time_point now, const instance_stats& k) const {
  const double half_lives =
      to_seconds(now - k.failures_at) / to_seconds(settings_.failure_half_life);
  return k.failures * std::exp2(-std::max(0.0, half_lives));
}

std::optional<std::size_t> instance_table::choose(time_point now,
                                                  std::span<const service_instance> candidates,
                                                  const data_centre_id& home,
                                                  std::span<const target_id> avoided) const {
  std::optional<std::size_t> best;
  double best_cost = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const service_instance& candidate = candidates[i];
    if (std::find(avoided.begin(), avoided.end(), candidate.id) != avoided.end()) {
      continue;
    }
    double cost = candidate.data_centre == home ? 0 : settings_.remote_load_penalty;
    if (const auto found = stats_.find(candidate.id); found != stats_.end()) {
      const instance_stats& k = found->second;
      const bool is_current = now - k.load_reported_at < settings_.reported_load_validity;
      cost += std::max(k.active_calls, is_current ? k.reported_calls : 0.0);
      cost += settings_.failure_load_penalty * failure_rate(now, k);
    }
    if (cost < best_cost) {
      best_cost = cost;
      best = i;
    }
  }
  return best;
}

void instance_table::sent(const target_id& id) {
  stats_[id].active_calls += 1;
}

void instance_table::ended(time_point now, const target_id& id, instance_call_outcome end) {
  instance_stats& k = stats_[id];
  k.active_calls = std::max(0.0, k.active_calls - 1);
  if (end == instance_call_outcome::withdrawn) {
    return;
  }
  const double before = failure_rate(now, k);
  const double outcome = end == instance_call_outcome::answered ? 0 : 1;
  k.failures = before + settings_.failure_rate_weight * (outcome - before);
  k.failures_at = now;
}

void instance_table::note_reported_load(time_point now, const target_id& id, double calls) {
  instance_stats& k = stats_[id];
  k.reported_calls = calls;
  k.load_reported_at = now;
}

void instance_table::forget(const std::vector<target_id>& removed) {
  for (const target_id& id : removed) {
    stats_.erase(id);
  }
}

double instance_table::active_calls(const target_id& id) const {
  const auto found = stats_.find(id);
  return found == stats_.end() ? 0 : found->second.active_calls;
}

}  // namespace arbutus
