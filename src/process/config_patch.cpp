// A patch of the configuration replaces the span between the common prefix and the common suffix of
// the two contents. It is cheap to make, and small for a change in one place.
#include "process/config_patch.h"

#include <algorithm>

#include "base/hash.h"

namespace arbutus {

std::string patch_object_name(std::string_view hash, std::string_view base) {
  return std::string(hash) + "-from-" + std::string(base);
}

config_content patch_without_base(std::string_view content) {
  config_content whole;
  whole.head.hash = content_hash(content);
  whole.middle = content;
  return whole;
}

config_content make_patch(std::string_view base, std::string_view content) {
  const std::size_t shorter = std::min(base.size(), content.size());
  std::size_t prefix = 0;
  while (prefix < shorter && base[prefix] == content[prefix]) {
    ++prefix;
  }
  std::size_t suffix = 0;
  while (suffix < shorter - prefix &&
         base[base.size() - 1 - suffix] == content[content.size() - 1 - suffix]) {
    ++suffix;
  }
  config_content patch;
  patch.head.hash = content_hash(content);
  patch.base_hash = content_hash(base);
  patch.prefix_bytes = prefix;
  patch.suffix_bytes = suffix;
  patch.middle = content.substr(prefix, content.size() - prefix - suffix);
  return patch;
}

std::optional<std::string> apply_patch(std::string_view base, const config_content& patch) {
  std::string content;
  if (patch.base_hash.empty()) {
    content = patch.middle;
  } else {
    const bool fits =
        patch.prefix_bytes <= base.size() && patch.suffix_bytes <= base.size() - patch.prefix_bytes;
    if (!fits || patch.base_hash != content_hash(base)) {
      return std::nullopt;
    }
    content.append(base.substr(0, patch.prefix_bytes));
    content.append(patch.middle);
    content.append(base.substr(base.size() - patch.suffix_bytes));
  }
  if (content_hash(content) != patch.head.hash) {
    return std::nullopt;
  }
  return content;
}

std::string encode_patch(const config_content& patch) {
  return encode(gossip_message{patch});
}

outcome<config_content> decode_patch(std::string_view bytes) {
  outcome<gossip_message> decoded = decode_gossip(node_id{}, bytes);
  if (auto* message = std::get_if<gossip_message>(&decoded)) {
    if (auto* patch = std::get_if<config_content>(message)) {
      return std::move(*patch);
    }
    return refused{"malformed: not a patch"};
  }
  return std::get<refused>(decoded);
}

}  // namespace arbutus
