// Rows of the crash ledger for peers.
#include "process/crash_exchange.h"

#include <algorithm>

#include "process/crash_wire.h"

namespace arbutus {

crash_news crash_exchange::news_for(time_point now, const node_id& peer,
                                    const crash_ledger& ledger) {
  peer_state& state = peers_[peer];
  if (now - state.told_at > tell_again_after) {
    state.told = state.acknowledged;
  }
  crash_news news;
  news.at = std::max(state.told, state.acknowledged);
  if (news.at >= ledger.position()) {
    return news;
  }
  for (const crash_row& row : ledger.changed_since(now, news.at, most_rows)) {
    news.rows.push_back(encode(row));
  }
  state.told = news.at;
  state.told_at = now;
  return news;
}

void crash_exchange::acknowledged(const node_id& peer, const crash_position& at) {
  if (at.life == life_) {
    peer_state& state = peers_[peer];
    state.acknowledged = std::max(state.acknowledged, at.at);
  } else {
    // A peer that has started again knows nothing of what its earlier life was told.
    peers_[peer].acknowledged = 0;
  }
}

crash_position crash_exchange::heard_from(const node_id& peer) const {
  const auto found = peers_.find(peer);
  return found == peers_.end() ? crash_position{} : found->second.heard;
}

}  // namespace arbutus
