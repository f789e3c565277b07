// Fault model of the platform's stores.
#include "standin/store_fault_model.h"

#include <algorithm>

#include "standin/countdown.h"

namespace arbutus::standin {

store_status status_of(access_result result) {
  switch (result) {
    case access_result::pass:
      return store_status::ok;
    case access_result::down:
      return store_status::down;
    case access_result::limited:
      return store_status::limited;
    case access_result::unreachable:
      return store_status::no_response;
  }
  return store_status::down;
}

bool rate_limit::take(time_point now, double per_second) {
  if (per_second <= 0) {
    started_ = false;
    return true;
  }
  if (!started_) {
    started_ = true;
    filled_at_ = now;
    tokens_ = per_second;
  }
  const double gained = to_seconds(now - filled_at_) * per_second;
  tokens_ = std::clamp(tokens_ + gained, 0.0, std::max(1.0, per_second));
  filled_at_ = now;
  constexpr double rounding = 1e-9;
  if (tokens_ < 1.0 - rounding) {
    return false;
  }
  tokens_ = std::max(0.0, tokens_ - 1.0);
  return true;
}

access_result store_fault_model::check_access(time_point now, store_access access,
                                              const data_centre_id& from) {
  if (faults_.cut_off.contains(from)) {
    return access_result::unreachable;
  }
  if (faults_.down || now < faults_.down_until) {
    return access_result::down;
  }
  const bool allowed = access == store_access::read
                           ? read_limit_.take(now, faults_.reads_per_second)
                           : write_limit_.take(now, faults_.writes_per_second);
  return allowed ? access_result::pass : access_result::limited;
}

access_decision store_fault_model::admit(time_point now, store_access access,
                                         const data_centre_id& from) {
  const access_decision decision{check_access(now, access, from), faults_.latency};
  if (decision.result != access_result::pass) {
    ++counters_.refused;
  } else if (access == store_access::read) {
    ++counters_.reads;
  }
  return decision;
}

bool store_fault_model::should_lose_request() {
  return decrement_if_positive(faults_.lose_requests);
}

bool store_fault_model::record_write() {
  ++counters_.writes;
  const bool lost =
      decrement_if_positive(faults_.lose_replies) || random_.unit() < faults_.lose_fraction;
  counters_.lost_replies += lost ? 1 : 0;
  return lost;
}

}  // namespace arbutus::standin
