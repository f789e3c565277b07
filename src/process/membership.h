// Which nodes of the data centre are alive, as this node sees it. Views may differ between nodes
// for a while; whatever builds on them has to be harmless then: a rank only spares wasted writes,
// a third prober only costs probes. What must not differ - whether a silent node may still act on
// an old row - is decided by a majority's silence, see may_act_alone and acknowledged_by_all.
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

// What followed from a received stamp.
struct heard {
  bool restarted = false;  // the peer's process is another one than before
  // Lower bound of the moment the message was composed; empty while the peer has not echoed a
  // message of this process: then nothing in the message can renew a permission.
  std::optional<time_point> composed;
  std::uint64_t echoed{};  // newest own sequence that the peer is known to have; 0: none
};

// What a peer last said of itself.
struct peer_claims {
  std::uint64_t config_version{};
  std::string config_hash;
  std::uint64_t assignment_version{};
  bool table_reachable = false;
  bool draining = false;
  bool informed = false;
  std::vector<node_id> silent;
};

class membership {
 public:
  membership(node_id self, std::uint64_t incarnation, std::uint64_t seed, time_point now,
             control_timing timing = {});

  // Nodes of the own data centre; may contain self. Keeps what is known of those that stay.
  void set_nodes(const std::vector<node_id>& nodes, time_point now);

  // To be called at least every quarter of a second. The length of an own pause that has just
  // ended; zero: none. After a pause no peer is blamed for the silence meanwhile.
  duration tick(time_point now);

  // Peers to which a heartbeat is due; each is returned once per interval. Ask after each received
  // heartbeat, too: the answer to it is due at once.
  [[nodiscard]] std::vector<node_id> due(time_point now);
  // Makes a heartbeat due to every peer: news that must not wait.
  void hurry(time_point now);
  // Stamp for the next message to `peer`, which counts as sent now. Only for stamped messages that
  // are about to be handed to the link.
  [[nodiscard]] message_stamp stamp_for(const node_id& peer, time_point now);
  // Fills from, stamp and silent; the caller adds the rest.
  [[nodiscard]] heartbeat prepare(const node_id& peer, time_point now);
  // Sets the configuration; its hash only until the peer is known to have it.
  void claim_config(heartbeat& beat, const node_id& peer, std::uint64_t version,
                    const std::string& hash);

  // Empty: not a peer, or not newer than what was received before (duplicate, overtaken).
  [[nodiscard]] std::optional<heard> receive(const node_id& from, const message_stamp& stamp,
                                             time_point now);
  // receive() and what the heartbeat claims. An empty config_hash stands for the last one. `own`:
  // the assignment version this node knows.
  [[nodiscard]] std::optional<heard> receive(const heartbeat& beat, std::uint64_t own,
                                             time_point now);

  [[nodiscard]] peer_state state(const node_id& peer, time_point now) const;
  // Alive and suspect nodes, self included, in order of id.
  [[nodiscard]] std::vector<node_id> live(time_point now) const;
  // Null when not a peer or never heard.
  [[nodiscard]] const peer_claims* claims(const node_id& peer) const;
  // The peer is heard but has not echoed any message of the last peer_dead_after: the link works in
  // one direction only.
  [[nodiscard]] bool one_way(const node_id& peer, time_point now) const;
  // Newest own sequence that the peer is known to have; 0: none.
  [[nodiscard]] std::uint64_t echoed(const node_id& peer) const;
  // The live nodes without self: to whom urgent news goes.
  [[nodiscard]] std::vector<node_id> live_peers(time_point now) const;

  // Position of `node` among the live nodes for `subject` by rendezvous hashing, from 0; the
  // number of live nodes when it is not one of them.
  [[nodiscard]] std::size_t rank_of(const node_id& node, std::string_view subject,
                                    time_point now) const;
  // Two live nodes (one, if there is one only) that probe `vm`; bounded in number per node, so
  // that none gets more than its fair part.
  void set_targets(const std::vector<vm_id>& vms);
  [[nodiscard]] std::vector<node_id> probers_of(const vm_id& vm, time_point now);
  [[nodiscard]] std::vector<vm_id> own_targets(time_point now);

