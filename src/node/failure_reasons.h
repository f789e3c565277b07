// What the reasons in the nodes' log lines mean, in words for operators.
#pragma once

#include <string_view>

namespace arbutus {

// What happened, and where to look next; empty if the reason is not known.
[[nodiscard]] std::string_view cause_of_reason(std::string_view reason);

}  // namespace arbutus
