// How much of the log is written when there is more to say than the log may hold.
//
// Goes wrong without it: a load of refusals writes a line or two for each, some hundred bytes at
// some thousand a second, and whoever reads the log falls behind; lines are then lost at random,
// and of a request that a caller complains of one half is there. So requests are left out whole,
// chosen by their ids and decided when they arrive. What a node believes is written as long as
// anything is: it explains many requests at once.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/units.h"

namespace arbutus {

class log_budget {
 public:
  explicit log_budget(std::uint64_t bytes_per_second)
      : rate_(static_cast<double>(std::max<std::uint64_t>(bytes_per_second, 1))), left_(most()) {}

  // Whether a request that arrives now gets its lines. `id_hash` is the same at every node, so that
  // of the requests that are kept at half their share, most are kept at all nodes they come to.
  [[nodiscard]] bool keeps_request(time_point now, std::uint64_t id_hash) {
    refill(now);
    constexpr double all_hashes = 18446744073709551616.0;  // 2^64
    const double kept = share();
    const bool keeps = kept >= 1 || static_cast<double>(id_hash) < kept * all_hashes;
    left_out_ += keeps ? 0 : 1;
    return keeps;
  }

  // Whether a line of this length may be written.
  [[nodiscard]] bool spend(time_point now, std::size_t bytes) {
    refill(now);
    // Lines of requests that were kept, and of beliefs, may overdraw by as much as is saved up.
    if (left_ - static_cast<double>(bytes) < -most()) {
      ++lines_left_out_;
      return false;
    }
    left_ -= static_cast<double>(bytes);
    return true;
  }

  // Part of the requests that is kept: all while less than half of what was saved up is used.
  [[nodiscard]] double share() const {
    constexpr double full_share_at = 0.5;
    return std::clamp(left_ / (most() * full_share_at), 0.0, 1.0);
  }

  [[nodiscard]] std::uint64_t requests_left_out() const { return left_out_; }
  [[nodiscard]] std::uint64_t lines_left_out() const { return lines_left_out_; }

 private:
  // Saved up for bursts: a replica that breaks ends some dozen requests within 100 ms.
  static constexpr double saved_seconds = 2;

  [[nodiscard]] double most() const { return rate_ * saved_seconds; }

  void refill(time_point now) {
    if (last_ != time_point{} && now > last_) {
      left_ = std::min(most(), left_ + to_seconds(now - last_) * rate_);
    }
    last_ = std::max(last_, now);
  }

  double rate_;  // bytes a second
  double left_;  // bytes, from -most() to most()
  time_point last_{};
  std::uint64_t left_out_ = 0;
  std::uint64_t lines_left_out_ = 0;
};

}  // namespace arbutus
