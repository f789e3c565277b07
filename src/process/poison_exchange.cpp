// Selects the rows of the poison tracker that a peer still needs.
#include "process/poison_exchange.h"

#include <algorithm>

#include "process/poison_wire.h"

namespace arbutus {

poison_update poison_exchange::update_for(time_point now, const node_id& peer,
                                          const poison_tracker& tracker) {
  peer_state& state = peer_states_[peer];
  if (now - state.sent_at > resend_timeout) {
    state.sent = state.acknowledged;
  }
  poison_update update;
  update.at = std::max(state.sent, state.acknowledged);
  if (update.at >= tracker.position()) {
    return update;
  }
  for (const poison_row& row : tracker.changed_since(now, update.at, max_rows_per_update)) {
    update.rows.push_back(encode(row));
  }
  state.sent = update.at;
  state.sent_at = now;
  return update;
}

void poison_exchange::acknowledged(const node_id& peer, const poison_position& at) {
  if (at.incarnation == incarnation_) {
    peer_state& state = peer_states_[peer];
    state.acknowledged = std::max(state.acknowledged, at.at);
  } else {
    // A restarted peer has none of the rows that were sent to its previous incarnation.
    peer_states_[peer].acknowledged = 0;
  }
}

poison_position poison_exchange::received_position(const node_id& peer) const {
  const auto found = peer_states_.find(peer);
  return found == peer_states_.end() ? poison_position{} : found->second.received;
}

}  // namespace arbutus
