// Hash functions, implemented with xxHash (XXH3).
#include "base/hash.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace arbutus {

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string content_hash(std::string_view content) {
  const XXH128_hash_t hash = XXH3_128bits(content.data(), content.size());
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return std::string(text.data());
}

std::uint64_t rendezvous_weight(std::string_view subject, std::string_view candidate) {
  return stable_hash(candidate, stable_hash(subject));
}

}  // namespace arbutus
