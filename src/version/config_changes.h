// What differs between two configurations, in words for the operator whose change was overtaken by
// another one.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace arbutus {

// Both texts are encode_content's. One line for each field that differs, such as
// "rules classes interactive deadline_us: 20000000 -> 30000000"; after `most` lines one that counts
// the rest. Records are matched by their names, whatever their order. Empty if nothing differs or a
// text cannot be read.
[[nodiscard]] std::vector<std::string> changes_between(std::string_view before,
                                                       std::string_view after,
                                                       std::size_t most = 40);

}  // namespace arbutus
