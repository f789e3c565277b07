// The differences between two configurations as text, for the operator whose change conflicts with
// another one that was accepted first.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace arbutus {

// Both texts are results of encode_content. Returns one line for each field that differs, such as
// "rules classes interactive deadline_us: 20000000 -> 30000000"; after `max_lines` lines, one line
// with the number of further ones. Records are matched by name, regardless of order. Empty if
// nothing differs or a text cannot be parsed.
[[nodiscard]] std::vector<std::string> changes_between(std::string_view before,
                                                       std::string_view after,
                                                       std::size_t max_lines = 40);

}  // namespace arbutus
