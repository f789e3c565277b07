// Rows of the poison tracker as MessagePack: in heartbeats, and as values in the platform's store.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "process/poison_tracker.h"

namespace arbutus {

[[nodiscard]] std::string encode(const poison_row& row);
// Empty if the bytes are malformed or hold a name that is too long.
[[nodiscard]] std::optional<poison_row> decode_poison_row(std::string_view bytes);

}  // namespace arbutus
