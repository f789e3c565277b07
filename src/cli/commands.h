// The subcommands of the program: what each takes, and what its exit status means.
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
  conflict = 4,      // somebody else changed the configuration meanwhile; nothing was done
  unreachable = 5,   // proven not done: the other side could not be reached
  unknown = 6,       // may have been done: no answer, and reading back did not settle it
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

// A node on a platform that keeps configuration and targets.
struct hosted_options {
  std::string settings_file;
};

// Stands in for such a platform, with some engines and a plain service, on loopback.
struct platform_options {
  std::vector<std::string> data_centres;
  std::uint32_t engines_each = 9;
  std::uint16_t store_port = 0;    // 0: any
  std::uint16_t control_port = 0;  // 0: no commands from outside
};

// Tells what became of a request, from the log lines of all nodes.
struct explain_options {
  std::string request;             // its id
  std::vector<std::string> files;  // empty: standard input
};

struct outcomes_options {
  std::vector<std::string> files;  // none: standard input
  std::chrono::seconds window{2};
};

struct apply_options {
  std::string directory;
  std::vector<endpoint> nodes;  // asked one after the other until one answers
  std::string key;              // the operators'
  std::uint64_t base = 0;       // version the change was made on; 0: the one in force now
  std::string proposal;         // of an earlier try whose outcome is unknown; empty: a new one
  bool dry_run = false;
  duration timeout = 30s;
};

struct status_options {
  std::vector<endpoint> nodes;  // callers' endpoints
  std::string key;              // the operators'
  bool json = false;
  duration timeout = 2s;
};

struct bench_options {
  std::string filter;    // part of a benchmark's name; empty: all
  bool full = false;     // print the long tables, too
  duration length = 1s;  // of each measurement of the connections, in the long tables
  std::uint64_t seed = 1;
};

struct load_options {
  std::string experiment_file;
  std::string out_directory;          // for the results as files; empty: none are written
  std::vector<std::string> variants;  // of the experiment, by name; empty: all
  std::uint64_t seed = 0;             // 0: as the experiment says
  bool json = false;
};

struct trial_options {
  bool keep_up = false;  // stay for own calls until interrupted
};

// Stand-ins for what the platform and the targets give, at the endpoints of a configuration.
struct standin_options {
  std::string directory;
  std::string settings_file;  // of any node: names the platform's endpoints
  bool platform = true;
  bool engines = true;
  bool services = true;
  std::uint64_t seed = 1;
};

// Each returns the exit status. Results go to `out`, failures to standard error.
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
