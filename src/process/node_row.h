// The row of a node in the platform's store: where other nodes reach it, and when its first process
// started.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "version/inventory.h"

namespace arbutus {

struct node_row {
  node_record record;  // without the endpoint for callers
  // When the node's first process started, by the store's clock; zero: a later process, or one of
  // an earlier release, wrote the row.
  std::chrono::milliseconds first_start{};
};

[[nodiscard]] std::string encode(const node_row& row);

// Empty if the row cannot be read. A row without strength is of a node with other settings, which
// comes last in the order of hubs; one without a relay endpoint takes no calls over.
[[nodiscard]] std::optional<node_row> decode_node_row(const node_id& id, std::string_view text);

}  // namespace arbutus
