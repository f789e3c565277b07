// Max-min fairness among the workspaces of a node.
#include "admission/workspace_shares.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace arbutus {

double max_min_level(std::span<const double> rates, double fraction) {
  std::vector<double> sorted(rates.begin(), rates.end());
  std::ranges::sort(sorted);
  double left = 0;
  for (const double rate : sorted) {
    left += fraction * rate;
  }
  std::size_t others = sorted.size();
  for (const double rate : sorted) {
    const double share = left / static_cast<double>(others);
    if (rate > share) {
      return share;
    }
    left -= rate;
    --others;
  }
  return std::numeric_limits<double>::infinity();
}

double workspace_shares::counted_calls::rate(time_point now) const {
  return decayed * std::exp(-to_seconds(now - at) / to_seconds(time_constant)) /
         to_seconds(time_constant);
}

void workspace_shares::count_call(time_point now, const demand_key& key,
                                  const workspace_id& workspace) {
  counted_calls& counted = calls_[key][workspace];
  counted = {counted.rate(now) * to_seconds(time_constant) + 1, now};
}

double workspace_shares::fraction(time_point now, const demand_key& key,
                                  const workspace_id& workspace, double fraction) const {
  const auto found = calls_.find(key);
  if (fraction >= 1 || found == calls_.end()) {
    return fraction;
  }
  std::vector<double> rates;
  double own = 0;
  for (const auto& [id, counted] : found->second) {
    rates.push_back(counted.rate(now));
    own = id == workspace ? rates.back() : own;
  }
  return own > 0 ? std::min(1.0, max_min_level(rates, fraction) / own) : fraction;
}

void workspace_shares::forget_idle(time_point now) {
  const time_point oldest = now - 10 * time_constant;
  for (auto& [key, workspaces] : calls_) {
    std::erase_if(workspaces, [oldest](const auto& entry) { return entry.second.at < oldest; });
  }
  std::erase_if(calls_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace arbutus
