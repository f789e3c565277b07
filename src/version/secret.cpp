// Hashing and comparison of secrets, using OpenSSL.
#include "version/secret.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>

namespace arbutus {

std::string sha256_hex(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned length = 0;
  if (EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1) {
    return {};
  }
  constexpr std::string_view digits = "0123456789abcdef";
  std::string hex;
  hex.reserve(sha256_hex_length);
  for (unsigned i = 0; i < length; ++i) {
    hex += digits[digest[i] >> 4U];
    hex += digits[digest[i] & 15U];
  }
  return hex;
}

bool is_key_hash(std::string_view text) {
  const auto digit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
  return text.size() == sha256_hex_length && std::all_of(text.begin(), text.end(), digit);
}

bool equal_constant_time(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

const workspace_rule* authenticate(const rules& desired, std::string_view key) {
  const std::string hash = sha256_hex(key);
  if (key.empty() || hash.size() != sha256_hex_length) {
    return nullptr;
  }
  const workspace_rule* found = nullptr;
  for (const workspace_rule& workspace : desired.workspaces) {
    for (const std::string& known : workspace.key_hashes) {
      found = equal_constant_time(known, hash) ? &workspace : found;
    }
  }
  return found;
}

}  // namespace arbutus
