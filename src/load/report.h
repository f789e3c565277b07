// The report of an experiment as text, JSON and HTML.
#pragma once

#include <ostream>
#include <string>

#include "load/results.h"

namespace arbutus {

// Prints the report as tables for a terminal.
void print_report(std::ostream& out, const experiment_report& report);

// Returns the report as JSON, for programs.
[[nodiscard]] std::string json_report(const experiment_report& report);

// Returns the report as one self-contained HTML page.
[[nodiscard]] std::string html_report(const experiment_report& report);

}  // namespace arbutus
