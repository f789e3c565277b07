// The command line: subcommands, their options and their help.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "cli/commands.h"

namespace arbutus {

using command = std::variant<node_options, check_options, apply_options, status_options,
                             bench_options, load_options, trial_options, standin_options,
                             hosted_options, platform_options, explain_options, outcomes_options>;

// Nothing to run: help, the version, or a wrong command line.
struct early_exit {
  int status{};
  std::string text;  // to standard output when the status is ok, else to standard error
};

// `arguments` without the program's name. Reports the first mistake of the command line, and for a
// misspelt subcommand the one most likely meant.
[[nodiscard]] std::variant<command, early_exit> parse_command_line(
    const std::vector<std::string>& arguments);

}  // namespace arbutus
