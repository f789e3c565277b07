// Findings: errors and warnings about an input, each with its location. They are collected and
// reported together, so that one run shows every mistake.
#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace arbutus {

struct place {
  std::string file;
  std::uint32_t line{};    // line number from 1; 0: the whole file
  std::uint32_t column{};  // column number from 1; 0: the whole line
  auto operator<=>(const place&) const = default;
};

enum class severity { error, warning };

struct finding {
  severity level = severity::error;
  place where;
  std::string message;   // what is wrong at this place
  std::string expected;  // what would be valid; may be empty
};

using findings = std::vector<finding>;

[[nodiscard]] bool has_errors(const findings& list);

// Prints a finding as "file:line:column: error: message (expected ...)".
std::ostream& operator<<(std::ostream& out, const finding& f);

}  // namespace arbutus
