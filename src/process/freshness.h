// Upper bounds for the age of observations received from peers.
//
// Clocks of nodes are not synchronised, and a message may be delayed without limit: an observation
// sent as 200 ms old that stays in a socket buffer for 30 s would renew the permission to route to
// a dead target. Each message therefore echoes the newest message that its sender received from the
// receiver. The receiver knows by its own clock when it sent that message, and the echo cannot be
// older.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>

#include "base/units.h"

namespace arbutus {

// Sent with each message to one peer.
struct message_stamp {
  std::uint64_t incarnation{};  // of the sender's process; differs after every start
  std::uint64_t sequence{};     // of the messages from the sender to this peer, from 1
  std::uint64_t echo_of{};      // newest sequence received from this peer; 0: none yet
  duration echo_hold_time{};    // time since that message was received
  std::uint32_t echo_tag{};     // low bits of the incarnation that sent the echoed message
  auto operator<=>(const message_stamp&) const = default;
};

// Bits of an incarnation that an echo repeats. They keep a restarted node from accepting an echo
// of a message that its previous process sent.
[[nodiscard]] std::uint32_t echo_tag(std::uint64_t incarnation);

// Lower bound, by the receiver's clock, of the time at which a message was composed: the time the
// echoed message was sent plus the time the peer held it, less the clock drift. Never later than
// `now`.
[[nodiscard]] time_point composed_after(time_point echoed_sent_at, duration held, time_point now,
                                        double drift);

// Lower bound, by the receiver's clock, of the time of an observation that had this age when the
// message that carries it was composed.
[[nodiscard]] time_point observed_after(time_point composed, duration age, time_point now,
                                        double drift);

// Send times of this node's newest messages to one peer.
class sent_log {
 public:
  void sent(std::uint64_t sequence, time_point at);
  // When the message with this sequence was sent. Empty when there was none, or when it is older
  // than the last `max_sent_entries` messages.
  [[nodiscard]] std::optional<time_point> sent_at(std::uint64_t sequence) const;

 private:
  struct entry {
    std::uint64_t sequence;
    time_point at;
  };
  std::deque<entry> entries_;  // by ascending sequence, at most `max_sent_entries`
  static constexpr std::size_t max_sent_entries = 64;
};

}  // namespace arbutus
