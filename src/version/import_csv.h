// Comma-separated values with the place of each field, as asset registers export them: quoted
// fields, doubled quotes, line breaks inside quotes, CRLF, a byte order mark, empty lines.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/finding.h"

namespace arbutus {

struct csv_field {
  std::string text;  // without quotes; blanks around unquoted text are dropped
  place at;          // column in characters, not bytes
};

// Never empty; lines that are empty or begin with '#' give no row.
using csv_row = std::vector<csv_field>;

// Never throws on bad text. Broken quotes, NUL and other control characters, and text that is not
// UTF-8 are findings; the rest of the text is still split.
[[nodiscard]] std::vector<csv_row> split_csv(std::string_view text, const std::string& file_name,
                                             findings& problems);

}  // namespace arbutus
