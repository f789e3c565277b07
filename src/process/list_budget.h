// Limits how many full lists of targets a hub sends to its nodes in one round of heartbeats.
//
// Without a limit, all nodes that start together are behind their hub, and it sends its full list
// to each of them in every heartbeat until they acknowledge it. This saturates the hub's link, and
// nodes still use leaving targets after four seconds.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace arbutus {

class list_budget {
 public:
  // `link_mbps`: bandwidth of the node's own link; 0 if unknown.
  explicit list_budget(std::uint32_t link_mbps)
      : max_bytes_(std::max(min_bytes, link_mbps * bytes_per_mbps)) {}

  void begin_round() { sent_bytes_ = 0; }

  // Whether a list of this size may be sent in this round. At least one list is sent per round. The
  // other nodes get theirs in later rounds, or read the changes from the store.
  [[nodiscard]] bool try_spend(std::size_t bytes) {
    if (sent_bytes_ > 0 && sent_bytes_ + bytes > max_bytes_) {
      return false;
    }
    sent_bytes_ += bytes;
    return true;
  }

  // Budget of one round of heartbeats, in bytes.
  [[nodiscard]] std::size_t max_bytes() const { return max_bytes_; }

  // Budget per Mbit/s of the link: what the link carries in 100 ms, which is half of the time
  // between two rounds of heartbeats.
  static constexpr std::size_t bytes_per_mbps = 12'500;
  // The budget of a 20 Mbit/s link.
  static constexpr std::size_t min_bytes = 20 * bytes_per_mbps;

 private:
  std::size_t max_bytes_;
  std::size_t sent_bytes_ = 0;
};

}  // namespace arbutus
