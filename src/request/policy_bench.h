// Measures the request decisions against their baselines in virtual time: the same seed gives the
// same figures on every machine. Small loops around the real decisions; no cluster is modelled.
#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "base/units.h"

namespace arbutus {

// Prints all figures and returns a signature of the decisions made: it changes only when a
// decision changes.
std::uint64_t print_policy_bench(std::ostream& out, std::uint64_t seed);

// ---- admission: one model at one node, slots that serve one request each ----

struct workspace_load {
  std::string name;
  double share = 1.0;
  double per_second{};  // Poisson arrivals
};

struct admission_load {
  std::vector<workspace_load> workspaces;
  std::uint32_t slots = 40;
  duration mean_service = 2s;  // per unit of cost; costs are uniform in 0.5 .. 1.5
  duration deadline = 6s;
  duration length = 600s;
  bool first_come = false;  // baseline: one queue in order of arrival, nothing refused
};

struct workspace_figures {
  std::uint64_t asked{};
  std::uint64_t useful{};           // answered before the deadline
  std::uint64_t late{};             // answered after it
  std::uint64_t refused{};          // at once or while waiting
  std::uint64_t refused_waiting{};  // of these, after more than a tick of waiting
  double p50_wait{};                // seconds from arrival to start, of those started
  double p99_wait{};
  double p99_answer{};   // seconds from arrival to the end, of those answered
  double p99_refusal{};  // seconds from arrival to the refusal
};

struct admission_figures {
  std::vector<workspace_figures> workspaces;  // in the order of the load
  double goodput{};                           // useful slot time over all slot time
  double busy{};                              // slot time in use
  std::uint64_t useful{};
  std::uint64_t signature{};
};

[[nodiscard]] admission_figures run_admission(const admission_load& load, std::uint64_t seed);

// ---- routing: several nodes before the same replicas, with lagged reports ----

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
  double utilisation = 0.7;  // of all replicas at full speed and with cold caches
  duration report_every = 250ms;
  duration lag = 500ms;               // of reports, beyond their interval
  duration decode = 1s;               // per unit of cost; costs are exponential around 1
  duration block_prefill = 5ms;       // per prefix block that is not in the cache
  std::uint32_t blocks = 40;          // of each prompt
  std::uint32_t prefixes = 200;       // different ones, by Zipf's law
  std::uint32_t cache_blocks = 1600;  // per replica: a fifth of all prefixes
  duration event_lag = 500ms;         // of cache events
  double lost_events = 0.05;          // part of the batches
  duration length = 300s;
};

struct routing_figures {
  std::uint64_t answered{};
  double p50_first_token{};  // seconds
  double p99_first_token{};
  double p99_answer{};
  double cache_hits{};  // part of blocks
  std::uint64_t signature{};
};

[[nodiscard]] routing_figures run_routing(policy_kind kind, const routing_load& load,
                                          std::uint64_t seed);

// ---- retries: two hops before a target that fails for a while ----

struct retry_figures {
  std::uint64_t requests{};
  std::uint64_t attempts{};  // that met the target
  std::uint64_t answered{};
  double worst_ratio{};  // attempts per request in the worst second
  std::uint64_t signature{};
};

// `with_budget` false: each hop retries on its own, as often as max_attempts allows.
[[nodiscard]] retry_figures run_retries(bool with_budget, double failing_part, std::uint64_t seed);

// ---- limits: nodes that share a rate limit, cut and joined again ----

struct limit_phase_figures {
  std::string phase;
  double demand{};        // over the limit
  double passed{};        // over the limit, mean of the phase
  double worst_second{};  // over the limit
};

[[nodiscard]] std::vector<limit_phase_figures> run_limits(std::uint64_t seed);

}  // namespace arbutus
