// Which share of a data centre's grants for warming targets a hub may issue.
//
// Several nodes of a data centre may act as its hub at once, for instance when it is partitioned.
// Each issues the part of the rate that corresponds to the nodes that follow it. A node follows at
// most one hub at a time and pauses between two, so the shares of all hubs add up to at most one,
// whatever each of them assumes.
#pragma once

#include <cstddef>
#include <map>

#include "base/id.h"
#include "base/units.h"

namespace arbutus {

// On each node: the hub that its heartbeats name.
class followed_hub {
 public:
  // Sets the node's current hub; empty if there is none.
  void update(time_point now, const node_id& hub);
  // The hub to name; empty for `change_pause` after a change, so that the previous hub has stopped
  // counting this node before the next one starts.
  [[nodiscard]] node_id named(time_point now) const;

  static constexpr duration change_pause = 500ms;

 private:
  node_id hub_;
  time_point changed_at_{};
};

// On a hub: the nodes that follow it.
class hub_followers {
 public:
  // A heartbeat of the node, sent after `valid_from` by this hub's clock, names this hub or not.
  void heard(time_point valid_from, time_point now, const node_id& node, bool names_this_hub);
  // Nodes that have followed this hub during all of the time since `from`.
  [[nodiscard]] std::size_t count(time_point from, time_point now) const;
  // The share of the rate that accrues from `from` to `now`. `known_nodes`: of the data centre,
  // zero if they are not known yet.
  [[nodiscard]] double share(time_point from, time_point now, std::size_t known_nodes) const;

  // A node counts while its newest heartbeat is younger than this. After a suspension of this hub,
  // what it had heard before is older.
  static constexpr duration max_age = followed_hub::change_pause;
  // A node that has just begun to follow counts after this. Grants of its previous hub may have
  // been issued for a whole interval between heartbeats at once; they have expired by then.
  static constexpr duration settle_time = 200ms;

 private:
  struct follower {
    time_point since{};       // it has named no other hub since
    time_point valid_from{};  // of its newest heartbeat
  };
  std::map<node_id, follower> followers_;
};

}  // namespace arbutus
