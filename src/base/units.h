// Units of time that all parts share.
//
// The decision library never reads a clock. Callers pass `time_point now`, measured from any
// origin that is fixed within the process; it never decreases.
#pragma once

#include <chrono>
#include <cstdint>

namespace arbutus {

using duration = std::chrono::microseconds;

// Only the tag type of `time_point`: unlike a real clock it has no now(), so that decision code
// cannot read the time itself.
struct monotonic_clock {
  using rep = std::chrono::microseconds::rep;
  using period = std::chrono::microseconds::period;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<monotonic_clock>;
  static constexpr bool is_steady = true;
};

using time_point = std::chrono::time_point<monotonic_clock, duration>;

using namespace std::chrono_literals;

constexpr double to_seconds(duration d) {
  return static_cast<double>(d.count()) * 1e-6;
}

constexpr double to_milliseconds(duration d) {
  return static_cast<double>(d.count()) * 1e-3;
}

constexpr duration from_seconds(double seconds) {
  return duration{static_cast<duration::rep>(seconds * 1e6)};
}

// Time since the Unix epoch; only for times that outlive a process (expiry of records in the
// table).
struct wall_time {
  std::int64_t milliseconds{};
  auto operator<=>(const wall_time&) const = default;
};

}  // namespace arbutus
