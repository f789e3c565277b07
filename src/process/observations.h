// Observations of each target VM of the data centre: results of this node's own probes, those of
// its peers, and errors of its own connections, merged so that an old message never replaces a
// newer observation.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "process/control_timing.h"
#include "process/effects.h"
#include "process/gossip.h"
#include "process/membership.h"
#include "process/report.h"

namespace arbutus {

enum class target_condition {
  unknown,  // no recent observation; after a pause of this process, until probed again
  working,
  suspect,  // a probe or connection failed, or the target is recovering: gets no new work
  lost,     // two probers, or one for long enough, could not reach the target
  leaving,  // the target works but is about to be removed: gets no new work
};

struct condition_change {
  vm_id vm;
  target_condition from = target_condition::unknown;
  target_condition to = target_condition::unknown;
  auto operator<=>(const condition_change&) const = default;
};

class observation_table {
 public:
  explicit observation_table(node_id self, control_timing timing = {});

  // Sets all targets of the data centre; keeps the state of those that remain.
  void set_targets(const std::vector<vm_id>& vms);
  // Sets the targets that this node probes (membership::own_targets).
  void set_own_targets(const std::vector<vm_id>& vms, time_point now);
  // Sets the model of each target, for the comparison with other targets of that model.
  void set_models(const std::map<vm_id, model_id>& models);

  // Targets to probe now: suspects first, then in the order of their due times. Each probe counts
  // as started at `now`.
  [[nodiscard]] std::vector<vm_id> next_probes(time_point now);
  // Stores the result of an own probe. True if it is a failure that the peers should be notified of
  // immediately: send failure_of in a lost_notice to membership::live_peers.
  bool on_probe_result(const probe_result& result, time_point now);
  // A connection of the request path to this target broke or was refused. True if the peers should
  // be notified of it immediately.
  bool on_connection_error(const vm_id& vm, time_point now);
  // The newest failure of this node to reach the target, if no observation is newer.
  [[nodiscard]] std::optional<probe_failure> failure_of(const vm_id& vm, time_point now) const;

  // Merges observations and failures of a heartbeat; `h` is the result of membership::receive.
  void merge(const heartbeat& message, const receive_result& h, time_point now);
  void merge(const node_id& from, const lost_notice& notice, const receive_result& h,
             time_point now);
  // The platform's list (`incarnation` 0) or a leaving_notice says that the target is leaving. True
  // if this node did not know that and should pass it on.
  bool mark_leaving(const vm_id& vm, std::uint64_t incarnation);
  // The platform's list contains the target, and not as leaving.
  void clear_leaving(const vm_id& vm);

  // This process was paused (membership::tick): no observation is recent, and failures during the
  // pause do not count.
  void on_resumed(time_point now);

  // Adds this node's own observations that `peer` does not have yet to `message`, whose stamp must
  // be set. `echoed`: newest own sequence that the peer is known to have (membership::echoed).
  void append_deltas(heartbeat& message, const node_id& peer, std::uint64_t echoed, time_point now);

  // To be called when the peer has left the data centre or has a new process
  // (receive_result::restarted). A new process could echo messages whose short forms it was not
  // able to decode.
  void forget_peer(const node_id& peer);

  [[nodiscard]] target_condition condition(const vm_id& vm, time_point now) const;
  // Newest observation of the target, of any age; null if there is none.
  [[nodiscard]] const observation* latest(const vm_id& vm) const;
  // Targets whose token rate is low compared to the median of the targets of their model; at most a
  // quarter of the latter.
  [[nodiscard]] std::set<vm_id> stragglers(time_point now) const;
  // Changes of the targets' conditions since the last call.
  [[nodiscard]] std::vector<condition_change> take_changes(time_point now);

