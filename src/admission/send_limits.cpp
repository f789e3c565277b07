// Rate limits that targets report in their responses.
#include "admission/send_limits.h"

#include <algorithm>
#include <cmath>

namespace arbutus {

namespace {

// Time constant of the exponential decay of a target's demand. At 1 s the decaying count of calls
// estimates calls per second.
constexpr duration demand_time_constant = 1s;

}  // namespace

send_limits::change send_limits::on_response(time_point sent_at, time_point now,
                                             const target_id& target,
                                             const announced_limit& response_limit) {
  if (response_limit.is_present && !response_limit.per_second) {
    return change::unreadable;
  }
  const auto found = limits_by_target_.find(target);
  if (response_limit.is_present) {
    const bool is_new =
        found == limits_by_target_.end() || found->second.per_second != response_limit.per_second;
    limits_by_target_[target] = {response_limit.per_second, now};
    return is_new ? change::announced : change::none;
  }
  const bool clears_limit = found != limits_by_target_.end() && found->second.per_second &&
                            sent_at > found->second.seen_at;
  if (!clears_limit) {
    return change::none;
  }
  found->second = {std::nullopt, now};
  return change::removed;
}

const send_limit* send_limits::find(const target_id& target) const {
  const auto found = limits_by_target_.find(target);
  return found == limits_by_target_.end() ? nullptr : &found->second;
}

void send_limits::received(const target_id& target, const send_limit& limit) {
  const auto found = limits_by_target_.find(target);
  if (found == limits_by_target_.end()) {
    if (limit.per_second) {
      limits_by_target_.emplace(target, limit);
    }
  } else if (limit.seen_at > found->second.seen_at) {
    found->second = limit;
  }
}

bool send_limits::is_limited(const target_id& target) const {
  const send_limit* limit = find(target);
  return limit != nullptr && limit->per_second;
}

double send_limits::decayed_demand(time_point now, const local_usage& use) {
  return use.demand * std::exp(-to_seconds(now - use.demand_at) / to_seconds(demand_time_constant));
}

void send_limits::note_demand(time_point now, const target_id& target) {
  local_usage& use = local_usage_[target];
  use.demand = decayed_demand(now, use) + 1;
  use.demand_at = now;
}

std::map<target_id, double> send_limits::demand(time_point now) const {
  constexpr double least = 0.01;
  std::map<target_id, double> result;
  for (const auto& [target, use] : local_usage_) {
    if (const double demand = decayed_demand(now, use); demand >= least) {
      result.emplace(target, demand);
    }
  }
  return result;
}

void send_limits::granted(time_point now, const target_id& target, std::uint64_t count) {
  std::vector<time_point>& grants = local_usage_[target].grants;
  grants.insert(grants.end(), count, now);
}

bool send_limits::may_send(time_point now, const target_id& target) const {
  if (!is_limited(target)) {
    return true;
  }
  const auto found = local_usage_.find(target);
  return found != local_usage_.end() &&
         std::ranges::any_of(found->second.grants, [&](time_point granted_at) {
           return now - granted_at < grant_validity;
         });
}

void send_limits::sent(time_point now, const target_id& target) {
  const auto found = local_usage_.find(target);
  if (found == local_usage_.end()) {
    return;
  }
  std::vector<time_point>& grants = found->second.grants;
  std::erase_if(grants, [&](time_point granted_at) { return now - granted_at >= grant_validity; });
  if (!grants.empty()) {
    grants.erase(grants.begin());
  }
}

std::string_view to_string(send_limits::change change) {
  switch (change) {
    case send_limits::change::none:
      return "none";
    case send_limits::change::announced:
      return "named";
    case send_limits::change::removed:
      return "gone";
    case send_limits::change::unreadable:
      return "unreadable";
  }
  return "?";
}

}  // namespace arbutus
