// How long it takes until one of many nodes has written the row, and how many write in vain: nodes
// ranked by a delay against the holder of a lease. Drawn, not played message by message.
#pragma once

#include <cstdint>

#include "base/rng.h"
#include "process/failure_day.h"

namespace arbutus {

struct write_timing {
  duration delay{};  // from the change being seen until the row is written
  std::uint32_t wasted = 0;
  std::uint32_t lease_writes = 0;
};

struct write_situation {
  row_writer writer = row_writer::ranked;
  std::uint32_t nodes = 1;
  double absent_share = 0;    // of nodes that are dead or paused, and not yet known to be
  bool lease_lapsed = false;  // it could not be renewed: the table was away
};

inline constexpr duration lease_time = 10s;

[[nodiscard]] write_timing draw_write(const write_situation& situation, rng& random);

}  // namespace arbutus
