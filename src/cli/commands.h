// The subcommands of the program: their options and the meaning of the exit status.
#pragma once

#include <chrono>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "base/units.h"
#include "version/inventory.h"

namespace arbutus {

// Exit status of the program, for scripts. Documented in docs/operators/commands.md.
enum class exit_code {
  ok = 0,
  failure = 1,       // the command ran and did not succeed
  usage = 2,         // the command line is wrong; nothing was done
  input_errors = 3,  // the input has errors; nothing was done
  conflict = 4,      // another change of the configuration came first; nothing was done
  unreachable = 5,   // certainly not done: no node could be reached
  unknown = 6,       // may have been done: no reply, and retries did not show the outcome
};

constexpr int to_status(exit_code code) {
  return static_cast<int>(code);
}

struct check_options {
  std::vector<std::string> paths;  // configuration directories, or files
  bool strict = false;             // warnings count as errors
};

struct node_options {
  std::string settings_file;
};

// Runs a node on the hosted platform, which stores the configuration and runs the targets.
struct hosted_options {
  std::string settings_file;
};

// Runs a stand-in of the hosted platform on loopback: its store, some engines, and a service that
// is not a model.
struct platform_options {
  std::vector<std::string> data_centres;
  std::uint32_t engines_per_data_centre = 9;  // engines in each data centre
  std::uint16_t store_port = 0;               // port of the store; 0: any free port
  std::uint16_t control_port = 0;             // port for commands that inject faults; 0: none
  duration event_gap{};                       // time between the events of a streamed answer
};

// Shows the timeline of one request, from the log lines of all nodes.
struct explain_options {
  std::string request;             // id of the request
  std::vector<std::string> files;  // empty: standard input
};

struct outcomes_options {
  std::vector<std::string> files;  // empty: standard input
  std::chrono::seconds window{2};
};

struct apply_options {
  std::string directory;
  std::vector<endpoint> nodes;  // endpoints of nodes, tried one after the other until one replies
  std::string key;              // the operators' key
  std::uint64_t base_version =
      0;                 // configuration version that the change was made on; 0: the newest one
  std::string proposal;  // id of an earlier attempt with unknown outcome; empty: a new id
  bool dry_run = false;
  duration timeout = 30s;
};

struct status_options {
  std::vector<endpoint> nodes;  // endpoints of the nodes for callers
  std::string key;              // the operators' key
  bool json = false;
  duration timeout = 2s;
};

struct bench_options {
  std::string filter;  // runs the benchmarks whose name contains this text; empty: all
  bool full = false;   // whether to print the long tables of measurements, too
  duration measurement_length = 1s;  // duration of each connection measurement in the long tables
  std::uint64_t seed = 1;
};

struct load_options {
  std::string experiment_file;
  std::string out_directory;          // directory for the result files; empty: none are written
  std::vector<std::string> variants;  // names of the variants to run; empty: all
  std::uint64_t seed = 0;  // seed of the random choices; 0: the one in the experiment file
  bool json = false;
};

struct trial_options {
  bool keep_nodes_running = false;  // keep the nodes running after the trial until interrupted
};

// Runs stand-ins of the platform and the targets at the endpoints that a configuration gives them.
struct standin_options {
  std::string directory;
  std::string settings_file;  // settings file of any node, for the platform's endpoints
  bool platform = true;
  bool engines = true;
  bool services = true;
  std::uint64_t seed = 1;
};

// Each function runs one subcommand and returns the exit status. Results are printed to `out`,
// failures to standard error.
int run_check(const check_options& options, std::ostream& out);
int run_node(const node_options& options, std::ostream& out);
int run_hosted(const hosted_options& options, std::ostream& out);
int run_platform(const platform_options& options, std::ostream& out);
int run_outcomes(const outcomes_options& options, std::ostream& out);
int run_explain(const explain_options& options, std::ostream& out);
int run_apply(const apply_options& options, std::ostream& out);
int run_status(const status_options& options, std::ostream& out);
int run_bench(const bench_options& options, std::ostream& out);
int run_load(const load_options& options, std::ostream& out);
int run_trial(const trial_options& options, std::ostream& out);
int run_standin(const standin_options& options, std::ostream& out);

}  // namespace arbutus
