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

// Returned when there is no command to run: help, the version, or an invalid command line.
struct early_exit {
  int status{};
  std::string text;  // to standard output when the status is ok, else to standard error
};

// `arguments` excludes the program's name. Reports the first error of the command line, and for a
// misspelt subcommand suggests the closest one.
[[nodiscard]] std::variant<command, early_exit> parse_command_line(
    const std::vector<std::string>& arguments);

}  // namespace arbutus
