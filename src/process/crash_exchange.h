// Which rows of the crash ledger a node tells which peer: those that changed since what the peer
// said it has, and no more often than once in a while as long as the peer does not answer.
//
// Rows go from node to hub, between hubs, and from a hub to its nodes; whoever takes a row and
// learns by it passes it on. So each change crosses a link once or twice, and nothing is sent while
// nothing changes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "process/crash_ledger.h"

namespace arbutus {

// Position in the ledger of one life of a node.
struct crash_position {
  std::string life;
  std::uint64_t at = 0;
  bool operator==(const crash_position&) const = default;
};

struct crash_news {
  std::uint64_t at = 0;           // of the sender's ledger, with these rows
  std::vector<std::string> rows;  // encoded
};

class crash_exchange {
 public:
  explicit crash_exchange(std::string life) : life_(std::move(life)) {}

  // What to tell `peer` now; no rows: nothing new.
  [[nodiscard]] crash_news news_for(time_point now, const node_id& peer,
                                    const crash_ledger& ledger);
  // The peer has said how far it is.
  void acknowledged(const node_id& peer, const crash_position& at);
  // The peer told up to this position, to be acknowledged.
  void heard(const node_id& peer, const crash_position& at) { peers_[peer].heard = at; }
  [[nodiscard]] crash_position heard_from(const node_id& peer) const;

  // An answer comes with the peer's next beat; then the rows were lost, or the peer is away.
  static constexpr duration tell_again_after = 1s;
  // 64 rows are some 6 KB: a beat stays small beside the loads that it carries.
  static constexpr std::size_t most_rows = 64;

 private:
  struct peer_state {
    std::uint64_t acknowledged = 0;
    std::uint64_t told = 0;
    time_point told_at{};
    crash_position heard;
  };
  std::string life_;
  std::map<node_id, peer_state> peers_;
};

}  // namespace arbutus
