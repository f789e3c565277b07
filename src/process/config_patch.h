// Patches between configuration contents. At the size planned for, the content is more than a
// hundred kilobytes and changes every few seconds, mostly by a few bytes; sent whole, it alone
// would take more than a node's traffic budget.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/outcome.h"
#include "process/gossip.h"

namespace arbutus {

// Name of the object that turns the content `base` into the content `hash`.
[[nodiscard]] std::string patch_name(std::string_view hash, std::string_view base);

// What to replace in `base` to get `content`; version and proposals of the head are left to the
// caller.
[[nodiscard]] config_content make_patch(std::string_view base, std::string_view content);
// The whole content as patch on nothing.
[[nodiscard]] config_content whole_content(std::string_view content);

// The content, if the patch is made for `base` and the result has the hash of its head.
[[nodiscard]] std::optional<std::string> apply_patch(std::string_view base,
                                                     const config_content& patch);

// A patch as object.
[[nodiscard]] std::string encode_patch(const config_content& patch);
[[nodiscard]] outcome<config_content> decode_patch(std::string_view bytes);

}  // namespace arbutus
