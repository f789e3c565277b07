// Choice of the replica that runs a request.
//
// A policy is a value that is asked for a choice and told how attempts went. All policies share
// one rule that none may bend: a route is used only while it is permitted (`may_use`).
//
// Not thread-safe: under its shard's lock.
#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "base/id.h"
#include "base/rng.h"
#include "base/units.h"
#include "process/routes.h"
#include "request/facts.h"
#include "request/in_flight.h"
#include "request/prefix_index.h"

namespace arbutus {

// Whether new work may go to this route now. To be asked again directly before the send: the
// caller may have been paused since it chose.
[[nodiscard]] bool may_use(time_point now, const replica_route& route);

struct route_choice {
  replica_id replica;
  std::size_t index{};       // in routing_snapshot::replicas
  duration expected_wait{};  // before the request gets a slot there
  duration expected{};       // to the whole answer
  bool last_resort = false;  // all looked bad
};

// How an attempt ended, as this node saw it.
struct attempt_result {
  replica_id replica;
  double cost{};
  duration first_token{};  // from the send
  duration total{};        // from the send
  bool failed = false;     // broken off or refused; the times are not used
};

template <class P>
concept routing_policy = requires(P policy, time_point now, const routing_snapshot& routes,
                                  const request_facts& facts, const in_flight& flights,
                                  std::span<const replica_id> tried, const attempt_result& result) {
  {
    policy.choose(now, routes, facts, flights, tried)
    } -> std::same_as<std::optional<route_choice>>;
  {policy.observe(now, result)};
};

// ---- baselines ----

class random_choice {
 public:
  explicit random_choice(std::uint64_t seed) : random_(seed) {}
  std::optional<route_choice> choose(time_point now, const routing_snapshot& routes,
                                     const request_facts& facts, const in_flight& flights,
                                     std::span<const replica_id> tried);
  void observe(time_point, const attempt_result&) {}

 private:
  rng random_;
};

class round_robin {
 public:
  std::optional<route_choice> choose(time_point now, const routing_snapshot& routes,
                                     const request_facts& facts, const in_flight& flights,
                                     std::span<const replica_id> tried);
  void observe(time_point, const attempt_result&) {}

 private:
  std::size_t next_ = 0;
};

class least_reported_load {
 public:
  explicit least_reported_load(std::uint64_t seed) : random_(seed) {}
  std::optional<route_choice> choose(time_point now, const routing_snapshot& routes,
                                     const request_facts& facts, const in_flight& flights,
                                     std::span<const replica_id> tried);
  void observe(time_point, const attempt_result&) {}

 private:
  rng random_;
};

class two_choices {
 public:
  explicit two_choices(std::uint64_t seed) : random_(seed) {}
  std::optional<route_choice> choose(time_point now, const routing_snapshot& routes,
                                     const request_facts& facts, const in_flight& flights,
                                     std::span<const replica_id> tried);
  void observe(time_point, const attempt_result&) {}

 private:
  rng random_;
};

// ---- the default ----

struct expected_completion_settings {
  std::uint32_t nodes = 1;           // that send to the same replicas, this one included
  duration first_service_time = 2s;  // per unit of cost, until one was observed
  double smoothing = 0.1;            // weight of a new observation
  duration block_prefill = 2ms;      // saved per prefix block that is in the cache
  // Affinity may make a replica busier than the mean by at most this factor.
  double affinity_load_bound = 1.25;
  // A replica slower than the median by this factor is a straggler ...
  double straggler_factor = 2.0;
  // ... and avoided, but never more than this part of the replicas at once.
  double max_avoided = 0.25;
  duration probe_straggler_every = 2s;  // one request each, to see whether it recovered
  duration slow_start = 10s;            // after a repair, the load rises over this time
  duration cross_domain_penalty = 1h;   // larger than any wait: last of all
  duration failure_memory = 2s;         // avoided after a failed attempt
};

class expected_completion {
 public:
  expected_completion(std::uint64_t seed, const expected_completion_settings& settings = {});

  void set_nodes(std::uint32_t nodes) { settings_.nodes = nodes; }
  [[nodiscard]] prefix_index& prefixes() { return prefixes_; }

  std::optional<route_choice> choose(time_point now, const routing_snapshot& routes,
                                     const request_facts& facts, const in_flight& flights,
                                     std::span<const replica_id> tried);
  // Also to be called when a chosen request was really sent, so that its prefix is known there.
  void sent(time_point now, const replica_id& replica, const request_facts& facts);
  void observe(time_point now, const attempt_result& result);

 private:
  struct learnt {
    double seconds_per_cost = 0;  // 0: nothing observed
    time_point observed;
    time_point failed_at = time_point::min();
    time_point probed_at = time_point::min();
  };
  struct candidate {
    std::size_t index{};
    double load{};  // estimated requests there now
    double seconds{};
    double speed{};  // seconds per unit of cost
    double wait{};
    bool avoided = false;
  };

  [[nodiscard]] double estimated_load(time_point now, const replica_route& route,
                                      const in_flight& flights) const;
  [[nodiscard]] double speed_of(const replica_id& replica, double median) const;
  [[nodiscard]] candidate score(time_point now, std::size_t index, const replica_route& route,
                                const request_facts& facts, const in_flight& flights,
                                double median) const;
  void mark_avoided(time_point now, const routing_snapshot& routes,
                    std::vector<candidate>& candidates, double median) const;

  expected_completion_settings settings_;
  rng random_;
  prefix_index prefixes_;
  std::unordered_map<replica_id, learnt> learnt_;
};

// ---- capacity seen by this node, and spill-over ----

// Free and total slots of the model that one of `nodes` equal nodes may use now: the free slots,
// corrected by what this node sent since they were reported, divided among the nodes.
struct slot_count {
  std::uint32_t free_slots{};
  std::uint32_t slots{};
};
[[nodiscard]] slot_count usable_slots(time_point now, const routing_snapshot& routes,
                                      const model_id& model, const in_flight& flights,
                                      std::uint32_t nodes);

struct spill_settings {
  duration max_summary_age = 10s;  // older summaries of other data centres are not trusted
  double margin = 1.5;             // a remote wait is less certain, so it has to be better by this
  duration min_gain = 100ms;
};

// Round trip to another data centre, as this node's links measure it.
struct data_centre_distance {
  data_centre_id data_centre;
  duration round_trip{};
};

// The data centre to send to when it is expected to answer earlier than waiting here. `local_wait`
// is empty if nobody here serves the model. A request that was spilled once is not spilled again.
[[nodiscard]] std::optional<remote_capacity> choose_spill(
    time_point now, const routing_snapshot& routes, const request_facts& facts,
    std::optional<duration> local_wait, std::span<const data_centre_distance> distances,
    bool already_spilled, const spill_settings& settings = {});

}  // namespace arbutus
