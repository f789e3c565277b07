// Formats findings as text.
#include "base/finding.h"

#include <algorithm>

namespace arbutus {

bool has_errors(const findings& list) {
  return std::any_of(list.begin(), list.end(),
                     [](const finding& f) { return f.level == severity::error; });
}

std::ostream& operator<<(std::ostream& out, const finding& f) {
  out << f.where.file << ':';
  if (f.where.line != 0) {
    out << f.where.line << ':';
  }
  if (f.where.column != 0) {
    out << f.where.column << ':';
  }
  out << (f.level == severity::error ? " error: " : " warning: ") << f.message;
  if (!f.expected.empty()) {
    out << " (expected " << f.expected << ')';
  }
  return out;
}

}  // namespace arbutus
