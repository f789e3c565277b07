// Reads the clocks of this machine.
#include "connection/clock.h"

#include <ctime>

namespace arbutus {

time_point monotonic_now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return time_point{std::chrono::duration_cast<duration>(std::chrono::seconds{now.tv_sec} +
                                                         std::chrono::nanoseconds{now.tv_nsec})};
}

duration thread_processor_time() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::duration_cast<duration>(std::chrono::seconds{used.tv_sec} +
                                              std::chrono::nanoseconds{used.tv_nsec});
}

std::chrono::steady_clock::time_point to_steady(time_point t) {
  if (t == time_point::max()) {
    return std::chrono::steady_clock::time_point::max();
  }
  return std::chrono::steady_clock::now() + (t - monotonic_now());
}

wall_time wall_now() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return wall_time{std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count()};
}

}  // namespace arbutus
