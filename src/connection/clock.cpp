// The clocks of this machine, from the standard library.
#include "connection/clock.h"

namespace arbutus {

time_point monotonic_now() {
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return time_point{std::chrono::duration_cast<duration>(since_start)};
}

wall_time wall_now() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return wall_time{std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count()};
}

}  // namespace arbutus
