// Measures the request policies (admission, routing, retries, rate limits) against baselines on
// virtual time, so that the same seed gives the same figures on every machine. Each simulation
// calls the production policy code in a small model of its surroundings, not of a whole cluster.
#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "base/units.h"

namespace arbutus {

// Prints all figures. Returns a hash of the decisions made, which changes only when a decision
// changes.
std::uint64_t print_policy_bench(std::ostream& out, std::uint64_t seed);

// ---- admission: one model on one node; each slot serves one request at a time ----

struct workspace_load {
  std::string name;
  double share = 1.0;
  double per_second{};  // mean rate of the workspace's requests, which arrive as a Poisson process
};

struct admission_load {
  std::vector<workspace_load> workspaces;
  std::uint32_t slots = 40;
  duration mean_service_time_per_cost =
      2s;  // service time per unit of cost; costs are uniform in [0.5, 1.5)
  duration deadline = 6s;
  duration length = 600s;
  bool first_come_first_served =
      false;  // baseline: one queue in order of arrival, no request is refused
};

struct workspace_figures {
  std::uint64_t submitted{};
  std::uint64_t useful{};                 // answered before the deadline
  std::uint64_t late{};                   // answered after the deadline
  std::uint64_t refused{};                // on arrival or in the queue
  std::uint64_t refused_after_waiting{};  // refused after more than one tick in the queue
  double p50_wait{};                      // seconds from arrival to start, of started requests
  double p99_wait{};
  double p99_answer{};   // seconds from arrival to the end, of answered requests
  double p99_refusal{};  // seconds from arrival to the refusal
};

struct admission_figures {
  std::vector<workspace_figures> workspaces;  // one per entry of admission_load::workspaces
  double goodput{};                           // fraction of slot time spent on useful requests
  double busy_slot_fraction{};                // fraction of slot time in use
  std::uint64_t useful{};
  std::uint64_t signature{};  // hash of the decisions made
};

[[nodiscard]] admission_figures run_admission(const admission_load& load, std::uint64_t seed);

// ---- routing: several nodes route to the same replicas, with delayed load reports ----

enum class policy_kind {
  expected_completion,
  least_reported_load,
  two_choices,
  round_robin,
  random_choice,
};
[[nodiscard]] std::string to_string(policy_kind kind);

struct routing_load {
  std::uint32_t nodes = 6;
  std::uint32_t replicas = 20;
  std::uint32_t slots = 8;
  std::uint32_t stragglers = 1;
  double straggler_factor = 5.0;
  // Offered load as a fraction of the capacity that all replicas would have without stragglers and
  // with empty caches.
  double utilisation = 0.7;
  duration report_interval = 250ms;
  duration load_report_lag = 500ms;  // from the sampling of a load report until nodes receive it
  duration decode_time_per_cost =
      1s;  // decoding time per unit of cost; costs are exponential with mean 1
  duration prefill_time_per_block = 5ms;  // prefill time of a prefix block that is not in the cache
  std::uint32_t blocks = 40;              // prefix blocks per prompt
  std::uint32_t prefixes = 200;           // distinct prefixes, with Zipf-distributed popularity
  std::uint32_t cache_blocks = 1600;      // cache size of a replica: a fifth of all prefixes
  duration cache_event_lag = 500ms;       // from a change of a cache until nodes receive the event
  double lost_event_batch_fraction = 0.05;  // fraction of the batches of cache events that are lost
  duration length = 300s;
};

struct routing_figures {
  std::uint64_t answered{};
  double p50_first_token{};  // seconds
  double p99_first_token{};
  double p99_answer{};
  double cache_hits{};        // fraction of the prompt blocks that were in the replica's cache
  std::uint64_t signature{};  // hash of the decisions made
};

[[nodiscard]] routing_figures run_routing(policy_kind kind, const routing_load& load,
                                          std::uint64_t seed);

// ---- retries: two hops in front of a target that fails for some time ----

struct retry_figures {
  std::uint64_t requests{};
  std::uint64_t attempts{};  // attempts that reached the target
  std::uint64_t answered{};
  double
      max_attempts_per_request_in_second{};  // highest ratio of attempts to requests in one second
  std::uint64_t signature{};                 // hash of the decisions made
};

// With `with_budget` false, each hop retries independently, up to max_attempts. `failing_fraction`
// is the fraction of attempts that fail while the target is faulty.
[[nodiscard]] retry_figures run_retries(bool with_budget, double failing_fraction,
                                        std::uint64_t seed);

// ---- limits: nodes that share a rate limit, through network partitions and their end ----

struct limit_phase_figures {
  std::string phase;  // name of the phase of the run
  // As multiples of the limit:
  double demand{};
  double passed{};        // mean rate of requests admitted during the phase
  double worst_second{};  // most requests passed in one second
};

[[nodiscard]] std::vector<limit_phase_figures> run_limits(std::uint64_t seed);

}  // namespace arbutus
