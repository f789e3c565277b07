// Stand-in for the weight store: one rate limit shared by all loads.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/units.h"

namespace arbutus::standin {

class weight_standin {
 public:
  // `bytes_per_second` is the rate that all engines loading weights share; 0: no limit.
  explicit weight_standin(double bytes_per_second = 0) : bytes_per_second_(bytes_per_second) {}

  void set_rate(double bytes_per_second) { bytes_per_second_ = bytes_per_second; }

  // Duration of a load of weights that starts now. The store serves loads one after the other; the
  // last one of a replica's members then finishes at the same time as if all shared the rate
  // equally.
  [[nodiscard]] duration load_time(time_point now, std::uint64_t bytes) {
    if (bytes_per_second_ <= 0) {
      return duration{};
    }
    free_at_ = std::max(free_at_, now);
    free_at_ += from_seconds(static_cast<double>(bytes) / bytes_per_second_);
    loaded_bytes_ += bytes;
    return free_at_ - now;
  }

  [[nodiscard]] std::uint64_t loaded_bytes() const noexcept { return loaded_bytes_; }

 private:
  double bytes_per_second_;
  time_point free_at_;
  std::uint64_t loaded_bytes_{};
};

}  // namespace arbutus::standin
