// Identifies repetitions of a caller's request by the workspace, the path with its query, and the
// body. Request ids cannot, as each attempt of a caller has its own.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/id.h"

namespace arbutus {

// Identifies a request by workspace and hash. The workspace is not part of the hash, so that a
// caller that constructs a hash collision affects only its own workspace.
struct request_fingerprint {
  workspace_id workspace;  // empty for a route without keys
  std::uint64_t hash{};
  auto operator<=>(const request_fingerprint&) const = default;
};

[[nodiscard]] request_fingerprint fingerprint_of(const workspace_id& workspace,
                                                 std::string_view target, std::string_view body);

// 16 hexadecimal digits such as "0123456789abcdef", as in logs and operators' requests.
[[nodiscard]] std::string hash_text(const request_fingerprint& fingerprint);
// Parses the 16 hexadecimal digits of hash_text(); empty if `text` has another format.
[[nodiscard]] std::optional<std::uint64_t> parse_hash(std::string_view text);

}  // namespace arbutus