 private:
  struct failure_run {  // consecutive failures seen by one node, without a success since `first`
    time_point first;   // start of the first probe, or time of the newest success within the run
    time_point newest;  // start of the newest probe
    std::uint32_t count{};
  };
  struct target {
    std::optional<observation> newest;
    std::vector<std::uint64_t> past_incarnations;  // at most 4; messages about them are ignored
    std::map<node_id, failure_run> failures;
    std::optional<time_point> own_success_at;  // start of the newest own probe that succeeded
    bool listed_leaving = false;
    std::optional<std::uint64_t> leaving_incarnation;  // from a leaving_notice
    // Hysteresis: set when lost, cleared after recovery_time of successes.
    bool lost = false;
    std::optional<time_point> recovering_since;
    double recent_losses{};  // exponentially decayed number of times that the target was lost
    time_point losses_decayed_at;
    std::optional<time_point> urgent_probe_at;  // newest urgent probe by this node
    target_condition reported = target_condition::unknown;
  };
  struct own_target {
    std::uint32_t slot{};
    std::optional<engine_report> report;  // of the newest successful probe, without its load
    target_load current_load;
    time_point at;
    std::uint64_t content{};  // version of `report`, increased with each change
    std::uint64_t load{};     // version of the load, increased with each change
    time_point probe_due;
  };
  struct sent_state {  // what was sent to a peer about one of the own targets
    std::uint64_t content{};
    std::uint64_t content_sequence{};  // of the first message with this content version
    std::uint64_t load{};
    std::uint64_t load_sequence{};
    time_point at;
  };
  using received_slots = std::map<std::uint32_t, engine_report>;  // full forms received from a peer
  // A peer with refuted failure reports, which may have a bad link.
  struct failure_reporter {
    double refuted{};
    time_point at;
  };

  void accept(const node_id& by, const observation& seen, time_point now);
  void merge(const node_id& from, const probe_failure& failure, const receive_result& h,
             time_point now);
  void refute_failures(target& t, const node_id& by, time_point seen_at, time_point now);
  // `probes`: for an own failure, the number of failed probes that it adds (one, or none for a
  // connection error); for a peer's failure, its number of consecutive failed probes.
  void add_failure(const node_id& by, target& t, time_point started, std::uint32_t probes,
                   time_point now);
  void record_own_success(const engine_report& report, time_point sent_at, time_point now);
  void update_lost(target& t, time_point now);
  [[nodiscard]] double probe_rate() const;
  void refill(time_point now);
  [[nodiscard]] std::vector<vm_id> urgent_probes(time_point now);
  [[nodiscard]] std::vector<vm_id> due_probes(time_point now);
  [[nodiscard]] bool is_probe_in_flight(const vm_id& vm, time_point now) const;
  [[nodiscard]] std::optional<observation_delta> delta(const own_target& own, sent_state& peer,
                                                       std::uint64_t sequence, std::uint64_t echoed,
                                                       time_point now) const;
  [[nodiscard]] std::optional<engine_report> restore(received_slots& slots,
                                                     const observation_delta& d) const;
  [[nodiscard]] bool is_credible_reporter(const node_id& by, time_point now) const;
  [[nodiscard]] bool own_link_fails(const target& t) const;
  [[nodiscard]] bool is_unresolved(const target& t, const failure_run& f) const;
  [[nodiscard]] bool needs_urgent_probe(const target& t, time_point now) const;
  [[nodiscard]] bool is_lost(const target& t) const;
  [[nodiscard]] bool is_leaving(const target& t) const;
  [[nodiscard]] target_condition evaluate(const target& t, time_point now) const;
  [[nodiscard]] duration recovery_time(const target& t, time_point now) const;
  [[nodiscard]] std::uint32_t free_slot() const;

  node_id self_;
  control_timing timing_;
  std::map<vm_id, target> targets_;
  std::map<vm_id, own_target> own_target_states_;
  std::map<vm_id, time_point> probes_in_flight_;  // own probes without a result
  std::map<vm_id, model_id> models_;
  std::map<node_id, std::map<vm_id, sent_state>> sent_states_;
  std::map<node_id, received_slots> received_slots_;
  std::map<node_id, failure_reporter> failure_reporters_;
  std::optional<time_point> resumed_at_;
  // Tokens in the buckets that limit regular and urgent probes; each probe takes one.
  double probe_tokens_ = 1.0;
  double urgent_probe_tokens_ = 0.0;
  std::optional<time_point> refilled_at_;
};

}  // namespace arbutus
