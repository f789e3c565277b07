// The default policy: the replica where the request is expected to be answered first.
//
// It corrects the reported load, which lags, by what this node did since, learns how fast each
// replica is, credits a warm prefix cache, and avoids stragglers without ever avoiding all.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "request/prefix_index.h"
#include "request/route_policy.h"

namespace arbutus {

struct expected_completion_settings {
  std::uint32_t nodes = 1;           // that send to the same replicas, this one included
  duration first_service_time = 2s;  // per unit of cost, until one was observed
  double smoothing = 0.1;            // weight of a new observation
  duration block_prefill = 2ms;      // saved per prefix block that is in the cache
  // Affinity counts only while the replica's load is below this factor of the mean (plus one).
  double affinity_load_bound = 1.25;
  // A replica slower than the median by this factor is a straggler ...
  double straggler_factor = 2.0;
  // ... and avoided, but at most this part of the replicas at once (and one of two or more).
  double max_avoided = 0.25;
  duration probe_straggler_every = 2s;  // a repeatable request each, to see whether it recovered
  duration slow_start = 10s;            // after a repair, the load rises over this time
  double cross_domain_slowdown = 3.0;   // presumed until observed
  duration failure_memory = 2s;         // avoided after a failed attempt
};

class expected_completion {
 public:
  explicit expected_completion(std::uint64_t seed,
                               const expected_completion_settings& settings = {});

  void set_nodes(std::uint32_t nodes) { settings_.nodes = nodes; }
  // For cache events.
  [[nodiscard]] prefix_index& prefixes() { return prefixes_; }
  // The replica has a new generation or is gone: other VMs, other speed, empty cache.
  void forget(const replica_id& replica);

  std::optional<route_choice> choose(time_point now, const routing_snapshot& routes,
                                     const request_facts& facts, const in_flight& flights,
                                     tried_replicas tried);
  // The chosen request was really sent: its prefix will be in that replica's cache.
  void sent(time_point now, const replica_id& replica, const request_facts& facts);
  void observe(time_point now, const attempt_result& result);

 private:
  struct learnt {
    double seconds_per_cost = 0;  // 0: nothing observed
    std::optional<time_point> failed_at;
    std::optional<time_point> probed_at;
  };
  struct candidate {
    std::size_t index{};
    const replica_route* route{};
    double load{};   // estimated requests there now
    double speed{};  // seconds per unit of cost
    double wait{};   // seconds
    double expected{};
    bool tried = false;
    bool avoided = false;
  };
  using candidates = std::vector<candidate>;

  [[nodiscard]] candidates gather(time_point now, const routing_snapshot& routes,
                                  const request_facts& facts, const in_flight& flights,
                                  tried_replicas tried) const;
  [[nodiscard]] double estimated_load(const replica_route& route, const in_flight& flights) const;
  [[nodiscard]] double median_speed(const candidates& all) const;
  void estimate(time_point now, const request_facts& facts, candidates& all) const;
  void mark_avoided(time_point now, candidates& all, double median) const;
  [[nodiscard]] candidate* due_for_probe(time_point now, const request_facts& facts,
                                         candidates& all);
  [[nodiscard]] candidate* best(candidates& all);

  expected_completion_settings settings_;
  rng random_;
  prefix_index prefixes_;
  std::unordered_map<replica_id, learnt> learnt_;
};

}  // namespace arbutus
