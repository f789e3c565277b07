// An experiment: a fleet, a workload, a timeline of faults, and the variants to run one after the
// other in one run, so that their figures can be compared. Read from TOML; all errors are reported.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/finding.h"
#include "base/units.h"
#include "load/fleet.h"
#include "version/inventory.h"

namespace arbutus {

enum class arrival_kind {
  poisson,  // open loop: each call starts at its random planned time, however slow earlier answers
            // are
  closed,   // closed loop: a fixed number of callers, each with one call at a time, which measures
            // the maximum rate
};

struct load_class {
  class_rule rule;
  double fraction = 1.0;  // relative weight of this class among the calls of models
};

struct load_workspace {
  fleet_workspace caller;
  double weight = 1.0;  // relative weight of this workspace among the calls
};

struct workload {
  duration length = 5s;
  duration warm_up = 1s;  // initial time in which calls are checked but not measured
  arrival_kind arrivals = arrival_kind::poisson;
  double rate = 50;            // calls of the model per second, all workspaces together
  std::uint32_t callers = 16;  // number of callers with closed-loop arrivals
  std::uint32_t prompt_tokens = 200;
  std::uint32_t answer_tokens = 50;
  double streamed_fraction = 0.5;  // fraction of the model calls that request a streamed answer
  std::uint32_t sessions_per_workspace =
      4;  // per workspace; the calls of one session share a prompt prefix
  double shared_prefix_fraction = 0.5;  // fraction of each prompt that the calls of a session share
  // Calls with an idempotency key to the service, in addition to `rate`.
  double bookings_per_second = 0;
  // Fraction of the bookings that are sent twice with the same idempotency key.
  double repeated_booking_fraction = 0.3;
  duration timeout = 20s;
  std::vector<load_class> classes;
  std::vector<load_workspace> workspaces;
};

enum class fault_kind {
  kill_member,   // kills a member of a serving replica
  straggler,     // slows a member of a serving replica down to `speed`
  leaving,       // announces that a member of a serving replica leaves
  table_down,    // the table refuses every call
  table_slow,    // each call of the table takes `latency`
  lose_replies,  // the replies of the next `count` writes to the table are lost
  cut_off,       // a data centre is cut off from the platform
  swapped,       // the next `count` pairs of answers of each replica are swapped
  late,          // the next `count` answers of each replica are delayed by `latency`
  truncated,     // the next `count` answers of each replica are truncated
  service_cut,   // the next `count` calls of the service run, but their answers are lost
  stop_node,     // a planned stop of a node
};

inline constexpr std::string_view fault_names[] = {
    "kill_member", "straggler", "leaving", "table_down", "table_slow",  "lose_replies",
    "cut_off",     "crossed",   "late",    "truncated",  "service_cut", "stop_node"};

struct scheduled_fault {
  duration at{};  // when the fault is injected, after the start of the run
  // Time after injection at which the fault is undone; empty: never.
  std::optional<duration> undo_after;
  fault_kind kind = fault_kind::kill_member;
  std::uint32_t data_centre = 0;  // index of the data centre in the fleet
  double speed = 0.1;
  duration latency = 500ms;
  std::uint32_t count = 10;
};

enum class call_target {
  nodes,   // round robin over the nodes that are not stopping
  direct,  // round robin over the first members of the replicas: shows what a node adds
  direct_random,
  direct_min_load,  // the replica whose first member reported the lowest load; the report may be
                    // outdated
};

inline constexpr std::string_view target_names[] = {"nodes", "direct", "direct_random",
                                                    "direct_least"};

// Tests of the checker itself: a safeguard is disabled, and the checker has to detect it.
enum class checker_test_kind {
  none,
  swapped,     // calls go to the stand-ins directly, which swap answers
  duplicated,  // calls go to the stand-ins directly, which send a token twice
  repeated,    // bookings go to the service directly, which runs a repeated one twice
};

inline constexpr std::string_view checker_test_names[] = {"none", "crossed", "duplicated",
                                                          "repeated"};

struct variant {
  std::string name;
  call_target target = call_target::nodes;
  double rate_factor = 1.0;
  std::string only_workspace;  // if set, only this workspace makes calls
  std::string without_workspace;
  std::string
      scaled_workspace;  // the call rate of this workspace is multiplied by `workspace_factor`
  double workspace_factor = 1.0;
  std::uint32_t node_workers = 0;  // worker threads of each node; 0: as in the fleet's settings
  bool with_faults = true;
  checker_test_kind checker_test = checker_test_kind::none;
};

struct experiment {
  std::string name;
  std::string description;
  std::uint64_t seed = 1;
  std::string excluded_workspace;  // the report also sums up the results without this workspace
  std::uint32_t rounds = 1;        // each round runs all variants in turn
  fleet_spec fleet_config;         // workspaces and classes come from the workload
  std::vector<endpoint> nodes;     // existing nodes to call instead of a fleet in this process
  model_id model;
  workload work;
  std::vector<scheduled_fault> faults;
  std::vector<variant> variants;  // variants to run; at least one
};

struct experiment_result {
  experiment value;
  findings problems;  // errors and warnings; `value` is usable if there is no error
};

// `file_name` appears in the findings. Never throws on invalid text.
[[nodiscard]] experiment_result load_experiment(std::string_view text,
                                                const std::string& file_name);

}  // namespace arbutus
