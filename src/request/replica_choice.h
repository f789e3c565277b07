// Which replica gets a request of a model, and when none should.
//
// A replica batches: all its requests advance by passes. Reading a prompt takes time of its own in
// a pass, and a pass with requests that generate runs `stride` steps. So the time to the first
// event of a new request is: the rest of the running pass, the prompts still unread there, its own
// prompt, and one pass; and, the fuller the replica, the wait for a place. All parameters are the
// operators'; the load is what this node sent itself, plus what its peers told.
//
// It answers steady loads up to the replicas' slots, and bursts beyond them: there a request that
// would only make others late is refused with the time until a place becomes free.
//
// What peers told is some hundred milliseconds old. Were the best replica always taken, all nodes
// would take the same one until they hear of each other. So one of those that are about as good is
// drawn: about as good is what the sends of others that are not known yet may change.
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

// Size of a generation, as its caller declares it.
struct generation_size {
  double prompt_tokens = 0;
  double answer_tokens = 0;
};

// Requests of this node and its peers at one replica.
struct replica_load {
  double active = 0;         // requests
  double unread_tokens = 0;  // of prompts whose first event has not come yet
};

// Loads by head; a head that lives again has another id.
class load_table {
 public:
  void sent(const target_id& head, const generation_size& size);
  void first_event(const target_id& head, const generation_size& size);
  void ended(const target_id& head, const generation_size& size, bool had_first_event);

  // What a peer and those it speaks for have at each head, as it last told.
  void heard(const node_id& peer, const data_centre_id& data_centre, time_point now,
             std::map<target_id, replica_load> loads);
  void forget_peers(time_point now);

  // To tell others: all that is known, own and peers'; of that all but what `peer` told; own and
  // peers' of one data centre.
  [[nodiscard]] std::map<target_id, replica_load> all() const;
  [[nodiscard]] std::map<target_id, replica_load> all_but(
      const node_id& peer, std::map<target_id, replica_load> all) const;
  [[nodiscard]] std::map<target_id, replica_load> all_of(const data_centre_id& data_centre) const;

  // Own load alone, to tell peers.
  [[nodiscard]] const std::map<target_id, replica_load>& own() const { return own_; }
  [[nodiscard]] replica_load total(const target_id& head) const;
  [[nodiscard]] double own_active(const target_id& head) const;

  // A peer that is not heard for so long has ended, or its requests have: twice the longest usual
  // generation would hide capacity, a heartbeat's loss would double-book it.
  static constexpr duration peer_memory = 1500ms;

 private:
  struct peer_loads {
    time_point heard_at;
    data_centre_id data_centre;
    std::map<target_id, replica_load> loads;
  };
  std::map<target_id, replica_load> own_;
  std::map<node_id, peer_loads> peers_;
};

struct choice_settings {
  // Added for a replica in another data centre: its bytes are dear, and it has its own callers.
  duration away_penalty = 8ms;
  // One-way delay between data centres where the operators name none.
  duration away_delay = 2ms;
  // Age of what a node knows of the others' sends: a beat to the hub and one from it, 200 ms apart
  // each, half of that on average, and another 100 ms between hubs.
  duration load_age = 300ms;
  // For a replica where the answer would not be whole in time: more than any wait for a place
  // elsewhere, less than a silent one costs.
  duration late_end_penalty = 2s;
  // Requests beyond a replica's slots wait in the engine for one to end; such a wait ends in no
  // known time, so only this many are sent beyond the slots.
  double beyond_slots = 2;
};

struct replica_estimate {
  duration to_first_event{};
  duration between_events{};
  double active = 0;  // requests there now
};

// Expected times of a request of `size` on a replica that has `load`.
[[nodiscard]] replica_estimate estimate(const engine_parameters& engine, const model_spec& model,
                                        const replica_load& load, const generation_size& size,
                                        double slowdown_factor, bool crosses_domains);

struct chosen_replica {
  std::size_t index{};  // in the candidates
  replica_estimate expected;
};
struct no_replica {
  duration retry_after{};  // until a place is expected
  std::string_view reason;
};
using replica_choice = std::variant<chosen_replica, no_replica>;

struct choice_request {
  data_centre_id home;
  generation_size size;
  duration time_left{};
  std::span<const target_id> avoided;    // heads tried already
  std::span<const target_id> suspected;  // heads that have gone silent
  double draw = 0;                       // uniform in [0, 1); 0: always the best
};

[[nodiscard]] replica_choice choose_replica(const engine_parameters& engine,
                                            const model_spec& model,
                                            std::span<const serving_replica> candidates,
                                            const load_table& loads, const choice_request& request,
                                            const choice_settings& settings = {});

}  // namespace arbutus
