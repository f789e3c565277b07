// Chooses the peer that takes over a call of a node that cannot reach the targets.
//
// Many peers may be cut off as well, at times most of a data centre or of all nodes. A node learns
// which ones take calls of a service from their answers, and from the names that a peer which
// declines gives along; nothing is exchanged while no call is handed over. Peers that take calls
// come first, and where most of a data centre has declined, its other nodes are no longer nearer.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "base/id.h"
#include "base/rng.h"
#include "base/units.h"
#include "request/relay_header.h"
#include "version/inventory.h"

namespace arbutus {

struct relay_settings {
  // A peer in another data centre is chosen as if it had this many times as many calls: traffic
  // between data centres is expensive.
  double remote_cost_factor = 3;
  // Calls are spread at random among peers whose cost differs by less than this fraction.
  double random_fraction = 0.2;
  // Peers that one call is handed to, one after the other. If as many have no room, others hardly
  // have any either.
  std::size_t max_peers_per_call = 32;
  // A peer that takes a call with a smaller probability than this is asked only by calls that few
  // peers declined for a cut. Without this, when all nodes are cut off, each call asks all of them.
  double min_likely_chance = 0.25;
  std::size_t max_declines_before_unlikely = 4;
  // Probability that a peer which declined takes a call once its pause has passed.
  double chance_after_decline = 0.1;
  // A peer that declined or did not answer gets no calls for a pause, which doubles each time.
  duration first_decline_pause = 300ms;
  duration first_unresponsive_pause = 1s;
  duration max_pause = 10s;
  duration full_pause = 300ms;  // of a peer that has no room; it does not grow
  // What a peer last did with a call counts for this long.
  duration memory = 10s;
  // Peers that took a call of this node within this time are named to others.
  duration naming_time = 2s;
  // A peer with calls of this node is checked if nothing came from it for this long.
  duration silence_limit = 400ms;
};

class relay_peers {
 public:
  explicit relay_peers(const relay_settings& settings = {}) : settings_(settings) {}

  // The peer for a call of the service; empty: there is none besides those in `tried`, or it is not
  // worth asking more.
  [[nodiscard]] std::optional<node_record> choose(time_point now, const service_id& service,
                                                  std::span<const node_record> nodes,
                                                  const data_centre_id& home,
                                                  std::span<const node_id> tried,
                                                  rng& random) const;

  void sent(time_point now, const node_id& id);
  void ended(const node_id& id);
  void heard(time_point now, const node_id& id);
  void unresponsive(time_point now, const node_id& id);
  // The peer took a call of the service.
  void taken(time_point now, const service_id& service, const node_id& id);
  // The peer did not take a call of the service. What it says of others counts only where this node
  // has not asked them itself lately.
  void declined(time_point now, const service_id& service, const node_id& id,
                const relay_decline& answer, std::span<const node_record> nodes);

  // Peers that lately took calls of the service from this node, to be named to a node whose call
  // this one declines.
  [[nodiscard]] std::vector<node_id> takers(time_point now, const service_id& service) const;

  // Peers with calls of this node that have been silent for too long. Each is returned again only
  // after another such time.
  [[nodiscard]] std::vector<node_id> take_silent(time_point now);

 private:
  // A pause that doubles from one failure to the next.
  struct growing_pause {
    std::uint32_t failures = 0;  // since the last success
    time_point failed_at{};
    time_point ends_at{};
    void extend(time_point now, duration first, duration most);
  };
  struct service_state {
    time_point taken_at{};      // when the peer last took a call
    time_point named_at{};      // the latest time at which another peer can have seen it do so
    growing_pause unreachable;  // it declined as it reaches no target
  };
  struct peer_state {
    std::size_t calls = 0;  // in progress
    time_point heard_at{};
    time_point full_until{};
    growing_pause silent;  // it did not answer, or serves nobody now
    std::map<service_id, service_state> services;
  };
  // What the peers of one data centre did with calls of a service.
  struct data_centre_state {
    std::size_t taking = 0;
    std::size_t declining = 0;
  };
  enum class peer_standing : std::uint8_t { unknown, takes, declines };

  [[nodiscard]] peer_standing standing(time_point now, const service_id& service,
                                       const peer_state& peer) const;
  [[nodiscard]] static bool is_paused(time_point now, const service_id& service,
                                      const peer_state& peer);
  struct candidate {
    const node_record* node;
    const peer_state* peer;
    peer_standing standing;
    const data_centre_state* data_centre;
  };
  // Candidates are the peers that are not paused; the data centres count all peers.
  struct survey {
    std::map<data_centre_id, data_centre_state> data_centres;
    std::vector<candidate> candidates;  // point into `data_centres`
  };
  [[nodiscard]] survey survey_peers(time_point now, const service_id& service,
                                    std::span<const node_record> nodes) const;
  // Of the peers in `tried`, those that reach no target or did not answer.
  [[nodiscard]] std::size_t count_declines(time_point now, const service_id& service,
                                           std::span<const node_id> tried) const;
  // Probability that the peer takes a call.
  [[nodiscard]] double chance_of(const candidate& c) const;

  relay_settings settings_;
  std::map<node_id, peer_state> states_;
};

}  // namespace arbutus
