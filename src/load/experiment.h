// An experiment: a fleet, a workload, a timeline of faults, and the variants to run one after the
// other in one run, so that their figures can be compared. Read from TOML and checked whole.
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
  poisson,  // open loop: calls come when they come, however slowly answers go out
  closed,   // a fixed number of callers, each with one call at a time: for the highest rate
};

struct load_class {
  class_rule rule;
  double fraction = 1.0;  // weight among the calls
};

struct load_workspace {
  fleet_workspace caller;
  double weight = 1.0;  // of its part of the arrivals
};

struct workload {
  duration length = 5s;
  duration warm_up = 1s;  // calls that arrive in it are checked, not measured
  arrival_kind arrivals = arrival_kind::poisson;
  double rate = 50;            // model calls a second, all workspaces together
  std::uint32_t callers = 16;  // for closed
  std::uint32_t prompt_tokens = 200;
  std::uint32_t answer_tokens = 50;
  double streamed = 0.5;           // fraction of the model calls
  std::uint32_t sessions = 4;      // per workspace; the calls of one share a prompt prefix
  double shared_prefix = 0.5;      // fraction of the prompt
  double bookings_per_second = 0;  // calls that run at most once, besides `rate`
  double repeated = 0.3;           // fraction of the bookings that are sent again, same key
  duration timeout = 20s;
  std::vector<load_class> classes;
  std::vector<load_workspace> workspaces;
};

enum class fault_kind {
  kill_member,   // of a serving replica
  straggler,     // a serving replica's member at `speed`
  leaving,       // a serving replica's member
  table_down,    // refuses every call
  table_slow,    // each call takes `latency`
  lose_replies,  // of the next `count` writes to the table
  cut_off,       // a data centre from the platform
  crossed,       // the next `count` pairs of answers of each replica
  late,          // the next `count` answers of each replica come `latency` late
  truncated,     // the next `count` answers of each replica
  service_cut,   // the next `count` calls of the service run and lose their answers
  stop_node,     // a planned stop
};

inline constexpr std::string_view fault_names[] = {
    "kill_member", "straggler", "leaving", "table_down", "table_slow",  "lose_replies",
    "cut_off",     "crossed",   "late",    "truncated",  "service_cut", "stop_node"};

struct timed_fault {
  duration at{};                  // after the first arrival
  std::optional<duration> lasts;  // undone then; else it stays
  fault_kind kind = fault_kind::kill_member;
  std::uint32_t data_centre = 0;  // index
  double speed = 0.1;
  duration latency = 500ms;
  std::uint32_t count = 10;
};

enum class call_target {
  nodes,   // in turn, those that are stopping left out
  direct,  // the first members of the replicas, in turn: the measure for what a node adds
  direct_random,
  direct_least,  // the one that reports least load; reports lag
};

inline constexpr std::string_view target_names[] = {"nodes", "direct", "direct_random",
                                                    "direct_least"};

// Safeguards that the checker itself is tried on: a run without them has to be caught.
enum class self_check {
  none,
  crossed,     // of stand-ins called directly
  duplicated,  // a token twice, of stand-ins called directly
  repeated,    // bookings sent to the service directly
};

inline constexpr std::string_view self_check_names[] = {"none", "crossed", "duplicated",
                                                        "repeated"};

struct variant {
  std::string name;
  call_target target = call_target::nodes;
  double rate_factor = 1.0;
  std::string only_workspace;  // if set, no other calls
  std::string without_workspace;
  std::string workspace;  // whose arrivals are multiplied
  double workspace_factor = 1.0;
  std::uint32_t node_workers = 0;  // 0: as the fleet says
  bool with_faults = true;
  self_check check_self = self_check::none;
};

struct experiment {
  std::string name;
  std::string description;
  std::uint64_t seed = 1;
  std::string apart;            // a workspace; the report also sums all others
  std::uint32_t rounds = 1;     // how often all variants are run, in turn
  fleet_shape shape;            // workspaces and classes come from the workload
  std::vector<endpoint> nodes;  // existing nodes to call instead of a fleet in this process
  model_id model;
  workload work;
  std::vector<timed_fault> faults;
  std::vector<variant> variants;  // at least one
};

struct experiment_result {
  experiment value;
  findings problems;  // usable when has_errors(problems) is false
};

// `file_name` stands in the findings. Never throws on bad text.
[[nodiscard]] experiment_result load_experiment(std::string_view text,
                                                const std::string& file_name);

}  // namespace arbutus
