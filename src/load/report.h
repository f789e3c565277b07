// A report of an experiment, three ways.
#pragma once

#include <ostream>
#include <string>

#include "load/results.h"

namespace arbutus {

// Tables for a terminal.
void print_report(std::ostream& out, const experiment_report& report);

// For programs.
[[nodiscard]] std::string json_report(const experiment_report& report);

// One page that needs nothing else.
[[nodiscard]] std::string html_report(const experiment_report& report);

}  // namespace arbutus
