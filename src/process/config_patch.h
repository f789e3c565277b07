// Patches between configuration contents. At the size that the system is designed for, the content
// is more than a hundred kilobytes and changes every few seconds, mostly by a few bytes; sending
// only whole copies would exceed a node's traffic budget.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/outcome.h"
#include "process/gossip.h"

namespace arbutus {

// Name in the object store of the patch from the configuration content with hash `base` to the one
// with hash `hash`.
[[nodiscard]] std::string patch_object_name(std::string_view hash, std::string_view base);

// The patch that turns `base` into `content`. The caller sets version and proposals in the patch's
// head.
[[nodiscard]] config_content make_patch(std::string_view base, std::string_view content);
// The whole configuration content as a patch without a base.
[[nodiscard]] config_content patch_without_base(std::string_view content);

// Applies a patch to the content `base`; empty if the patch was made for another base or the result
// does not have the hash in the head of the patch.
[[nodiscard]] std::optional<std::string> apply_patch(std::string_view base,
                                                     const config_content& patch);

// Format of a patch in the object store.
[[nodiscard]] std::string encode_patch(const config_content& patch);
[[nodiscard]] outcome<config_content> decode_patch(std::string_view bytes);

}  // namespace arbutus
