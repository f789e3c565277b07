// Which nodes of the data centre are alive, in this node's local view. Views may differ between
// nodes for a while, so everything based on them must tolerate that: ranks only avoid wasted
// writes, and a third prober only costs probes. Whether an unresponsive node may still act on an
// old row must not differ; that is decided by a majority, see may_act_without_table and
// acknowledged_by_all.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/id.h"
#include "base/rng.h"
#include "base/units.h"
#include "process/control_timing.h"
#include "process/freshness.h"
#include "process/gossip.h"

namespace arbutus {

enum class peer_state { unknown, alive, suspect, dead };

// Result of processing a received stamp.
struct receive_result {
  bool restarted = false;  // the peer has a new process
  // Lower bound of the time at which the message was composed. Empty until the peer has echoed a
  // message of this process; until then, its messages cannot renew a permission.
  std::optional<time_point> composed;
  std::uint64_t echoed{};  // sequence of this node's newest message that the peer echoed; 0: none
};

// The state that a peer last reported about itself.
struct peer_status {
  std::uint64_t config_version{};
  std::string config_hash;
  std::uint64_t assignment_version{};
  bool table_reachable = false;
  bool draining = false;
  bool informed = false;
  std::vector<node_id> unresponsive;
};

class membership {
 public:
  membership(node_id self, std::uint64_t incarnation, std::uint64_t seed, time_point now,
             control_timing timing = {});

  // Sets the nodes of the own data centre; whether `nodes` contains this node makes no difference.
  // Keeps the state of nodes that were members before.
  void set_nodes(const std::vector<node_id>& nodes, time_point now);

  // To be called at least every 250 ms. Returns the length of a pause of this process that has just
  // ended; zero: none. Messages missing during the pause do not count against the peers.
  duration tick(time_point now);

  // Peers to which a heartbeat is due; each is returned once per interval. To be called after each
  // received heartbeat, too: the response to it is due immediately.
  [[nodiscard]] std::vector<node_id> due_peers(time_point now);
  // Makes a heartbeat to every peer due, to send an urgent update.
  void expedite_heartbeats(time_point now);
  // Stamp for the next message to `peer`, which is recorded as sent now. To be called only for
  // messages that are passed to the link immediately.
  [[nodiscard]] message_stamp stamp_for(const node_id& peer, time_point now);
  // Sets `from`, `stamp`, `informed` and the list of unresponsive peers; the caller adds the rest.
  [[nodiscard]] heartbeat prepare_heartbeat(const node_id& peer, time_point now);
  // Sets the configuration version, and its hash until the peer is known to have received it.
  void announce_config(heartbeat& message, const node_id& peer, std::uint64_t version,
                       const std::string& hash);

  // Empty if `from` is not a peer or the message is not newer than those received before (duplicate
  // or reordered).
  [[nodiscard]] std::optional<receive_result> receive(const node_id& from,
                                                      const message_stamp& stamp, time_point now);
  // Processes the stamp of a heartbeat like that of any message, and stores the state that the
  // heartbeat reports. An empty config_hash stands for the last one received. `own` is the
  // assignment version that this node knows.
  [[nodiscard]] std::optional<receive_result> receive(const heartbeat& message, std::uint64_t own,
                                                      time_point now);

  [[nodiscard]] peer_state state(const node_id& peer, time_point now) const;
  // Alive and suspect nodes including self, ordered by id.
  [[nodiscard]] std::vector<node_id> live_nodes(time_point now) const;
  // State that the peer last reported; null if it is not a peer or nothing was ever received from
  // it.
  [[nodiscard]] const peer_status* last_status(const node_id& peer) const;
  // Whether the link to the peer works in one direction only: messages from it arrive, but it has
  // not echoed any message that this node sent within the last peer_dead_after.
  [[nodiscard]] bool is_one_way_link(const node_id& peer, time_point now) const;
  // Sequence of this node's newest message that the peer has echoed; 0: none.
  [[nodiscard]] std::uint64_t echoed(const node_id& peer) const;
  // The live nodes except this one; urgent updates are sent to them.
  [[nodiscard]] std::vector<node_id> live_peers(time_point now) const;

  // Position of `node` among the live nodes for `subject` by rendezvous hashing, from 0. If `node`
  // is not live, the number of live nodes.
  [[nodiscard]] std::size_t rank_of(const node_id& node, std::string_view subject,
                                    time_point now) const;
  // Sets the targets of the data centre. probers_of returns the two live nodes (one, if there is
  // only one) that probe `vm`; each node gets little more than its fair share of the targets.
  void set_targets(const std::vector<vm_id>& vms);
  [[nodiscard]] std::vector<node_id> probers_of(const vm_id& vm, time_point now);
  [[nodiscard]] std::vector<vm_id> own_targets(time_point now);

