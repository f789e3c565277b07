// Parser for comma-separated values as exported by asset registers: quoted fields, doubled quotes,
// line breaks inside quotes, CRLF, a byte order mark, empty lines. Keeps the place of each field.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/finding.h"

namespace arbutus {

struct csv_field {
  std::string text;  // without quotes; blanks around unquoted text are removed
  place at;          // column in characters, not bytes
};

// The fields of one line; never empty, since lines that are empty or begin with '#' are skipped.
using csv_row = std::vector<csv_field>;

// Does not throw on invalid text. Unbalanced quotes, NUL and other control characters, and invalid
// UTF-8 are reported as findings; the rest of the text is still parsed.
[[nodiscard]] std::vector<csv_row> split_csv(std::string_view text, const std::string& file_name,
                                             findings& problems);

}  // namespace arbutus
