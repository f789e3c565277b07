// How old an observation that came from a peer may be.
//
// Clocks of nodes are not synchronised and a message may be delayed without limit: a peer's "seen
// 200 ms ago" that lay in a socket buffer for 30 s would renew the permission to route to a dead
// target. Each message therefore echoes the newest message that its sender had from the receiver.
// The receiver knows by its own clock when it sent that one, and the echo cannot be older.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/units.h"

namespace arbutus {

// Travels with each message to one peer.
struct message_stamp {
  std::uint64_t incarnation{};  // of the sender's process; differs after every start
  std::uint64_t sequence{};     // of the sender to this peer, from 1
  std::uint64_t echo_of{};      // newest sequence had from this peer; 0: none yet
  duration echo_held{};         // time since that one was received
  std::uint32_t echo_tag{};     // low bits of the incarnation that sent the echoed message
  auto operator<=>(const message_stamp&) const = default;
};

// Bits of an incarnation that an echo repeats: a node that has restarted must not take an answer
// to its predecessor for one to itself.
[[nodiscard]] std::uint32_t echo_tag(std::uint64_t incarnation);

// Lower bound, by the receiver's clock, of the moment a message was composed: it was after the
// echoed message was sent plus the time the peer held that, less what the clocks may drift.
// Never later than `now`.
[[nodiscard]] time_point composed_after(time_point echoed_sent_at, duration held, time_point now,
                                        double drift);

// Lower bound of the moment of an observation of that age in such a message.
[[nodiscard]] time_point observed_after(time_point composed, duration age, time_point now,
                                        double drift);

// When this node sent its newest messages to one peer.
class sent_log {
 public:
  void sent(std::uint64_t sequence, time_point at);
  // Empty when the sequence was never sent, or so long ago that nothing follows from it.
  [[nodiscard]] std::optional<time_point> sent_at(std::uint64_t sequence) const;

 private:
  struct entry {
    std::uint64_t sequence;
    time_point at;
  };
  std::deque<entry> entries_;  // rising sequences, at most `depth`
  static constexpr std::size_t depth = 64;
};

}  // namespace arbutus
