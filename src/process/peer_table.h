// Peers of a hosted node: which exist, which are alive, which are sent heartbeats, and which node
// is the hub of a data centre. Reads no clock; callers pass the time.
//
// The hub of a data centre is its first live node that the store serves, ordered by strength and
// then by name. Name alone is not sufficient: of 59 nodes of which 3 have half a core, a node with
// an eighth of a core would control 219 engines, send updates to the other nodes, and be late with
// all of it. A node sends heartbeats to the first two such candidates and to unresponsive ones
// before them, so that the next hub is known when the first one ends; a hub also sends them to
// candidates of the other data centres. Two nodes that both consider themselves the hub are
// harmless: each order names the state it was decided on, and both follow the store.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "version/inventory.h"

namespace arbutus {

class peer_table {
 public:
  peer_table(node_id self, data_centre_id data_centre, node_strength strength = {})
      : self_(std::move(self)), data_centre_(std::move(data_centre)), strength_(strength) {}
  // Movable but not copyable, as hub_order_ points into peers_.
  peer_table(const peer_table&) = delete;
  peer_table& operator=(const peer_table&) = delete;
  peer_table(peer_table&&) = default;
  peer_table& operator=(peer_table&&) = default;
  ~peer_table() = default;

  // This node starts and does not know the rows of its peers yet. Until it does, but for no longer
  // than max_discovery_time, it takes no role of a hub. Without this, when all of hundreds of nodes
  // start together, each that has not read the rows yet considers itself the only node: it reads
  // the records of all targets, orders the engines of all data centres, and so tears apart replicas
  // that work.
  void start_discovery(time_point now) { discovery_deadline_ = now + max_discovery_time; }
  [[nodiscard]] bool is_discovering(time_point now) const { return now < discovery_deadline_; }

  // Sets the nodes by their rows in the store, which include this node's own. Removes peers that
  // were in the rows before and no longer are; a peer known only by its heartbeats stays.
  void set_records(const std::vector<node_record>& nodes);

  // Adds a peer known by its heartbeat, which may not have been in the rows when they were read.
  void add_peer(const node_record& peer);

  // A heartbeat was sent to the peer.
  void note_sent(time_point now, const node_id& peer);
  // The state that a peer reports in its heartbeat.
  struct heartbeat_info {
    bool hub = false;
    bool leaving = false;
    bool refused_by_store = false;  // the store does not serve the peer
    std::int64_t stamp_us{};
    bool cut_off_from_targets = false;  // the peer cannot open connections to the targets
    std::size_t known_nodes = 0;        // nodes that the peer knows
    std::size_t known_nodes_here = 0;   // of these, in the peer's data centre; zero: not told
  };
  // A heartbeat of the peer was received.
  void received(time_point now, const node_id& peer, const heartbeat_info& info);

  // Sets whether the store refuses this node. A refused hub hands over to the next node that the
  // store serves, until it is served again. Without this, when the store serves only some nodes, a
  // refused hub gets no updates and all nodes of its data centre query the store themselves with 3
  // calls per second each.
  void set_refused_by_store(time_point now, bool is);
  [[nodiscard]] bool refused_by_store() const { return refused_by_store_; }

  // Sets whether this node is cut off from the targets. It then controls none, and hands the role
  // of the hub over to the next node that reaches them.
  void set_cut_off_from_targets(time_point now, bool is);

  // Peers to send a heartbeat to now.
  [[nodiscard]] std::vector<node_id> recipients(time_point now) const;

  // The hub of a data centre in this node's local view; empty if no node is alive.
  [[nodiscard]] node_id hub_of(time_point now, const data_centre_id& data_centre) const;
  [[nodiscard]] bool is_hub(time_point now) const { return hub_of(now, data_centre_) == self_; }
  // Whether this node is the hub or would be the next one: among the first nodes that the store
  // serves, or among the first live ones if it serves none.
  [[nodiscard]] bool is_hub_or_next(time_point now) const;

  // Data centres that this node controls: its own if it is the hub, and those without a live node
  // that reaches the targets if they are assigned to it among the hubs.
  [[nodiscard]] std::set<data_centre_id> responsibilities(
      time_point now, const std::vector<data_centre_id>& all) const;

