// What a caller asks of a model, as read from the body of its call.
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

// The error to answer with, if the body is no such request.
[[nodiscard]] std::optional<call_error> parse_model_request(model_api api, const std::string& text,
                                                            model_request& parsed);

// A request that is at fault itself and was not run.
[[nodiscard]] call_error invalid_request(std::string code, std::string message, int status = 400);

}  // namespace arbutus
