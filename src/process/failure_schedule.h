// When what fails in a played day, drawn from a seed beforehand, so that every policy meets the
// same day.
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
  duration notice{};  // zero: it comes unannounced
  bool with_domain = false;
};

struct time_span {
  time_point begin;
  time_point end;
  [[nodiscard]] bool contains(time_point t) const { return begin <= t && t < end; }
};

struct failure_schedule {
  std::vector<vm_outage> outages;     // by begin
  std::vector<time_span> unwritable;  // the row cannot be reached
};

inline constexpr duration day_length = 24h;

[[nodiscard]] failure_schedule draw_failures(const failure_day_settings& settings,
                                             std::uint64_t seed);

}  // namespace arbutus
