// Selects the rows of the poison tracker that a peer still needs.
#include "process/crash_exchange.h"

#include <algorithm>

#include "process/crash_wire.h"

namespace arbutus {

crash_news crash_exchange::news_for(time_point now, const node_id& peer,
                                    const crash_ledger& ledger) {
  peer_state& state = peers_[peer];
  if (now - state.sent_at > tell_again_after) {
    state.sent = state.acknowledged;
  }
  crash_news news;
  news.at = std::max(state.sent, state.acknowledged);
  if (news.at >= ledger.position()) {
    return news;
  }
  for (const crash_row& row : ledger.changed_since(now, news.at, max_rows)) {
    news.rows.push_back(encode(row));
  }
  state.sent = news.at;
  state.sent_at = now;
  return news;
}

void crash_exchange::acknowledged(const node_id& peer, const crash_position& at) {
  if (at.life == incarnation_) {
    peer_state& state = peers_[peer];
    state.acknowledged = std::max(state.acknowledged, at.at);
  } else {
    // A restarted peer has none of the rows that were sent to its previous incarnation.
    peers_[peer].acknowledged = 0;
  }
}

crash_position crash_exchange::heard_from(const node_id& peer) const {
  const auto found = peers_.find(peer);
  return found == peers_.end() ? crash_position{} : found->second.received;
}

}  // namespace arbutus
