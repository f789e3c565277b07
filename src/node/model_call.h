// Calls of models: completions and chat, streamed and whole.
#pragma once

#include "node/call_context.h"
#include "node/model_request.h"

namespace arbutus {

// Answers the call, always; returns when nothing of it is left.
void serve_model_call(call_context& node, model_api api, const http_request& request,
                      response_writer& writer);

}  // namespace arbutus
