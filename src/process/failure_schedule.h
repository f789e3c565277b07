// The VM failures and table outages of a simulated day. They are generated from a seed in advance,
// so that standby policies with the same number of spares are compared on the same failures.
#pragma once

#include <cstdint>
#include <vector>

#include "base/rng.h"
#include "process/failure_simulation.h"

namespace arbutus {

struct vm_outage_window {
  std::uint32_t domain{};
  std::uint32_t index{};  // of the VM within its fabric domain
  time_point begin;
  time_point end;
  duration notice{};                // announced this long before `begin`; zero: unannounced
  bool whole_domain_fails = false;  // the whole fabric domain fails
};

struct time_span {
  time_point begin;
  time_point end;
  [[nodiscard]] bool contains(time_point t) const { return begin <= t && t < end; }
};

struct failure_schedule {
  std::vector<vm_outage_window> outages;      // sorted by begin
  std::vector<time_span> table_outage_spans;  // times at which the table cannot be reached
};

inline constexpr duration simulation_length = 24h;

[[nodiscard]] failure_schedule make_failure_schedule(const failure_simulation_settings& settings,
                                                     std::uint64_t seed);

}  // namespace arbutus
