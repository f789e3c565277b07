// The `outcomes` subcommand: how requests ended over time, from the log lines of all nodes.
#include <fstream>
#include <iostream>

#include "cli/commands.h"
#include "node/log_outcomes.h"

namespace arbutus {

int run_outcomes(const outcomes_options& options, std::ostream& out) {
  log_outcomes outcomes(options.window);
  std::size_t unreadable = 0;
  if (options.files.empty()) {
    unreadable = outcomes.read(std::cin);
  }
  for (const std::string& name : options.files) {
    std::ifstream file(name);
    if (!file) {
      std::cerr << "outcomes: cannot read " << name << '\n';
      return to_status(exit_code::input_errors);
    }
    unreadable += outcomes.read(file);
  }
  if (unreadable > 0) {
    std::cerr << "outcomes: skipped " << unreadable << " lines that are no log lines of a node\n";
  }
  if (outcomes.empty()) {
    std::cerr << "outcomes: no log line of a node was found\n";
    return to_status(exit_code::failure);
  }
  out << outcomes.to_text();
  return to_status(exit_code::ok);
}

}  // namespace arbutus
