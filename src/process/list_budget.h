// Limits how many full lists a hub sends to its nodes in one round of heartbeats.
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
      : most_bytes_(std::max(least_bytes, link_mbps * bytes_per_mbps)) {}

  void begin_round() { passed_on_ = 0; }

  // Whether a list of this size may be sent in this round. At least one list is sent per round. The
  // other nodes get theirs in later rounds, or read the changes from the store.
  [[nodiscard]] bool take(std::size_t bytes) {
    if (passed_on_ > 0 && passed_on_ + bytes > most_bytes_) {
      return false;
    }
    passed_on_ += bytes;
    return true;
  }

  // Budget of one round.
  [[nodiscard]] std::size_t most_bytes() const { return most_bytes_; }

  // 100 ms of the link's bandwidth, which is half of the time between two rounds.
  static constexpr std::size_t bytes_per_mbps = 12'500;
  // The budget of a 20 Mbit/s link.
  static constexpr std::size_t least_bytes = 20 * bytes_per_mbps;

 private:
  std::size_t most_bytes_;
  std::size_t passed_on_ = 0;
};

}  // namespace arbutus
