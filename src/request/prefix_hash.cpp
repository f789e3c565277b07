// Chained hashes of prompt blocks.
#include "request/prefix_hash.h"

#include <algorithm>

#include "base/hash.h"

namespace arbutus {

prefix_blocks hash_prefix(std::string_view prompt, std::string_view scope) {
  const std::size_t count = std::min(prompt.size() / prefix_block_bytes, max_prefix_blocks);
  prefix_blocks blocks;
  blocks.reserve(count);
  std::uint64_t chain = stable_hash(scope);
  for (std::size_t i = 0; i < count; ++i) {
    chain = stable_hash(prompt.substr(i * prefix_block_bytes, prefix_block_bytes), chain);
    blocks.push_back(chain);
  }
  return blocks;
}

}  // namespace arbutus
