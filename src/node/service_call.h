// Calls of plain services, passed through by path. What the rules do not name as idempotent runs
// at most once: a record is written before the send (request/keyed.h).
#pragma once

#include "node/call_context.h"

namespace arbutus {

// The service that a path belongs to; null if none.
[[nodiscard]] const service_rule* find_service_by_path(const rules& desired, std::string_view path);

// Answers the call, always; returns when nothing of it is left.
void serve_service_call(call_context& node, const http_request& request, response_writer& writer);

}  // namespace arbutus
