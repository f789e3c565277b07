// Chooses the replica for a request of a model, or refuses the request.
//
// A replica batches its requests and advances all of them in passes. Prefill of a prompt takes
// additional time in a pass, and a pass with generating requests runs `decode_steps_per_pass`
// decode steps. The time to the first event of a new request is therefore the rest of the running
// pass, the pending prefills at the replica, the request's own prefill and one pass, plus a wait
// for a slot that grows with the load. The operators configure the engine's parameters; the load is
// that of this node's requests plus what its peers reported.
//
// Load beyond the replicas' slots would only delay other requests. Such a request is refused with
// the time until a slot is expected to be free.
//
// Peer reports are some hundred milliseconds old. If every node took the best replica, all would
// take the same one until they receive each other's reports. The choice is therefore random among
// replicas whose costs differ by no more than the unreported requests of other nodes may change.
// Close to saturation, the few replicas that look best would get several times their slots; there
// the choice is random with weights by the room that each replica has (choice_request::can_take).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "process/fleet_view.h"
#include "version/service_map.h"

namespace arbutus {

// Size of a generation as declared by the caller.
struct generation_size {
  double prompt_tokens = 0;
  double answer_tokens = 0;
};

// Requests of this node and its peers at one replica.
struct replica_load {
  double active = 0;                  // requests
  double pending_prefill_tokens = 0;  // prompt tokens of requests without a first event
};

// Whose loads a peer reports.
enum class load_scope : std::uint8_t {
  node,         // those of its own requests
  data_centre,  // from a hub of another data centre: those of all nodes there
  deployment,   // from this node's hub: those of all other nodes
};

// Loads of replicas, each identified by its head; a restarted head has a new id.
//
// Reports of different scopes overlap while the role of a hub changes hands: a new hub has what its
// predecessor reported of all nodes beside the nodes' own reports, and other data centres have the
// reports of both hubs. Of overlapping reports the larger load counts for each head. If they were
// added, all replicas would look full until the older report expires.
class load_table {
 public:
  void sent(const target_id& head, const generation_size& size);
  void first_event(const target_id& head, const generation_size& size);
  void ended(const target_id& head, const generation_size& size, bool had_first_event);

  // Sets the last load per head that a peer reported.
  void set_peer_loads(const node_id& peer, const data_centre_id& data_centre, load_scope scope,
                      time_point now, std::map<target_id, replica_load> loads);
  // `is_hub`: this node gets the reports of the nodes themselves.
  void forget_peers(time_point now, bool is_hub);

  // Whether loads that this peer reported of itself are included in those of all().
  [[nodiscard]] bool includes(const node_id& peer) const { return nodes_.contains(peer); }

  // Loads to report to peers. all(): of all nodes. all_except(): the same without those that `peer`
  // reported of itself. all_at_home(): of this node and those that report to it.
  [[nodiscard]] std::map<target_id, replica_load> all() const;
  [[nodiscard]] std::map<target_id, replica_load> all_except(
      const node_id& peer, std::map<target_id, replica_load> all) const;
  [[nodiscard]] std::map<target_id, replica_load> all_at_home() const;

  // The load of this node alone, to report to peers.
  [[nodiscard]] const std::map<target_id, replica_load>& own() const { return own_loads_; }
  [[nodiscard]] replica_load total(const target_id& head) const;
  [[nodiscard]] double own_active(const target_id& head) const;

  // The loads of a peer that has not reported for this time are dropped: the peer or its requests
  // are assumed to have ended. Twice the longest typical generation would hide free capacity; a
  // time so short that one lost heartbeat exceeds it would double-book the capacity.
  static constexpr duration peer_load_validity = 1500ms;
  // A hub drops its predecessor's report of all nodes earlier: they have reported themselves then.
  static constexpr duration predecessor_load_validity = 500ms;

 private:
  struct peer_loads {
    time_point received_at;
    std::map<target_id, replica_load> loads;
  };
  std::map<target_id, replica_load> own_loads_;
  std::map<node_id, peer_loads> nodes_;
  std::map<data_centre_id, std::map<node_id, peer_loads>> hubs_elsewhere_;
  peer_loads deployment_;  // as this node's hub reported it last
};

struct choice_settings {
  // Added to the cost of a replica in another data centre: traffic to it is expensive, and the
  // replica has callers of its own.
  duration remote_penalty = 8ms;
  // One-way delay between data centres if the operators configure none.
  duration default_remote_delay = 2ms;
  // Age of the known load of other nodes: a heartbeat to the hub and one from it, at intervals of
  // 200 ms, half of that each on average, and another 100 ms between hubs.
  duration peer_load_age = 300ms;
  // Added to the cost of a replica where the response would miss its deadline: more than any wait
  // for a slot elsewhere, less than the cost of an unresponsive replica.
  duration deadline_miss_penalty = 2s;
  // Requests beyond a replica's slots wait in the engine for an unknown time, so only this many are
  // sent beyond the slots.
  double max_requests_beyond_slots = 2;
};

struct replica_estimate {
  duration to_first_event{};        // corrected by what runs of the model have shown
  duration modelled_first_event{};  // by the engine's parameters alone
  duration request_time{};          // of a mean request, from its send to its end
  duration between_events{};
  double active = 0;  // requests at the replica now
};

// Expected times of a request of `size` on a replica with `load`.
[[nodiscard]] replica_estimate estimate(const engine_parameters& engine, const model_spec& model,
                                        const replica_load& load, const generation_size& size,
                                        double slowdown_factor, bool crosses_domains);

struct chosen_replica {
  std::size_t index{};  // in the candidates of choose_replica()
  replica_estimate expected;
};
struct no_replica {
  duration retry_after{};  // time until a slot is expected to be free
  std::string_view reason;
  bool all_excluded = false;  // no replica is left besides those to avoid
};
using replica_choice = std::variant<chosen_replica, no_replica>;

struct choice_request {
  data_centre_id home;
  generation_size size;
  duration time_left{};
  std::span<const target_id> avoided;          // heads that this request was already sent to
  std::span<const target_id> suspected_heads;  // unresponsive heads
  double random_sample = 0;                    // uniform in [0, 1); 0: always the best
  duration first_event_correction{};           // see request/latency_calibration.h
  // Requests that each candidate can take; empty: the choice is by cost alone. See
  // admission/replica_room.h.
  std::span<const double> can_take;
  // load_table::total() of each candidate, if the caller has them; empty: they are looked up.
  std::span<const replica_load> candidate_loads;
};

// load_table::total() of each replica. On a hub this is the greatest part of a choice's cost.
[[nodiscard]] std::vector<replica_load> loads_of(std::span<const serving_replica> replicas,
                                                 const load_table& loads);

[[nodiscard]] replica_choice choose_replica(const engine_parameters& engine,
                                            const model_spec& model,
                                            std::span<const serving_replica> candidates,
                                            const load_table& loads, const choice_request& request,
                                            const choice_settings& settings = {});

}  // namespace arbutus
