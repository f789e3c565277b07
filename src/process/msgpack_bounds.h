// A check of untrusted MessagePack before it is given to the library's reader.
#pragma once

#include <cstddef>
#include <string_view>

namespace arbutus {

// Whether the first value in `bytes` nests its containers at most `depth` deep and names no more
// values than there are bytes. The library's reader recurses once for each level, so that a few
// thousand damaged bytes would exhaust the small stack of a fiber and end the process.
[[nodiscard]] bool nesting_bounded(std::string_view bytes, std::size_t depth);

}  // namespace arbutus
