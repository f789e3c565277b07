// Deltas between two texts of the configuration.
//
// Operators change a few routes of thousands, and the version number is at the front of the text,
// so a delta with a single replaced span would contain nearly the whole text. Both texts are cut
// behind each closing brace instead, and pieces that the base contains are encoded as offsets into
// the base.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace arbutus {

// The delta that turns `base` into `text`; with an empty base the delta contains the whole text.
[[nodiscard]] std::string make_config_delta(std::string_view base, std::string_view text);

// Returns the text that `delta` makes of `base`; empty if the delta is damaged or was made for
// another base.
[[nodiscard]] std::optional<std::string> apply_config_delta(std::string_view base,
                                                            std::string_view delta);

}  // namespace arbutus
