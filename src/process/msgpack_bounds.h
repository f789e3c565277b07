// Checks untrusted MessagePack before the library's reader parses it.
#pragma once

#include <cstddef>
#include <string_view>

namespace arbutus {

// Whether the first value in `bytes` nests its containers at most `depth` deep and declares no more
// values than there are bytes. The library's reader recurses once for each level, so a few thousand
// malformed bytes could overflow the small stack of a fiber and end the process.
[[nodiscard]] bool nesting_bounded(std::string_view bytes, std::size_t depth);

}  // namespace arbutus
