// The failures of a simulated day. They are generated from a seed in advance, so that policies with
// the same number of spares are compared on the same failures.
#pragma once

#include <cstdint>
#include <vector>

#include "base/rng.h"
#include "process/failure_day.h"

namespace arbutus {

struct vm_outage {
  std::uint32_t domain{};
  std::uint32_t index{};  // within the domain
  time_point begin;
  time_point end;
  duration notice{};         // zero: unannounced
  bool with_domain = false;  // the whole fabric domain fails
};

struct time_span {
  time_point begin;
  time_point end;
  [[nodiscard]] bool contains(time_point t) const { return begin <= t && t < end; }
};

struct failure_schedule {
  std::vector<vm_outage> outages;     // sorted by begin
  std::vector<time_span> unwritable;  // the table cannot be reached
};

inline constexpr duration day_length = 24h;

[[nodiscard]] failure_schedule draw_failures(const failure_day_settings& settings,
                                             std::uint64_t seed);

}  // namespace arbutus
