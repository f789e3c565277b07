// Calls of a caller to a model: completions and chat, streamed or not.
#pragma once

#include "node/call_context.h"
#include "node/model_request.h"

namespace arbutus {

// Always answers the call; returns when all its resources have been released.
void serve_model_call(call_context& node, model_api api, const http_request& request,
                      response_writer& writer);

}  // namespace arbutus
