// Computes lower bounds of the times of observations: any uncertainty about clocks or delays makes
// an observation appear older, never newer.
#include "process/freshness.h"

namespace arbutus {

namespace {

duration scaled(duration d, double factor) {
  return duration{static_cast<duration::rep>(static_cast<double>(d.count()) * factor)};
}

}  // namespace

std::uint32_t echo_tag(std::uint64_t incarnation) {
  return static_cast<std::uint32_t>(incarnation & 0xffff);
}

// A sender with a broken clock may report a longer hold time than is possible; the result is still
// at most `now`.
time_point composed_after(time_point echoed_sent_at, duration held, time_point now, double drift) {
  const duration min_held = scaled(std::max(held, duration::zero()), 1.0 - drift);
  return std::min(now, echoed_sent_at + min_held);
}

time_point observed_after(time_point composed, duration age, time_point now, double drift) {
  const duration max_age = scaled(std::max(age, duration::zero()), 1.0 + drift);
  return std::min(composed, now) - max_age;
}

void sent_log::sent(std::uint64_t sequence, time_point at) {
  entries_.push_back({sequence, at});
  if (entries_.size() > max_sent_entries) {
    entries_.pop_front();
  }
}

std::optional<time_point> sent_log::sent_at(std::uint64_t sequence) const {
  const auto found = std::ranges::lower_bound(entries_, sequence, {}, &entry::sequence);
  if (found == entries_.end() || found->sequence != sequence) {
    return std::nullopt;
  }
  return found->at;
}

}  // namespace arbutus