  // ---- acting without the table ----
  //
  // A VM whose reservation was withdrawn must not be given to another replica while a node that
  // cannot see the table might still activate it by the old row. Nodes vote with one voice each; of
  // an even number the first by id has two, so that of two nodes one can go on alone.

  // This node has read the row from the table itself.
  void row_read();
  // A process that has just started knows nothing of what its predecessor acknowledged. It has a
  // vote once it has read the table, or has heard, since it started, informed nodes that are a
  // majority without it and knows a row no older than theirs.
  [[nodiscard]] bool informed() const { return informed_; }

  // Whether this node may activate a standby by the row `assignment_version` that it knows,
  // although it cannot read the table: it and the informed nodes that have answered a message sent
  // within act_alone_for are a majority, and nobody claims a newer row. Ask again directly before
  // each order.
  [[nodiscard]] bool may_act_alone(std::uint64_t assignment_version, time_point now) const;

  // Highest assignment version, at most `own` (this node's), that every node which may still act
  // has acknowledged. A silent node counts until nodes that are a majority and know that version
  // have each reported it silent for lapse_after.
  [[nodiscard]] std::uint64_t acknowledged_by_all(std::uint64_t own, time_point now) const;
  // The nodes whose acknowledgement of `version` is needed, self included.
  [[nodiscard]] std::vector<node_id> counted(std::uint64_t version, time_point now) const;

 private:
  struct peer {
    time_point known_since;
    std::uint64_t incarnation{};  // 0: never heard
    std::uint64_t last_sequence{};
    std::vector<std::uint64_t> past_incarnations;  // at most 4
    time_point heard_at;                           // lower bound of the newest message's composing
    time_point received_at;  // when the newest message came; both: known_since before the first
    time_point alive_since;  // start of the present spell of being heard
    double deaths{};         // decayed number of spells that ended
    time_point deaths_at;
    bool dead = true;       // until heard
    bool hears_us = false;  // has echoed a message of this process
    peer_claims claims;
    sent_log sent;
    std::uint64_t next_sequence = 1;
    time_point next_heartbeat;
    time_point last_heartbeat;
    std::uint64_t hash_sequence{};  // first own message with the present config hash
    std::string hash_told;
    std::uint64_t echoed{};     // own sequence
    time_point echoed_sent_at;  // when that was sent
  };
  struct probe_choice {
    std::vector<node_id> live;
    std::map<vm_id, std::vector<node_id>> probers;
  };

  [[nodiscard]] const peer* find(const node_id& id) const;
  [[nodiscard]] bool silent(const peer& p, time_point now) const;
  [[nodiscard]] std::size_t vote(const node_id& id) const;
  [[nodiscard]] bool majority(std::size_t votes) const;
  [[nodiscard]] bool lapsed(const node_id& id, const peer& p, std::uint64_t version,
                            time_point now) const;
  [[nodiscard]] bool acknowledged(std::uint64_t version, time_point now) const;
  [[nodiscard]] duration quiet_for(const peer& p, time_point now) const;
  [[nodiscard]] duration damping(const peer& p, time_point now) const;
  [[nodiscard]] std::size_t votes_in_all() const;
  void accept_process(peer& p, const message_stamp& stamp, heard& result, time_point now);
  void accept_echo(peer& p, const message_stamp& stamp, heard& result, time_point now);
  [[nodiscard]] duration interval_to(const node_id& id);
  void answer(const node_id& from, time_point now);
  void learn_from_majority(std::uint64_t own);
  void bury_silent_peers(time_point now);
  void choose_probers(time_point now);

  node_id self_;
  std::uint64_t incarnation_;
  control_timing timing_;
  rng random_;
  std::map<node_id, peer> peers_;  // without self
  time_point last_tick_;
  time_point listening_since_;  // start, or end of the last own pause
  bool informed_ = false;
  std::vector<vm_id> targets_;
  std::optional<probe_choice> choice_;  // for the live set it names
};

}  // namespace arbutus