  // Whether a heartbeat of the peer was received within alive_timeout.
  [[nodiscard]] bool is_alive(time_point now, const node_id& peer) const;
  [[nodiscard]] std::size_t alive_count(time_point now) const;
  [[nodiscard]] bool any_alive(time_point now) const;
  [[nodiscard]] bool has_peer_in(const data_centre_id& data_centre) const;
  // Whether another node of this node's data centre is known, alive or not.
  [[nodiscard]] bool has_peer_in_own_data_centre() const;
  [[nodiscard]] data_centre_id data_centre_of(const node_id& peer) const;
  // Whether the store refuses the peer, as the peer last reported.
  [[nodiscard]] bool is_refused_by_store(const node_id& peer) const;
  // Whether a live peer of this node's data centre is served by the store.
  [[nodiscard]] bool has_served_peer_here(time_point now) const;
  [[nodiscard]] std::int64_t newest_stamp(const node_id& peer) const;
  [[nodiscard]] std::size_t peer_count() const { return peers_.size(); }
  // The nodes of the deployment that this node knows, alive or not, itself included.
  [[nodiscard]] std::size_t known_nodes() const { return peers_.size() + 1; }
  // The most nodes that this one or a live peer knows; zero until the rows of the nodes were read.
  // A node that its hub keeps current seldom reads the rows, but the hub soon knows a new node.
  [[nodiscard]] std::size_t node_count(time_point now) const;
  // The same for this node's data centre.
  [[nodiscard]] std::size_t known_nodes_here() const;
  [[nodiscard]] std::size_t node_count_here(time_point now) const;
  [[nodiscard]] const std::vector<node_record>& records() const { return records_; }

  // A node whose rows of peers cannot be read for this long after its start acts on the peers that
  // it knows, possibly alone: the store may refuse the rows for long.
  static constexpr duration max_discovery_time = 3s;
  // A peer counts as alive for this long after a heartbeat: the time of six consecutive lost
  // heartbeats. A shorter time mistakes a pause of the peer for its failure, and two controllers
  // then send conflicting orders; a longer time leaves broken replicas without a controller.
  static constexpr duration alive_timeout = 1200ms;
  // A peer that was sent heartbeats and never responded is assumed to be alive for this long; links
  // are established within it.
  static constexpr duration presumed_alive_duration = 1500ms;
  static constexpr std::size_t hub_candidate_count = 2;
  // Unresponsive peers before the candidates that are still sent heartbeats, so that a hub that
  // returns is noticed.
  static constexpr std::size_t max_unresponsive_recipients = 6;
  // A node that the store serves again leaves the role of the hub to the first node in the order
  // until heartbeats of the others must have arrived: this is enough time for two heartbeats and
  // one that is late. Without this, when the store becomes available for all simultaneously, each
  // node sees itself served before it is notified that others are: some 20 of the 27 nodes of a
  // data centre then acted as its hub, with engine states from 8 s before.
  static constexpr duration served_settle_time = 600ms;

 private:
  struct peer {
    data_centre_id data_centre;
    node_strength strength;
    bool in_rows = false;
    time_point first_sent_at{};  // when the first heartbeat was sent to it; zero: none was
    time_point last_received_at{};
    heartbeat_info info;
  };

  [[nodiscard]] static bool is_alive(time_point now, const peer& p);
  [[nodiscard]] bool presumed_alive(time_point now, const peer& p) const;
  // What a node must have to be the hub. If no node has the most, less is required.
  enum class hub_requirement : std::uint8_t {
    alive,            // is assumed to be alive
    served,           // and, by its last report, is served by the store
    reaches_targets,  // and is not cut off from the targets
  };
  [[nodiscard]] bool meets(time_point now, const peer& p, hub_requirement requirement) const;
  [[nodiscard]] bool self_meets(time_point now, hub_requirement requirement) const;
  [[nodiscard]] bool may_be_hub(time_point now, const peer& p) const {
    return meets(now, p, hub_requirement::reaches_targets);
  }
  // Whether this node counts as served by the store, see served_settle_time.
  [[nodiscard]] bool is_served(time_point now) const;
  void sort_peers();
  // Whether this node comes before the peer in the order of hubs.
  [[nodiscard]] bool precedes(const node_id& id, const peer& p) const;
  // The first node in the order of hubs among those that meet the requirement.
  [[nodiscard]] node_id first_in_hub_order(time_point now, const data_centre_id& data_centre,
                                           hub_requirement requirement) const;
  [[nodiscard]] bool is_cut_off(const node_id& id) const;
  // Whether this node is among those that the nodes of its data centre send heartbeats to.
  [[nodiscard]] bool is_hub_candidate(time_point now) const;
  void add_candidates(time_point now, const data_centre_id& data_centre,
                      std::vector<node_id>& result) const;

  node_id self_;
  data_centre_id data_centre_;
  node_strength strength_;
  bool refused_by_store_ = false;
  bool cut_off_from_targets_ = false;
  bool rows_read_ = false;           // the rows of the nodes were read
  time_point discovery_deadline_{};  // zero once the rows of the peers are known
  // When this node was last served again after the store had refused it, or reached the targets
  // again after it had been cut off.
  time_point served_since_{};
  std::map<node_id, peer> peers_;  // without this node
  // Peers of each data centre in the order of hubs, the strongest first. Points into peers_, whose
  // entries do not move.
  std::map<data_centre_id, std::vector<const std::pair<const node_id, peer>*>> hub_order_;
  std::vector<node_record> records_;
};

}  // namespace arbutus
