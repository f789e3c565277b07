// How a node uses an update of the list of targets that its hub has sent.
#pragma once

#include <cstdint>

#include "process/node_heartbeat.h"

namespace arbutus {

enum class list_update_use : std::uint8_t {
  replaces,  // the update holds the whole list
  extends,   // its rows follow what the node has
  none,      // the node cannot use it, and is not up to date by it
};

// `is_complete`: the node has the whole list up to `position`.
[[nodiscard]] inline list_update_use use_of(const feed_update& update, bool is_complete,
                                            std::uint64_t position) {
  if (!is_complete) {
    return update.complete ? list_update_use::replaces : list_update_use::none;
  }
  if (update.complete && update.position > position) {
    return list_update_use::replaces;
  }
  return update.complete || update.after <= position ? list_update_use::extends
                                                     : list_update_use::none;
}

}  // namespace arbutus
