// Hashes that are identical on every node: content identity and rendezvous hashing.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace arbutus {

// Hash of `text` that is the same on all machines and in all versions of the program; not
// cryptographic.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

// Hexadecimal 128-bit hash that names content in the object store.
[[nodiscard]] std::string content_hash(std::string_view content);

// Weight of `candidate` for `subject` in rendezvous hashing. The candidates with the highest
// weights are chosen, so that adding or removing a candidate moves only that candidate's subjects.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view subject, std::string_view candidate);

}  // namespace arbutus
