// The frames that wait for a slow peer, within a bound.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "connection/link.h"

namespace arbutus {

// Not synchronised.
class frame_queue {
 public:
  explicit frame_queue(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Adds a frame and returns how many were dropped for it: the oldest state first, then, so that
  // memory stays bounded even so, the oldest urgent ones. The newest frame is always kept.
  std::size_t push(std::vector<std::uint8_t> frame, frame_priority priority);

  // Drops all state; returns how many frames that were.
  std::size_t drop_state();

  // Moves frames with their prefixes to the end of `out`, urgent ones first, until it holds about
  // `enough` bytes. Returns how many frames those are.
  std::size_t take(std::vector<std::uint8_t>& out, std::size_t enough);

  [[nodiscard]] bool empty() const { return urgent_.empty() && state_.empty(); }
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  using frames = std::deque<std::vector<std::uint8_t>>;
  void pop(frames& from);

  std::size_t max_bytes_;
  std::size_t bytes_{0};  // payloads in both queues
  frames urgent_;
  frames state_;
};

}  // namespace arbutus
