// Keys of callers. The rules hold only SHA-256 hashes of them, so that neither the object store
// nor a log ever shows a key that opens anything.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "version/rules.h"

namespace arbutus {

// Length of a SHA-256 hash in hexadecimal.
inline constexpr std::size_t sha256_hex_length = 64;

// SHA-256 in lower-case hexadecimal; empty when the cryptographic library fails.
[[nodiscard]] std::string sha256_hex(std::string_view text);

// Whether the text has the form that sha256_hex() gives.
[[nodiscard]] bool is_key_hash(std::string_view text);

// Takes as long for a first difference at the start as at the end; only the lengths show.
[[nodiscard]] bool equal_constant_time(std::string_view a, std::string_view b);

// The workspace that `key` belongs to, or null. Compares with every hash of every workspace, so
// that the time taken tells a caller nothing about which keys exist.
[[nodiscard]] const workspace_rule* authenticate(const rules& desired, std::string_view key);

}  // namespace arbutus
