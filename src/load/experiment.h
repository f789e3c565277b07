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
  poisson,  // open loop: calls arrive at their times, however slow the answers are
  closed,   // closed loop: a fixed number of callers with one call at a time, for the maximum rate
};

struct load_class {
  class_rule rule;
  double fraction = 1.0;  // relative weight of the class among the model calls
};

struct load_workspace {
  fleet_workspace caller;
  double weight = 1.0;  // relative share of the arrivals
};

struct workload {
  duration length = 5s;
  duration warm_up = 1s;  // calls that arrive during it are checked but not measured
  arrival_kind arrivals = arrival_kind::poisson;
  double rate = 50;            // model calls a second, all workspaces together
  std::uint32_t callers = 16;  // for closed arrivals
  std::uint32_t prompt_tokens = 200;
  std::uint32_t answer_tokens = 50;
  double streamed = 0.5;           // fraction of the model calls
  std::uint32_t sessions = 4;      // per workspace; the calls of one share a prompt prefix
  double shared_prefix = 0.5;      // fraction of the prompt
  double bookings_per_second = 0;  // calls that run at most once, in addition to `rate`
  double repeated = 0.3;           // fraction of the bookings that are sent twice with one key
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
  duration at{};                       // after the start of the run
  std::optional<duration> undo_after;  // undone after this time; empty: never
  fault_kind kind = fault_kind::kill_member;
  std::uint32_t data_centre = 0;  // index
  double speed = 0.1;
  duration latency = 500ms;
  std::uint32_t count = 10;
};

enum class call_target {
  nodes,   // round robin over the nodes that are not stopping
  direct,  // round robin over the first members of the replicas: shows what a node adds
  direct_random,
  direct_min_load,  // the first member with the lowest load in its last report, which may be
                    // outdated
};

inline constexpr std::string_view target_names[] = {"nodes", "direct", "direct_random",
                                                    "direct_least"};

// Tests of the checker itself: a safeguard is disabled, and the checker has to detect it.
enum class checker_test_kind {
  none,
  swapped,     // stand-ins called directly swap answers
  duplicated,  // stand-ins called directly send a token twice
  repeated,    // bookings are sent to the service directly
};

inline constexpr std::string_view checker_test_names[] = {"none", "crossed", "duplicated",
                                                          "repeated"};

struct variant {
  std::string name;
  call_target target = call_target::nodes;
  double rate_factor = 1.0;
  std::string only_workspace;  // if set, only this workspace makes calls
  std::string without_workspace;
  std::string workspace;  // arrivals of this workspace are multiplied by the factor below
  double workspace_factor = 1.0;
  std::uint32_t node_workers = 0;  // 0: as in the fleet's settings
  bool with_faults = true;
  checker_test_kind checker_test = checker_test_kind::none;
};

struct experiment {
  std::string name;
  std::string description;
  std::uint64_t seed = 1;
  std::string excluded_workspace;  // the report also has a sum without this workspace
  std::uint32_t rounds = 1;        // each round runs all variants in turn
  fleet_spec shape;                // workspaces and classes come from the workload
  std::vector<endpoint> nodes;     // existing nodes to call instead of a fleet in this process
  model_id model;
  workload work;
  std::vector<scheduled_fault> faults;
  std::vector<variant> variants;  // at least one
};

struct experiment_result {
  experiment value;
  findings problems;  // usable when has_errors(problems) is false
};

// `file_name` appears in the findings. Never throws on invalid text.
[[nodiscard]] experiment_result load_experiment(std::string_view text,
                                                const std::string& file_name);

}  // namespace arbutus
