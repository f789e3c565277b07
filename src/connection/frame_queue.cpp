// Queue of frames to be sent to a peer.
#include "connection/frame_queue.h"

#include "connection/link_wire.h"

namespace arbutus {

void frame_queue::pop(frames& from) {
  bytes_ -= from.front().size();
  from.pop_front();
}

std::size_t frame_queue::push(std::vector<std::uint8_t> frame, frame_priority priority) {
  const bool is_urgent = priority == frame_priority::urgent;
  std::size_t dropped = 0;
  const auto too_full = [&] { return bytes_ + frame.size() > max_bytes_; };
  for (; too_full() && !state_frames_.empty(); ++dropped) {
    pop(state_frames_);
  }
  for (; too_full() && !urgent_frames_.empty(); ++dropped) {
    pop(urgent_frames_);
  }
  bytes_ += frame.size();
  (is_urgent ? urgent_frames_ : state_frames_).push_back(std::move(frame));
  return dropped;
}

std::size_t frame_queue::drop_state_frames() {
  const std::size_t dropped = state_frames_.size();
  while (!state_frames_.empty()) {
    pop(state_frames_);
  }
  return dropped;
}

std::size_t frame_queue::take_batch(std::vector<std::uint8_t>& out, std::size_t batch_bytes) {
  std::size_t count = 0;
  for (; !empty() && out.size() < batch_bytes; ++count) {
    frames& from = urgent_frames_.empty() ? state_frames_ : urgent_frames_;
    append_frame(out, from.front());
    pop(from);
  }
  return count;
}

}  // namespace arbutus
