// Request fingerprints.
#include "request/request_fingerprint.h"

#include <array>
#include <charconv>
#include <cstdio>

#include "base/hash.h"

namespace arbutus {

namespace {

constexpr std::size_t hash_digits = 16;

}  // namespace

request_fingerprint fingerprint_of(const workspace_id& workspace, const request_content& content) {
  std::uint64_t hash = stable_hash(content.method);
  hash = stable_hash(content.host, hash);
  hash = stable_hash(content.target, hash);
  hash = stable_hash(content.model.str(), hash);
  return {workspace, stable_hash(content.body, hash)};
}

request_fingerprint fingerprint_of_block(std::uint64_t block_hash) {
  return {{}, block_hash, fingerprint_kind::prompt_block};
}

std::string hash_text(const request_fingerprint& fingerprint) {
  std::array<char, hash_digits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(fingerprint.hash));
  return text.data();
}

std::optional<std::uint64_t> parse_hash(std::string_view text) {
  std::uint64_t hash = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), hash, 16);
  const bool whole = error == std::errc() && end == text.data() + text.size();
  return whole && text.size() == hash_digits ? std::optional(hash) : std::nullopt;
}

}  // namespace arbutus
