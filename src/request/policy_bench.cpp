// Runs all policy simulations and prints their figures.
#include "request/policy_bench.h"

#include <iomanip>

#include "base/hash.h"

namespace arbutus {

namespace {

std::uint64_t mix(std::uint64_t signature, std::uint64_t more) {
  return stable_hash(std::to_string(more), signature);
}

admission_load overload(double times, bool first_come_first_served) {
  admission_load load;
  const double capacity = load.slots / to_seconds(load.mean_service_time_per_cost);
  load.workspaces = {{"only", 1.0, capacity * times}};
  load.first_come_first_served = first_come_first_served;
  return load;
}

std::uint64_t print_overload(std::ostream& out, std::uint64_t seed) {
  out << "overload: useful part of all slot time\n";
  std::uint64_t signature = 0;
  for (const double times : {0.7, 1.0, 1.5, 2.0, 3.0}) {
    const admission_figures ours = run_admission(overload(times, false), seed);
    const admission_figures base = run_admission(overload(times, true), seed);
    out << "  " << std::setprecision(1) << times << "x  goodput " << std::setprecision(3)
        << ours.goodput << "  late " << ours.workspaces[0].late << "  refused "
        << ours.workspaces[0].refused << " (" << ours.workspaces[0].refused_after_waiting
        << " after waiting)   | first come: goodput " << base.goodput << "\n";
    signature = mix(signature, ours.signature);
  }
  return signature;
}

std::uint64_t print_fairness(std::ostream& out, std::uint64_t seed) {
  admission_load load;
  const double capacity = load.slots / to_seconds(load.mean_service_time_per_cost);
  // Four small workspaces use 0.6 of their share; the large one demands five times its share.
  for (const char* name : {"a", "b", "c", "d"}) {
    load.workspaces.push_back({name, 1.0, 0.6 * capacity / 8});
  }
  const admission_figures alone = run_admission(load, seed);
  load.workspaces.push_back({"large", 4.0, 5 * capacity / 2});
  const admission_figures together = run_admission(load, seed);
  load.first_come_first_served = true;
  const admission_figures base = run_admission(load, seed);
  out << "fairness: a large workspace at 5x its share, p99 answer of a small one\n"
      << "  alone " << alone.workspaces[0].p99_answer << " s  together "
      << together.workspaces[0].p99_answer << " s  ratio "
      << together.workspaces[0].p99_answer / alone.workspaces[0].p99_answer << "  refused "
      << together.workspaces[0].refused << " of " << together.workspaces[0].submitted
      << "  slots busy " << together.busy_slot_fraction
      << "  | first come: " << base.workspaces[0].p99_answer << " s\n";
  return together.signature;
}

std::uint64_t print_routing(std::ostream& out, std::uint64_t seed) {
  out << "routing: one straggler of 20 replicas, 6 nodes, skewed prefixes; first token\n";
  std::uint64_t signature = 0;
  for (const duration lag : {duration(0ms), duration(500ms), duration(2s)}) {
    routing_load load;
    load.load_report_lag = lag;
    for (const policy_kind kind :
         {policy_kind::expected_completion, policy_kind::least_reported_load,
          policy_kind::two_choices, policy_kind::round_robin, policy_kind::random_choice}) {
      const routing_figures f = run_routing(kind, load, seed);
      out << "  lag " << std::setprecision(1) << to_seconds(lag) << " s  " << std::left
          << std::setw(20) << to_string(kind) << std::right << std::setprecision(3) << " p50 "
          << f.p50_first_token << " s  p99 " << f.p99_first_token << " s  answer p99 "
          << f.p99_answer << " s  cached " << f.cache_hits << "\n";
      signature = mix(signature, f.signature);
    }
  }
  return signature;
}

std::uint64_t print_retries(std::ostream& out, std::uint64_t seed) {
  out << "retries: two hops, the target fails from 30 s to 90 s; attempts per request\n";
  std::uint64_t signature = 0;
  for (const double part : {0.2, 1.0}) {
    for (const bool with_budget : {true, false}) {
      const retry_figures f = run_retries(with_budget, part, seed);
      out << "  failing " << std::setprecision(1) << part << std::setprecision(3)
          << (with_budget ? "  budget    " : "  unbounded ") << " mean "
          << static_cast<double>(f.attempts) / static_cast<double>(f.requests) << "  worst second "
          << f.max_attempts_per_request_in_second << "  answered " << f.answered << " of "
          << f.requests << "\n";
      signature = mix(signature, f.signature);
    }
  }
  return signature;
}

std::uint64_t print_limits(std::ostream& out, std::uint64_t seed) {
  out << "limits: 6 nodes; figures are multiples of the limit\n";
  std::uint64_t signature = 0;
  for (const limit_phase_figures& f : run_limits(seed)) {
    out << "  " << std::left << std::setw(32) << f.phase << std::right << " demand " << f.demand
        << "  passed " << f.passed << "  worst second " << f.worst_second << "\n";
    signature = mix(signature, static_cast<std::uint64_t>(f.passed * 1e6));
  }
  return signature;
}

}  // namespace

std::uint64_t print_policy_bench(std::ostream& out, std::uint64_t seed) {
  const std::ios_base::fmtflags flags = out.flags();
  out << std::fixed;
  std::uint64_t signature = print_overload(out, seed);
  signature = mix(signature, print_fairness(out, seed));
  signature = mix(signature, print_routing(out, seed));
  signature = mix(signature, print_retries(out, seed));
  signature = mix(signature, print_limits(out, seed));
  out << "signature: " << signature << "\n";
  out.flags(flags);
  return signature;
}

}  // namespace arbutus
