// Fault model of the platform's stores.
#include "standin/store_gate.h"

#include <algorithm>

#include "standin/countdown.h"

namespace arbutus::standin {

store_status status_of(gate_verdict result) {
  switch (result) {
    case gate_verdict::pass:
      return store_status::ok;
    case gate_verdict::down:
      return store_status::down;
    case gate_verdict::limited:
      return store_status::limited;
    case gate_verdict::unreachable:
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

gate_verdict store_gate::check_access(time_point now, store_access access,
                                      const data_centre_id& from) {
  if (faults_.cut_off.contains(from)) {
    return gate_verdict::unreachable;
  }
  if (faults_.down || now < faults_.down_until) {
    return gate_verdict::down;
  }
  const bool allowed = access == store_access::read
                           ? read_limit_.take(now, faults_.reads_per_second)
                           : write_limit_.take(now, faults_.writes_per_second);
  return allowed ? gate_verdict::pass : gate_verdict::limited;
}

gate_pass store_gate::admit(time_point now, store_access access, const data_centre_id& from) {
  const gate_pass decision{check_access(now, access, from), faults_.latency};
  if (decision.result != gate_verdict::pass) {
    ++counters_.refused;
  } else if (access == store_access::read) {
    ++counters_.reads;
  }
  return decision;
}

bool store_gate::lose_request() {
  return take_one(faults_.lose_requests);
}

bool store_gate::record_write() {
  ++counters_.writes;
  const bool lost = take_one(faults_.lose_replies) || random_.unit() < faults_.lose_fraction;
  counters_.lost_replies += lost ? 1 : 0;
  return lost;
}

}  // namespace arbutus::standin
