// Rows of the crash ledger as MessagePack: within beats, and as values in the platform's store.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "process/crash_ledger.h"

namespace arbutus {

[[nodiscard]] std::string encode(const crash_row& row);
// Empty when the bytes are damaged, or name what no node would.
[[nodiscard]] std::optional<crash_row> decode_crash_row(std::string_view bytes);

}  // namespace arbutus
