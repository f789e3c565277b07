// A caller's request to a model, as parsed from the body of the call.
#pragma once

#include <optional>
#include <string>

#include "base/id.h"
#include "node/error_body.h"

namespace arbutus {

enum class model_api { completions, chat };

struct model_request {
  model_id model;
  std::string prompt;
  std::uint32_t max_tokens = 128;
  bool stream = false;
};

// Parses the body of a model call into `parsed`. Returns the error to answer with if it is not a
// valid request.
[[nodiscard]] std::optional<call_error> parse_model_request(model_api api, const std::string& text,
                                                            model_request& parsed);

// The error for a request that is itself invalid and was not run.
[[nodiscard]] call_error invalid_request(std::string code, std::string message, int status = 400);

}  // namespace arbutus
