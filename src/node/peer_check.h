// Questions that nodes ask each other beside calls: whether a peer lives, and whether a target
// answers it.
#pragma once

#include "connection/http_server.h"
#include "node/hosted_state.h"

namespace arbutus {

// Checks peers that have calls of this node and have fallen silent. Without this, the streams of a
// peer that lost power would hang until their deadlines.
void check_silent_peers(hosted_state& node, time_point now);

// Whether the target answers a query of a peer. False if no peer says so before the deadline.
// Suspends the fiber.
[[nodiscard]] bool answers_a_peer(hosted_state& node, const target_id& id, time_point deadline);

// Answers a peer's question. False if the request is none and has not been answered.
[[nodiscard]] bool serve_peer_question(hosted_state& node, const http_request& request,
                                       response_writer& writer);

}  // namespace arbutus
