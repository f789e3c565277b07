// Calls of services that are not models, forwarded by path. Calls that the rules do not list as
// idempotent run at most once: a record is written before the call is sent (request/keyed.h).
#pragma once

#include "node/call_context.h"

namespace arbutus {

// The service that a path belongs to; null if none.
[[nodiscard]] const service_rule* find_service_by_path(const rules& desired, std::string_view path);

// Always answers the call; returns when all its resources have been released.
void serve_service_call(call_context& node, const http_request& request, response_writer& writer);

}  // namespace arbutus
