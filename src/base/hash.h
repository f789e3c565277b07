// Hashes that every node computes alike: content identity and rendezvous choice.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace arbutus {

// Stable across machines and versions; not for secrets.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

// Hexadecimal 128-bit hash that names content in the object store.
[[nodiscard]] std::string content_hash(std::string_view content);

// Weight of `candidate` for `subject` in rendezvous hashing: the highest weights are chosen, so
// that a candidate that comes or goes moves only the subjects it had.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view subject, std::string_view candidate);

}  // namespace arbutus
