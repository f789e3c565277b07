// Hashes of the leading blocks of a prompt: equal leading blocks give equal hashes on every node.
#pragma once

#include <cstddef>
#include <string_view>

#include "request/facts.h"

namespace arbutus {

// Bytes of prompt per block. Small enough that a shared system prompt gives several blocks.
inline constexpr std::size_t prefix_block_bytes = 256;
// Blocks of a prompt that are hashed; the rest of a longer prompt is ignored.
inline constexpr std::size_t max_prefix_blocks = 64;

// Returns one hash per complete block of the prompt. Each hash is chained to the previous one, so
// that it covers all text up to the end of its block. `scope` separates prompts whose cache entries
// an engine cannot share (model, version, adapter).
[[nodiscard]] prefix_blocks hash_prefix(std::string_view prompt, std::string_view scope = {});

}  // namespace arbutus
