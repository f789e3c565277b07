// Chooses the peer that takes over a call of a node that cannot reach the targets.
//
// A node knows of a peer what its row in the store says and how its own calls went there. That is
// enough: a peer that cannot serve a call either says so at once.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "base/id.h"
#include "base/rng.h"
#include "base/units.h"
#include "version/inventory.h"

namespace arbutus {

struct relay_settings {
  // Peers that one call is handed to, one after the other. With half of all nodes cut off, each one
  // takes it with a probability of a half.
  std::size_t max_peers_per_call = 4;
  // A peer in another data centre is chosen as if it had this many times as many calls: traffic
  // between data centres is expensive.
  double remote_cost_factor = 3;
  // Calls are spread at random among peers whose cost differs by less than this fraction.
  double random_fraction = 0.2;
  duration unresponsive_pause = 1s;   // for which a peer that does not answer gets no calls
  duration not_taking_pause = 300ms;  // for which a peer that did not take a call gets no others
  // A peer with calls of this node is checked if nothing came from it for this long.
  duration silence_limit = 400ms;
};

class relay_peers {
 public:
  explicit relay_peers(const relay_settings& settings = {}) : settings_(settings) {}

  // The peer for a call; empty: there is none besides those in `tried`, or enough were tried.
  [[nodiscard]] std::optional<node_record> choose(time_point now,
                                                  std::span<const node_record> nodes,
                                                  const data_centre_id& home,
                                                  std::span<const node_id> tried,
                                                  rng& random) const;

  void sent(time_point now, const node_id& id);
  void ended(const node_id& id);
  void heard(time_point now, const node_id& id);
  void unresponsive(time_point now, const node_id& id);
  void not_taken(time_point now, const node_id& id);

  // Peers with calls of this node that have been silent for too long. Each is returned again only
  // after another such time.
  [[nodiscard]] std::vector<node_id> take_silent(time_point now);

 private:
  struct peer_state {
    std::size_t calls = 0;  // in progress
    time_point heard_at{};
    time_point usable_from{};
  };

  relay_settings settings_;
  std::map<node_id, peer_state> states_;
};

}  // namespace arbutus