  // ---- acting without the table ----
  //
  // A VM whose reservation was withdrawn must not be given to another replica while a node that
  // cannot reach the table might still activate it based on the old row. Each node has one vote;
  // if their number is even, the first by id has two, so that one of two nodes can act without the
  // other.

  // To be called when this node has read the assignment row from the table itself.
  void on_row_read();
  // A new process does not know what its previous process acknowledged. It gets a vote once it has
  // read the table, or once informed nodes that form a majority without it have echoed a message of
  // this process and it knows a row no older than theirs.
  [[nodiscard]] bool informed() const { return informed_; }

  // Whether this node may activate a standby based on the row `assignment_version` that it knows,
  // although it cannot read the table: it and the informed nodes that have echoed a message sent
  // within quorum_validity form a majority, and no peer reports a newer row. To be checked directly
  // before each order.
  [[nodiscard]] bool may_act_without_table(std::uint64_t assignment_version, time_point now) const;

  // Highest assignment version, at most `own` (this node's), that every node that may still act has
  // acknowledged. An unresponsive node is included until nodes that form a majority and know that
  // version have each reported it unresponsive for quorum_expiry.
  [[nodiscard]] std::uint64_t acknowledged_by_all(std::uint64_t own, time_point now) const;
  // The nodes whose acknowledgement of `version` is needed, self included.
  [[nodiscard]] std::vector<node_id> required_acknowledgers(std::uint64_t version,
                                                            time_point now) const;

 private:
  struct peer {
    time_point peer_since;
    std::uint64_t incarnation{};  // of the peer's process; 0: nothing received yet
    std::uint64_t last_sequence{};
    std::vector<std::uint64_t> past_incarnations;  // at most 4
    // composed_at and received_at equal peer_since until the first message.
    time_point composed_at;  // lower bound of the time at which the newest message was composed
    time_point received_at;  // arrival of the newest message
    time_point alive_since;  // when the peer was last marked as not dead
    double recent_deaths{};  // exponentially decayed number of times it was marked dead
    time_point deaths_decayed_at;
    bool dead = true;        // considered dead; true until the peer's first message
    bool echoes_us = false;  // the peer has echoed a message of this process
    peer_status last_status;
    sent_log sent;
    std::uint64_t next_sequence = 1;
    time_point next_heartbeat;
    time_point last_heartbeat;
    std::uint64_t first_hash_sequence{};  // first own message with the current config hash
    std::string announced_hash;
    // Sequence number of the newest of this node's messages that the peer has confirmed by echoing
    // its number; 0: none.
    std::uint64_t echoed{};
    time_point echoed_sent_at;  // when this node sent the message with that sequence
  };
  struct probe_choice {
    std::vector<node_id> live;
    std::map<vm_id, std::vector<node_id>> probers;
  };

  [[nodiscard]] const peer* find(const node_id& id) const;
  [[nodiscard]] bool unresponsive(const peer& p, time_point now) const;
  [[nodiscard]] std::size_t votes_of(const node_id& id) const;
  [[nodiscard]] bool is_majority(std::size_t votes) const;
  [[nodiscard]] bool has_expired(const node_id& id, const peer& p, std::uint64_t version,
                                 time_point now) const;
  [[nodiscard]] bool acknowledged(std::uint64_t version, time_point now) const;
  [[nodiscard]] duration unresponsive_time(const peer& p, time_point now) const;
  [[nodiscard]] duration flap_damping(const peer& p, time_point now) const;
  [[nodiscard]] std::size_t total_votes() const;
  void accept_peer_incarnation(peer& p, const message_stamp& stamp, receive_result& result,
                               time_point now);
  void accept_echoed_sequence(peer& p, const message_stamp& stamp, receive_result& result,
                              time_point now);
  [[nodiscard]] duration heartbeat_interval_to(const node_id& id);
  void schedule_response(const node_id& from, time_point now);
  void become_informed_by_majority(std::uint64_t own);
  void mark_dead_peers(time_point now);
  void choose_probers(time_point now);

  node_id self_;
  std::uint64_t incarnation_;
  control_timing timing_;
  rng random_;
  std::map<node_id, peer> peers_;  // without self
  time_point last_tick_;
  time_point listening_since_;  // start of the process, or end of its last pause
  bool informed_ = false;
  std::vector<vm_id> targets_;
  std::optional<probe_choice>
      probe_choice_;  // probers of each target; valid as long as the live nodes do not change
};

}  // namespace arbutus
