// A random model of writing the row: how long it takes until one of many nodes has written it, and
// how many writes are wasted. Compares nodes that wait for a rank delay with a lease holder. Times
// are sampled; messages are not simulated one by one.
#pragma once

#include <cstdint>

#include "base/rng.h"
#include "process/failure_simulation.h"

namespace arbutus {

struct write_timing {
  duration write_delay{};  // from the detection of the change until the row is written
  std::uint32_t wasted_writes = 0;
  std::uint32_t lease_writes = 0;
};

struct write_conditions {
  writer_selection writer = writer_selection::ranked;
  std::uint32_t nodes = 1;
  double undetected_absent_fraction =
      0;                       // share of nodes that are dead or paused but not yet known to be
  bool lease_expired = false;  // the lease could not be renewed while the table was unavailable
};

inline constexpr duration lease_duration = 10s;

[[nodiscard]] write_timing simulate_write(const write_conditions& conditions, rng& random);

}  // namespace arbutus
