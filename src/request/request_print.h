// What makes two requests of callers the same one that came again: the workspace, the path with its
// query, and the body. Each attempt of a caller has an id of its own, so ids do not tell.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/id.h"

namespace arbutus {

// The workspace stands beside the hash, not in it: whoever finds two bodies with one hash makes
// trouble for its own workspace alone.
struct request_print {
  workspace_id workspace;  // empty: a route without keys
  std::uint64_t hash{};
  auto operator<=>(const request_print&) const = default;
};

[[nodiscard]] request_print print_of(const workspace_id& workspace, std::string_view target,
                                     std::string_view body);

// "0123456789abcdef", as logs and operators name it.
[[nodiscard]] std::string hash_text(const request_print& print);
// Empty unless it is such a text.
[[nodiscard]] std::optional<std::uint64_t> parse_hash(std::string_view text);

}  // namespace arbutus
