// Block hashes of a prompt: equal leading blocks give equal hashes on every node.
#pragma once

#include <cstddef>
#include <string_view>

#include "request/facts.h"

namespace arbutus {

// Bytes of prompt per block. Small enough that a shared system prompt gives several blocks.
inline constexpr std::size_t prefix_block_bytes = 256;
// Longer prompts are told apart by their leading blocks only.
inline constexpr std::size_t max_prefix_blocks = 64;

// A hash per whole block; each is chained to the one before, so that it stands for all the text
// up to there. `scope` keeps apart what an engine cannot share (model, version, adapter).
[[nodiscard]] prefix_blocks hash_prefix(std::string_view prompt, std::string_view scope = {});

}  // namespace arbutus
