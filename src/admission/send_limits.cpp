// Rate limits that targets report in their responses.
#include "admission/send_limits.h"

namespace arbutus {

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

void send_limits::note_demand(time_point now, const target_id& target) {
  local_usage_[target].note_demand(now);
}

std::map<target_id, double> send_limits::demand(time_point now) const {
  constexpr double least = 0.01;
  std::map<target_id, double> result;
  for (const auto& [target, usage] : local_usage_) {
    if (const double demand = usage.demand(now); demand >= least) {
      result.emplace(target, demand);
    }
  }
  return result;
}

void send_limits::granted(time_point now, const target_id& target, std::uint64_t count) {
  local_usage_[target].add(now + grant_validity, count);
}

bool send_limits::may_send(time_point now, const target_id& target) const {
  if (!is_limited(target)) {
    return true;
  }
  const auto found = local_usage_.find(target);
  return found != local_usage_.end() && found->second.has_grant(now);
}

void send_limits::sent(time_point now, const target_id& target) {
  if (const auto found = local_usage_.find(target); found != local_usage_.end()) {
    found->second.use(now);
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
