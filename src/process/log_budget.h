// Limits the log volume under load.
//
// Without this, thousands of refused requests a second, with one or two lines of some hundred bytes
// each, exceed what the log collector reads. Lines are then dropped at random, and the trace of a
// request that a caller complains about is incomplete. So all lines of a request are suppressed
// together; the choice is made by its id on arrival. Lines about the node's state have priority,
// since each explains many requests.
#pragma once

#include <algorithm>
#include <cstdint>

#include "base/units.h"

namespace arbutus {

class log_budget {
 public:
  explicit log_budget(std::uint64_t bytes_per_second)
      : bytes_per_second_(static_cast<double>(std::max<std::uint64_t>(bytes_per_second, 1))),
        available_bytes_(capacity()) {}

  // Whether the lines of a request that arrives now are written. `id_hash` is the same at every
  // node, so a request that is sampled at one node is mostly sampled at the others, too.
  [[nodiscard]] bool should_log_request(time_point now, std::uint64_t id_hash) {
    refill(now);
    constexpr double all_hashes = 18446744073709551616.0;  // 2^64
    const double logged_share = logged_request_share();
    const bool is_logged =
        logged_share >= 1 || static_cast<double>(id_hash) < logged_share * all_hashes;
    requests_suppressed_ += is_logged ? 0 : 1;
    return is_logged;
  }

  // Whether a log line of this length may be written; if so, it is deducted from the budget.
  [[nodiscard]] bool spend(time_point now, std::size_t bytes) {
    refill(now);
    // Lines of sampled requests and of the node's state may overdraw by the burst capacity.
    if (available_bytes_ - static_cast<double>(bytes) < -capacity()) {
      ++lines_suppressed_;
      return false;
    }
    available_bytes_ -= static_cast<double>(bytes);
    return true;
  }

  // Share of requests whose lines are logged, 0..1: all of them while less than half of the burst
  // capacity is used.
  [[nodiscard]] double logged_request_share() const {
    constexpr double full_share_at = 0.5;
    return std::clamp(available_bytes_ / (capacity() * full_share_at), 0.0, 1.0);
  }

  [[nodiscard]] std::uint64_t requests_suppressed() const { return requests_suppressed_; }
  [[nodiscard]] std::uint64_t lines_suppressed() const { return lines_suppressed_; }

 private:
  // Seconds of the byte rate that may be written in one burst: a replica that fails ends some dozen
  // requests within 100 ms, and their lines are written together.
  static constexpr double burst_seconds = 2;

  [[nodiscard]] double capacity() const { return bytes_per_second_ * burst_seconds; }

  void refill(time_point now) {
    if (last_refill_at_ != time_point{} && now > last_refill_at_) {
      available_bytes_ = std::min(
          capacity(), available_bytes_ + to_seconds(now - last_refill_at_) * bytes_per_second_);
    }
    last_refill_at_ = std::max(last_refill_at_, now);
  }

  double bytes_per_second_;  // bytes a second
  double available_bytes_;   // bytes, from -capacity() to capacity()
  time_point last_refill_at_{};
  std::uint64_t requests_suppressed_ = 0;
  std::uint64_t lines_suppressed_ = 0;
};

}  // namespace arbutus
