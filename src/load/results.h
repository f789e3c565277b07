// The results of one variant: latencies and outcomes per workspace and class, a timeline, the
// injected faults, and the violated guarantees. The rounds of a variant are added up.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "load/checker.h"
#include "load/latency.h"

namespace arbutus {

struct call_timing {
  bool measured = false;  // the call was planned after the warm-up, so it counts in the figures
  bool complete_in_time = false;  // the answer was complete, and in time by the limits of its class
  duration late_start{};          // how much later than planned the load generator started the call
  duration first_token{};  // from the planned start of the call to its first token; 0: no token
  duration total{};        // from the planned start of the call to its end
  duration per_token{};    // mean time between two tokens after the first; 0: unknown
  duration ended_at{};     // when the call ended, after the start of the run
};

// Results of the measured calls of one workspace and one request class.
struct workspace_class_results {
  latency_histogram first_token;  // time to the first token of streamed answers
  latency_histogram total;
  latency_histogram per_token;
  std::array<std::uint64_t, caller_outcome_names.size()> ends{};  // number of calls by outcome
  std::uint64_t complete_in_time{};

  void add(const call_timing& timing, caller_outcome end);
  workspace_class_results& operator+=(const workspace_class_results& other);
  [[nodiscard]] std::uint64_t calls() const;
  [[nodiscard]] std::uint64_t of(caller_outcome end) const {
    return ends[static_cast<std::size_t>(end)];
  }
};

// Number of calls that ended within one second of the run, by outcome.
struct second_counts {
  std::uint32_t complete{};
  std::uint32_t refused{};  // calls with outcome not_run or unreached
  std::uint32_t failed{};   // calls with outcome unknown, wrong or no_response
};

// A fault that was injected or undone, to be shown in the report.
struct fault_event {
  double at_seconds{};
  std::string text;
};

// Names of a workspace and a request class.
using workspace_and_class = std::pair<std::string, std::string>;

struct variant_result {
  std::string name;
  std::string excluded_workspace;  // workspace without which the report also sums up the results;
                                   // empty: none
  std::uint32_t rounds{};
  double measured_seconds{};
  std::map<workspace_and_class, workspace_class_results> cells;
  latency_histogram late_start;
  std::map<std::string, std::uint64_t> reasons;  // number of incomplete calls by error code
  std::vector<second_counts> timeline;           // outcomes in all rounds, by second of the run
  std::vector<fault_event> events;               // faults of the last round
  std::array<std::uint64_t, guarantee_names.size()> violation_counts{};
  std::vector<std::string> violation_examples;
  std::uint64_t not_run_checked{};
  std::uint64_t bookings_checked{};
  // Set if the variant disables a safeguard to test the checker: this guarantee must be violated,
  // and no other.
  std::optional<guarantee> expected_violation;
  // Failures of the load run itself, such as a fleet that did not start.
  std::vector<std::string> problems;

  void add(const workspace_and_class& cell, const call_timing& timing, caller_outcome end);
  void add(const guarantee_checker& checker);
  variant_result& operator+=(const variant_result& other);

  [[nodiscard]] workspace_class_results sum() const;
  // Sum of the results of all workspaces but this one.
  [[nodiscard]] workspace_class_results sum_without(const std::string& workspace) const;
  [[nodiscard]] std::uint64_t violations() const;
  // Whether all guarantees held, or, if one was expected to be violated, whether exactly that one
  // was.
  [[nodiscard]] bool passed() const;
};

struct experiment_report {
  std::string name;
  std::string description;
  std::uint64_t seed{};
  std::vector<variant_result> variants;

  [[nodiscard]] bool passed() const;
};

}  // namespace arbutus
