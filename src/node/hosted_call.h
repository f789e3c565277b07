// A caller's request on a hosted node: from its head to its one answer.
//
// The pipeline is the same for all kinds: find the route, check the key, choose a target, send, and
// read what came of it. What differs is what may be repeated (version/service_map.h) and whether
// the answer is passed on event by event or whole.
#pragma once

#include "connection/http_server.h"
#include "node/hosted_state.h"

namespace arbutus {

// Answers the request, always; returns when nothing of it is left.
void serve_hosted_call(hosted_state& node, const http_request& request, response_writer& writer);

}  // namespace arbutus
