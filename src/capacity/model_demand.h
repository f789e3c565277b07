// Demand for the models of a deployment, as its callers show it: how many calls of which size and
// priority arrive a second, whether they are served or refused.
//
// Each node counts the calls of its own callers and reports the rates to its hub. The hub reports
// the sum of its data centre to the other hubs, and the sum of the deployment to its nodes. The
// cost grows with nodes x (models x priorities), which is a few numbers a heartbeat.
//
// Reads no clock; callers pass the time.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "request/replica_choice.h"
#include "version/service_map.h"

namespace arbutus {

struct demand_key {
  model_key model;
  std::uint32_t priority{};  // 0 is the most urgent
  auto operator<=>(const demand_key&) const = default;
};

// Rates of the calls with the same key.
struct demand_rate {
  double calls_per_second{};
  double prompt_tokens_per_second{};
  double answer_tokens_per_second{};
  // Mean of the calls' objectives for the first event, weighted by their rate, in seconds.
  double latency_objective_s{};

  void add(const demand_rate& other);
  bool operator==(const demand_rate&) const = default;
};

using model_demand = std::map<demand_key, demand_rate>;

void add_demand(model_demand& sum, const model_demand& demand);

// Rates of all priorities of a model together.
[[nodiscard]] demand_rate total_demand(const model_demand& demand, const model_key& model);

// Adds the services that releases before this one do not tell: the first of the version with such a
// model. Demand for models that no service has is left out.
[[nodiscard]] model_demand with_services(const model_demand& demand, const service_map& services);

class demand_table {
 public:
  // A call of this node's own callers arrived. Calls that peers hand over are not counted: the node
  // that handed them over has counted them.
  void count_call(time_point now, const demand_key& key, const generation_size& size,
                  duration latency_objective);

  // Sets the demand that a peer reported last; see load_scope in request/replica_choice.h.
  void set_peer_demand(time_point now, const node_id& peer, load_scope scope, model_demand demand);

  // Drops what peers have not reported for `validity`.
  void forget_peers(time_point now);

  // Of this node's own callers.
  [[nodiscard]] model_demand own(time_point now) const;
  // Of this node and those that report to it.
  [[nodiscard]] model_demand at_home(time_point now) const;
  // Of all nodes, as far as this one knows.
  [[nodiscard]] model_demand all(time_point now) const;

  // Time constant of the exponential decay of counted calls: with 1 s, a decaying count is an
  // estimate of calls per second that follows a burst within a second.
  static constexpr duration time_constant = 1s;
  // A peer's demand is dropped when it has not been reported for this long.
  static constexpr duration validity = 1500ms;

 private:
  struct counted_calls {
    demand_rate decayed;  // as of `at`
    time_point at{};
  };
  struct peer_demand {
    time_point received_at{};
    load_scope scope = load_scope::node;
    model_demand demand;
  };
  [[nodiscard]] model_demand sum_of(time_point now, load_scope scope) const;

  std::map<demand_key, counted_calls> own_;
  std::map<node_id, peer_demand> peers_;
};

}  // namespace arbutus
