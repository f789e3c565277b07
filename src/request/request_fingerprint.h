// Identifies what may be poison: a request or a block of its prompt.
//
// Repetitions of a caller's request have the workspace and all that request_content has in common.
// Request ids cannot identify them, as each attempt of a caller has its own. A block of a prompt is
// common to requests of any workspace, which may differ in all else.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/id.h"

namespace arbutus {

enum class fingerprint_kind : std::uint8_t { request, prompt_block };

// Identifies a request by workspace and hash. The workspace is not part of the hash, so that a
// caller that constructs a hash collision affects only its own workspace.
struct request_fingerprint {
  workspace_id workspace;  // empty for a route without keys, and for a block
  std::uint64_t hash{};
  fingerprint_kind kind = fingerprint_kind::request;
  auto operator<=>(const request_fingerprint&) const = default;
};

// What a request asks for, and of whom: another method, host or model is another request.
struct request_content {
  std::string_view method;
  std::string_view host;    // of the route that matches, so that its spelling does not matter
  std::string_view target;  // path with its query
  const model_id& model;    // empty: none is named
  std::string_view body;
};

[[nodiscard]] request_fingerprint fingerprint_of(const workspace_id& workspace,
                                                 const request_content& content);

// `block_hash`: as read from the request, the same for all requests whose prompts have the block.
[[nodiscard]] request_fingerprint fingerprint_of_block(std::uint64_t block_hash);

// 16 hexadecimal digits such as "0123456789abcdef", as in logs and operators' requests.
[[nodiscard]] std::string hash_text(const request_fingerprint& fingerprint);
// Parses the 16 hexadecimal digits of hash_text(); empty if `text` has another format.
[[nodiscard]] std::optional<std::uint64_t> parse_hash(std::string_view text);

}  // namespace arbutus
