// The `bench` subcommand: runs the decision code over fixed seeds in virtual time and prints a
// signature of its decisions. The signature is the same on every run, so it shows whether a change
// of the code changed any decision; the processor times printed beside it vary.
#include <array>
#include <bit>
#include <ctime>
#include <functional>
#include <iomanip>
#include <sstream>
#include <string>
#include <string_view>

#include "base/hash.h"
#include "cli/commands.h"
#include "connection/bench_connections.h"
#include "process/control_plane_cost.h"
#include "process/failure_simulation.h"
#include "process/fleet_sizes.h"
#include "process/hub_cost.h"
#include "request/policy_bench.h"
#include "version/planner_bench.h"

namespace arbutus {

namespace {

std::uint64_t mix(std::uint64_t signature, std::uint64_t more) {
  return stable_hash(std::to_string(more), signature);
}

// ---- benchmarks: each prints its figures and returns the signature of its decisions ----

std::uint64_t bench_requests(std::ostream& figures, std::uint64_t seed) {
  return print_policy_bench(figures, seed);
}

std::uint64_t bench_planner(std::ostream& figures, std::uint64_t seed) {
  constexpr std::size_t changes = 400;
  const planner_history history = run_planner_history(changes, seed);
  figures << history.changes << " changes of a VM, " << history.plans << " plans, " << history.rows
          << " rows\n";
  return history.signature;
}

std::uint64_t signature_of(const failure_simulation_result& day) {
  std::uint64_t signature = 0;
  for (const double figure : {day.group_downtime, day.stranded_accelerators}) {
    signature = mix(signature, std::bit_cast<std::uint64_t>(figure));
  }
  for (const std::uint32_t count :
       {day.rows_written, day.wasted_writes, day.lease_writes, day.activations}) {
    signature = mix(signature, count);
  }
  return signature;
}

std::uint64_t bench_failure_simulations(std::ostream& figures, std::uint64_t seed) {
  constexpr std::uint64_t days = 3;
  std::uint64_t signature = 0;
  for (std::uint64_t day = 0; day < days; ++day) {
    for (const standby_policy policy : {standby_policy::shared, standby_policy::reserved}) {
      failure_simulation_settings settings;
      settings.policy = policy;
      const failure_simulation_result result = run_failure_simulation(settings, seed + day);
      figures << "day " << day << (policy == standby_policy::shared ? " shared  " : " reserved")
              << ": " << result.group_downtime << " replica-seconds down, "
              << result.stranded_accelerators / 3600 << " accelerator-hours stranded\n";
      signature = mix(signature, signature_of(result));
    }
  }
  return signature;
}

std::uint64_t bench_control(std::ostream& figures, std::uint64_t seed) {
  constexpr std::size_t nodes = 21;
  constexpr std::size_t targets = 81;
  figures << "heartbeats of " << nodes << " nodes about " << targets << " targets\n";
  return control_signature(nodes, targets, seed);
}

// ---- long tables, printed with --full: measurements on this machine, not part of the signature
// ----

void print_connections(std::ostream& out, const bench_options& options) {
  print(out, bench_connections(options.measurement_length));
}

struct bench_part {
  std::string_view name;
  std::uint64_t (*run)(std::ostream& figures, std::uint64_t seed);
};

constexpr std::array<bench_part, 4> parts = {{
    {"requests", bench_requests},
    {"planner", bench_planner},
    {"days", bench_failure_simulations},
    {"control", bench_control},
}};

struct bench_table {
  std::string_view name;
  void (*print)(std::ostream& out, const bench_options& options);
};

constexpr std::array<bench_table, 6> tables = {{
    {"planner cost", [](std::ostream& out, const bench_options&) { print_planner_cost(out); }},
    {"days of failures",
     [](std::ostream& out, const bench_options&) { print_failure_simulation(out); }},
    {"control slopes",
     [](std::ostream& out, const bench_options&) { print_control_plane_cost(out); }},
    {"fleet sizes", [](std::ostream& out, const bench_options&) { print_fleet_sizes(out); }},
    {"hub cost", [](std::ostream& out, const bench_options&) { print_hub_cost(out); }},
    {"connections", print_connections},
}};

bool matches_filter(std::string_view name, const bench_options& options) {
  return name.find(options.filter) != std::string_view::npos;
}

std::uint64_t run_part(const bench_part& part, const bench_options& options, std::ostream& out) {
  std::ostringstream figures;
  const std::clock_t begin = std::clock();
  const std::uint64_t signature = part.run(figures, options.seed);
  const double seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  out << std::left << std::setw(10) << part.name << std::right << std::setw(21) << signature
      << std::fixed << std::setprecision(2) << std::setw(8) << seconds << " s of processor time\n";
  if (options.full) {
    out << figures.str() << '\n';
  }
  return signature;
}

// Prints the long tables whose names match the filter, and returns how many it printed.
std::size_t print_tables(const bench_options& options, std::ostream& out) {
  std::size_t printed = 0;
  for (const bench_table& table : tables) {
    if (options.full && matches_filter(table.name, options)) {
      out << "-- " << table.name << '\n';
      table.print(out, options);
      out << '\n';
      ++printed;
    }
  }
  return printed;
}

}  // namespace

int run_bench(const bench_options& options, std::ostream& out) {
  std::uint64_t signature = 0;
  std::size_t run = 0;
  for (const bench_part& part : parts) {
    if (matches_filter(part.name, options)) {
      signature = mix(signature, run_part(part, options, out));
      ++run;
    }
  }
  if (print_tables(options, out) + run == 0) {
    out << "bench: no part has \"" << options.filter << "\" in its name\n";
    return to_status(exit_code::failure);
  }
  // A run of only some benchmarks has another signature than a run of all of them, and prints it
  // under another label, so that the two are not compared by mistake.
  if (run == parts.size()) {
    out << "Bench: " << signature << '\n';
  } else if (run > 0) {
    out << "Partial: " << signature << '\n';
  }
  return to_status(exit_code::ok);
}

}  // namespace arbutus
