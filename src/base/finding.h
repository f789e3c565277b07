// Findings: what is wrong in an input, with its place. They are collected and reported together,
// so that one run names every mistake.
#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

namespace arbutus {

struct place {
  std::string file;
  std::uint32_t line{};    // from 1; 0: the file as a whole
  std::uint32_t column{};  // from 1; 0: the line as a whole
  auto operator<=>(const place&) const = default;
};

enum class severity { error, warning };

struct finding {
  severity level = severity::error;
  place where;
  std::string message;   // what is wrong
  std::string expected;  // what would be right; may be empty
};

using findings = std::vector<finding>;

[[nodiscard]] bool has_errors(const findings& list);

// "file:line:column: error: message (expected ...)"
std::ostream& operator<<(std::ostream& out, const finding& f);

}  // namespace arbutus
