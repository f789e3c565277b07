// Serves one request of a caller on a node of the hosted platform, from its header to its single
// response.
//
// The steps are the same for all kinds of routes: find the route, check the key, choose a target,
// send the request, and evaluate the result. Routes differ in whether a request may be repeated
// (version/service_map.h) and in whether the response is streamed by event or buffered.
#pragma once

#include "connection/http_server.h"
#include "node/hosted_state.h"

namespace arbutus {

// Always answers the request, and returns when nothing of the call is running any more.
void serve_hosted_call(hosted_state& node, const http_request& request, response_writer& writer);

}  // namespace arbutus
