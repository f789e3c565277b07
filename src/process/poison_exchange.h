// Selects which rows of the poison tracker a node sends to each peer: those that changed since the
// position that the peer has acknowledged. Unacknowledged rows are resent after a timeout.
//
// Rows go from node to hub, between hubs, and from a hub to its nodes. A node that learns something
// from a row forwards it. So each change crosses a link once or twice, and nothing is sent while
// nothing changes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "process/poison_tracker.h"

namespace arbutus {

// Position in the tracker of one incarnation of a node.
struct poison_position {
  std::string incarnation;
  std::uint64_t at = 0;
  bool operator==(const poison_position&) const = default;
};

struct poison_update {
  std::uint64_t at = 0;           // position of the sender's tracker that these rows reach
  std::vector<std::string> rows;  // each an encoded poison_row
};

class poison_exchange {
 public:
  explicit poison_exchange(std::string incarnation) : incarnation_(std::move(incarnation)) {}

  // The rows to send to `peer` now; empty if nothing changed.
  [[nodiscard]] poison_update update_for(time_point now, const node_id& peer,
                                         const poison_tracker& tracker);
  // `peer` reported the position of this node's tracker that it has received.
  void acknowledged(const node_id& peer, const poison_position& at);
  // `peer` sent its rows up to this position; reported back to it as received.
  void received(const node_id& peer, const poison_position& at) {
    peer_states_[peer].received = at;
  }
  [[nodiscard]] poison_position received_position(const node_id& peer) const;

  // Rows are resent if the peer has not acknowledged them for this long. The acknowledgement comes
  // with its next heartbeat; if it is missing, the rows were lost or the peer is unreachable.
  static constexpr duration resend_timeout = 1s;
  // Rows sent in one heartbeat: 64 rows are about 6 KB, which is small compared with the target
  // loads that a heartbeat carries.
  static constexpr std::size_t max_rows_per_update = 64;

 private:
  struct peer_state {
    std::uint64_t acknowledged = 0;
    std::uint64_t sent = 0;
    time_point sent_at{};
    poison_position received;
  };
  std::string incarnation_;
  std::map<node_id, peer_state> peer_states_;
};

}  // namespace arbutus
