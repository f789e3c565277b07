// Calls of models: completions and chat, streamed and whole.
#pragma once

#include "node/call_context.h"

namespace arbutus {

enum class model_api { completions, chat };

// Answers the call, always; returns when nothing of it is left.
void serve_model_call(call_context& node, model_api api, const http_request& request,
                      response_writer& writer);

}  // namespace arbutus
