// Tests whether this node can open connections to the targets, and acts on the result.
#pragma once

#include "node/hosted_state.h"

namespace arbutus {

// A request could not be sent since no connection to the target was established.
void note_connect_failure(hosted_state& node, const service_id& service, const target_id& target);

// Starts the connection tests that are due. To be called often; costs nothing while all targets are
// reachable.
void test_paths(hosted_state& node, time_point now);

// Whether a connection to another target of the service of `except` can be opened. Suspends the
// fiber. True if no other target is known: nothing then says that this node is cut off.
[[nodiscard]] bool reaches_another_target(hosted_state& node, const target_id& except);

}  // namespace arbutus
