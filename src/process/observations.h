// What this node knows of each target VM of its data centre: its own probes, its peers' and the
// errors of its own connections, merged so that an old message never replaces newer knowledge.
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
  unknown,  // nothing recent; after an own pause, until probed again
  working,
  suspect,  // a probe or connection failed, or it recovers: no new work
  lost,     // independent probers, or one for long enough, found it gone
  leaving,  // works but goes away: no new work
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

  // All targets of the data centre; keeps what is known of those that stay.
  void set_targets(const std::vector<vm_id>& vms);
  // Which of them this node probes (membership::own_targets).
  void set_own_targets(const std::vector<vm_id>& vms, time_point now);
  // Which model a target works for, to compare it with the others of that model.
  void set_models(const std::map<vm_id, model_id>& models);

  // Targets to probe now: suspects first, then whichever waits longest, spread evenly. Each counts
  // as started at `now`.
  [[nodiscard]] std::vector<vm_id> next_probes(time_point now);
  // True if it is a failure that the peers should hear of at once: send failure_of in a
  // lost_notice to membership::live_peers.
  bool own_probe(const probe_result& result, time_point now);
  // The request path saw its connection break or be refused. True as above.
  bool own_error(const vm_id& vm, time_point now);
  // Newest own failure of this target, if no observation is newer.
  [[nodiscard]] std::optional<probe_failure> failure_of(const vm_id& vm, time_point now) const;

  // Observations and failures of a heartbeat; `h` is what membership made of its stamp.
  void merge(const heartbeat& beat, const heard& h, time_point now);
  void merge(const node_id& from, const lost_notice& notice, const heard& h, time_point now);
  // Goes away, by the platform's list or a leaving_notice. True if that is news to pass on.
  bool mark_leaving(const vm_id& vm, std::uint64_t incarnation);
  // The platform's list has it, not leaving.
  void clear_leaving(const vm_id& vm);

  // This process was paused (membership::tick): nothing that is known is recent, and nobody is to
  // blame.
  void resumed(time_point now);

  // Adds to `beat`, whose stamp is made, what this node observed itself and `peer` has not got yet.
  // `echoed`: newest own sequence that the peer is known to have (membership::echoed).
  void take_deltas(heartbeat& beat, const node_id& peer, std::uint64_t echoed, time_point now);

  // The peer is no longer a node of this data centre, or its process is another one (heard::
  // restarted): the new one may echo messages whose short forms it could not understand.
  void forget_peer(const node_id& peer);

  [[nodiscard]] target_condition condition(const vm_id& vm, time_point now) const;
  // Newest observation; null if there is none. For permission, compare its `at` with the clock.
  [[nodiscard]] const observation* latest(const vm_id& vm) const;
  // Slow against the median of their model; never more than a quarter of them.
  [[nodiscard]] std::set<vm_id> stragglers(time_point now) const;
  // Transitions since the last call.
  [[nodiscard]] std::vector<condition_change> take_changes(time_point now);

 private:
  struct failing {      // failures of one node without a success of any since `first`
    time_point first;   // start of the first probe, or the newest success
    time_point newest;  // start of the newest probe
    std::uint32_t count{};
  };
  struct target {
    std::optional<observation> newest;
    std::vector<std::uint64_t> past_incarnations;  // at most 4; their messages are old
    std::map<node_id, failing> failures;
    std::optional<time_point> own_success;  // start of the newest own probe that succeeded
    bool listed_leaving = false;
    std::optional<std::uint64_t> leaving_incarnation;  // a notice; 0: any
    // Hysteresis: set when lost; the spell of successes since.
    bool lost = false;
    std::optional<time_point> recovering_since;
    double losses{};  // decayed
    time_point losses_at;
    std::optional<time_point> urgent_probe_at;  // newest own probe out of turn
    target_condition reported = target_condition::unknown;
  };
  struct own_target {
    std::uint32_t slot{};
    std::optional<engine_report> report;  // of the newest success, without load
    target_load load_now;
    time_point at;
    std::uint64_t content{};  // rises when anything but the load or the moment changes
    std::uint64_t load{};     // rises when the load changes
    time_point probe_due;
  };
  struct told {  // what a peer was told of one of the own targets
    std::uint64_t content{};
    std::uint64_t content_sequence{};  // first message with this content
    std::uint64_t load{};
    std::uint64_t load_sequence{};
    time_point at;
  };
  using known_slots = std::map<std::uint32_t, engine_report>;  // fulls received from a peer
  struct accuser {  // a peer whose failures others refuted may have a bad link of its own
    double refuted{};
    time_point at;
  };

  void accept(const node_id& by, const observation& seen, time_point now);
  void merge(const node_id& from, const probe_failure& failure, const heard& h, time_point now);
  void refute(target& t, const node_id& by, time_point seen_at, time_point now);
  // `probes`: failed probes that this failure adds (own: one, or none for a connection's error) or
  // stands for (told by a peer: all in a row).
  void add_failure(const node_id& by, target& t, time_point started, std::uint32_t probes,
                   time_point now);
  void own_success(const engine_report& report, time_point sent_at, time_point now);
  void settle(target& t, time_point now);
  [[nodiscard]] double probe_rate() const;
  void refill(time_point now);
  [[nodiscard]] std::vector<vm_id> urgent_probes(time_point now);
  [[nodiscard]] std::vector<vm_id> due_probes(time_point now);
  [[nodiscard]] bool in_flight(const vm_id& vm, time_point now) const;
  [[nodiscard]] std::optional<observation_delta> delta(const own_target& own, told& peer,
                                                       std::uint64_t sequence, std::uint64_t echoed,
                                                       time_point now) const;
  [[nodiscard]] std::optional<engine_report> restore(known_slots& slots,
                                                     const observation_delta& d) const;
  [[nodiscard]] bool credible(const node_id& by, time_point now) const;
  [[nodiscard]] bool own_link_fails(const target& t) const;
  [[nodiscard]] bool open(const target& t, const failing& f) const;
  [[nodiscard]] bool doubted(const target& t, time_point now) const;
  [[nodiscard]] bool gone(const target& t) const;
  [[nodiscard]] bool leaves(const target& t) const;
  [[nodiscard]] target_condition judge(const target& t, time_point now) const;
  [[nodiscard]] duration recovery_time(const target& t, time_point now) const;
  [[nodiscard]] std::uint32_t free_slot() const;

  node_id self_;
  control_timing timing_;
  std::map<vm_id, target> targets_;
  std::map<vm_id, own_target> own_;
  std::map<vm_id, time_point> in_flight_;  // own probes without a result
  std::map<vm_id, model_id> models_;
  std::map<node_id, std::map<vm_id, told>> told_;
  std::map<node_id, known_slots> bases_;
  std::map<node_id, accuser> accusers_;
  std::optional<time_point> resumed_at_;
  // Token buckets of probes.
  double tokens_ = 1.0;
  double urgent_tokens_ = 0.0;
  std::optional<time_point> refilled_at_;
};

}  // namespace arbutus
