// Counts the grants and the demand of a node for one target.
#include "admission/grant_ledger.h"

#include <algorithm>
#include <cmath>

namespace arbutus {

namespace {

// Time constant of the exponential decay of a target's demand. At 1 s the decaying count of calls
// estimates calls per second.
constexpr duration demand_time_constant = 1s;

}  // namespace

double grant_ledger::demand(time_point now) const {
  return demand_ * std::exp(-to_seconds(now - demand_at_) / to_seconds(demand_time_constant));
}

void grant_ledger::note_demand(time_point now) {
  demand_ = demand(now) + 1;
  demand_at_ = now;
}

void grant_ledger::add(time_point expires_at, std::uint64_t count) {
  expiries_.insert(std::ranges::upper_bound(expiries_, expires_at), count, expires_at);
}

bool grant_ledger::has_grant(time_point now) const {
  return !expiries_.empty() && now < expiries_.back();
}

bool grant_ledger::use(time_point now) {
  remove_expired(now);
  if (expiries_.empty()) {
    return false;
  }
  expiries_.erase(expiries_.begin());
  return true;
}

std::uint64_t grant_ledger::remove_expired(time_point now) {
  const auto valid = std::ranges::upper_bound(expiries_, now);
  const auto count = static_cast<std::uint64_t>(valid - expiries_.begin());
  expiries_.erase(expiries_.begin(), valid);
  return count;
}

}  // namespace arbutus
