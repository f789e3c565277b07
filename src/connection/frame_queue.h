// Bounded queue of frames to be sent to a peer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "connection/link.h"

namespace arbutus {

// Not thread-safe: the user of the queue locks a mutex.
class frame_queue {
 public:
  explicit frame_queue(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Adds a frame and returns the number of frames dropped to make room: first the oldest state,
  // then the oldest urgent frames, so that memory stays bounded in any case. The new frame is
  // always kept.
  std::size_t push(std::vector<std::uint8_t> frame, frame_priority priority);

  // Drops all frames of priority `state` and returns their number.
  std::size_t drop_state_frames();

  // Appends frames with their length prefixes to `out`, urgent ones first, until it holds at least
  // `batch_bytes` bytes or the queue is empty. Returns the number of frames.
  std::size_t take_batch(std::vector<std::uint8_t>& out, std::size_t batch_bytes);

  [[nodiscard]] bool empty() const { return urgent_frames_.empty() && state_frames_.empty(); }
  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  using frames = std::deque<std::vector<std::uint8_t>>;
  void pop(frames& from);

  std::size_t max_bytes_;
  std::size_t bytes_{0};  // total payload in both queues
  frames urgent_frames_;
  frames state_frames_;
};

}  // namespace arbutus
