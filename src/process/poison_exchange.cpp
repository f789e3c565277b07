// Selects the rows of the poison tracker that a peer still needs.
#include "process/poison_exchange.h"

#include <algorithm>

#include "process/poison_wire.h"

namespace arbutus {

poison_update poison_exchange::update_for(time_point now, const node_id& peer,
                                          const poison_tracker& ledger) {
  peer_state& state = peers_[peer];
  if (now - state.sent_at > resend_timeout) {
    state.sent = state.acknowledged;
  }
  poison_update news;
  news.at = std::max(state.sent, state.acknowledged);
  if (news.at >= ledger.position()) {
    return news;
  }
  for (const poison_row& row : ledger.changed_since(now, news.at, max_rows)) {
    news.rows.push_back(encode(row));
  }
  state.sent = news.at;
  state.sent_at = now;
  return news;
}

void poison_exchange::acknowledged(const node_id& peer, const poison_position& at) {
  if (at.incarnation == incarnation_) {
    peer_state& state = peers_[peer];
    state.acknowledged = std::max(state.acknowledged, at.at);
  } else {
    // A restarted peer has none of the rows that were sent to its previous incarnation.
    peers_[peer].acknowledged = 0;
  }
}

poison_position poison_exchange::received_position(const node_id& peer) const {
  const auto found = peers_.find(peer);
  return found == peers_.end() ? poison_position{} : found->second.received;
}

}  // namespace arbutus
