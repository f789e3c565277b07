// Rows of the poison tracker as MessagePack: in heartbeats, and as values in the platform's store.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "process/crash_ledger.h"

namespace arbutus {

[[nodiscard]] std::string encode(const crash_row& row);
// Empty if the bytes are malformed or hold a name that is too long.
[[nodiscard]] std::optional<crash_row> decode_crash_row(std::string_view bytes);

}  // namespace arbutus
