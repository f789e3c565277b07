// Entry point of the program: runs the subcommand and turns uncaught exceptions into an exit
// status.
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "base/outcome.h"
#include "cli/commands.h"
#include "cli/options.h"

namespace {

using namespace arbutus;

int run(const command& chosen) {
  return match(
      chosen, [](const node_options& o) { return run_node(o, std::cout); },
      [](const check_options& o) { return run_check(o, std::cout); },
      [](const apply_options& o) { return run_apply(o, std::cout); },
      [](const status_options& o) { return run_status(o, std::cout); },
      [](const bench_options& o) { return run_bench(o, std::cout); },
      [](const load_options& o) { return run_load(o, std::cout); },
      [](const trial_options& o) { return run_trial(o, std::cout); },
      [](const standin_options& o) { return run_standin(o, std::cout); },
      [](const hosted_options& o) { return run_hosted(o, std::cout); },
      [](const platform_options& o) { return run_platform(o, std::cout); },
      [](const explain_options& o) { return run_explain(o, std::cout); },
      [](const outcomes_options& o) { return run_outcomes(o, std::cout); });
}

int print(const early_exit& e) {
  (e.status == to_status(exit_code::ok) ? std::cout : std::cerr) << e.text;
  return e.status;
}

}  // namespace

int main(int count, char** values) {
  try {
    const std::vector<std::string> arguments(values + 1, values + count);
    return match(
        parse_command_line(arguments), [](const command& chosen) { return run(chosen); },
        [](const early_exit& e) { return print(e); });
  } catch (const std::exception& e) {
    std::cerr << "arbutusworks: " << e.what() << '\n';
    return to_status(exit_code::failure);
  }
}
