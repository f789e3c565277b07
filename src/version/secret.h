// API keys of callers. The rules hold only their SHA-256 hashes, so that neither the object store
// nor a log contains a usable key.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "version/rules.h"

namespace arbutus {

// Length of a SHA-256 hash in hexadecimal.
inline constexpr std::size_t sha256_hex_length = 64;

// SHA-256 in lower-case hexadecimal; empty if the cryptographic library fails.
[[nodiscard]] std::string sha256_hex(std::string_view text);

// Whether the text has the form of a result of sha256_hex().
[[nodiscard]] bool is_key_hash(std::string_view text);

// Whether two texts are equal. The time taken depends only on their lengths, not on where the first
// difference is.
[[nodiscard]] bool equal_constant_time(std::string_view a, std::string_view b);

// The workspace that `key` belongs to, or null. Compares with every hash of every workspace, so
// that the time taken does not reveal which keys exist.
[[nodiscard]] const workspace_rule* authenticate(const rules& desired, std::string_view key);

}  // namespace arbutus
