// The default routing policy: chooses the replica with the earliest expected completion.
//
// Corrects the replicas' delayed load reports by the requests sent and ended since, measures the
// speed of each replica, prefers replicas that have the prompt's prefix cached, and avoids
// unusually slow replicas (stragglers) but never all replicas.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "request/prefix_index.h"
#include "request/route_policy.h"

namespace arbutus {

struct expected_completion_settings {
  std::uint32_t nodes = 1;  // nodes that send to the same replicas, this one included
  // Assumed service time per unit of request cost until the first observation of a replica.
  duration initial_service_time_per_cost = 2s;
  double observation_weight = 0.1;        // weight of a new observation of a replica's speed
  duration prefill_time_per_block = 2ms;  // prefill time saved per cached prefix block
  // A cached prefix is credited only while the replica's load is at most this factor of the mean
  // load plus 1.
  double affinity_load_bound = 1.25;
  // A replica slower than the median by this factor is a straggler and avoided.
  double straggler_factor = 2.0;
  // At most this fraction of the replicas is avoided, but at least one if there are two or more.
  double max_avoided_fraction = 0.25;
  // A straggler gets one repeatable request per interval, to detect that it has recovered.
  duration straggler_probe_interval = 2s;
  duration slow_start_duration = 10s;  // ramp-up time of the load of a repaired replica
  // Assumed slowdown factor of a replica that crosses fabric domains, until its speed is observed.
  double cross_domain_slowdown = 3.0;
  duration failure_retention = 2s;  // how long a replica is avoided after a failed attempt
};

class expected_completion {
 public:
  explicit expected_completion(std::uint64_t seed,
                               const expected_completion_settings& settings = {});

  void set_nodes(std::uint32_t nodes) { settings_.nodes = nodes; }
  // The index of the replicas' prefix caches, which the caller updates with the engines' events.
  [[nodiscard]] prefix_index& prefixes() { return prefixes_; }
  // The replica was removed or has a new generation: other VMs, another speed, an empty cache.
  void forget(const replica_id& replica);

  std::optional<route_choice> choose(time_point now, const routing_snapshot& routes,
                                     const request_facts& facts, const in_flight& flights,
                                     tried_replicas tried);
  // The request was sent: its prefix will be in that replica's cache.
  void sent(time_point now, const replica_id& replica, const request_facts& facts);
  void observe(time_point now, const attempt_result& result);

 private:
  struct replica_stats {
    double seconds_per_cost = 0;  // 0: nothing observed
    std::optional<time_point> failed_at;
    std::optional<time_point> probed_at;
  };
  struct candidate {
    std::size_t index{};
    const replica_route* route{};
    double load{};         // estimated number of requests at the replica now
    double speed{};        // seconds per unit of cost
    double wait{};         // expected seconds until the request gets a slot
    double expected{};     // expected seconds until the response is complete
    bool tried = false;    // an earlier attempt of this request went to the replica
    bool avoided = false;  // a straggler, or failed recently
  };
  using candidates = std::vector<candidate>;

  [[nodiscard]] candidates gather_candidates(time_point now, const routing_snapshot& routes,
                                             const request_facts& facts, const in_flight& flights,
                                             tried_replicas tried) const;
  [[nodiscard]] double estimated_load(const replica_route& route, const in_flight& flights) const;
  [[nodiscard]] double median_speed(const candidates& all) const;
  void estimate(time_point now, const request_facts& facts, candidates& all) const;
  void mark_avoided(time_point now, candidates& all, double median) const;
  [[nodiscard]] candidate* replica_due_for_probe(time_point now, const request_facts& facts,
                                                 candidates& all);
  [[nodiscard]] candidate* best(candidates& all);

  expected_completion_settings settings_;
  rng random_;
  prefix_index prefixes_;
  std::unordered_map<replica_id, replica_stats> stats_;
};

}  // namespace arbutus
