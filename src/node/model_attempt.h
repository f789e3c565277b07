// One attempt of a model call at one replica: sends it with its fencing token, matches what comes
// back, and says what it proved.
#pragma once

#include <functional>

#include "node/call_context.h"
#include "request/answer.h"
#include "request/outcome.h"

namespace arbutus {

struct model_attempt {
  std::string_view path;
  std::string_view body;  // as the caller sent it
  bool stream = false;
  request_id id;
  std::uint32_t priority{};
  workspace_id workspace;
  time_point deadline;
  attempt_context note;
};

struct attempt_end {
  execution ran = execution::unknown;
  int status = 0;      // of the engine's answer, 0: none
  std::string reason;  // why it is not done, for logs and metrics
  std::string body;    // whole answers
  std::string content_type;
  bool engine_error = false;  // a whole answer that is an error of the caller's making (4xx)
  bool target_lost = false;   // the connection was refused or broke
  time_point first_token;     // min(): none came
  duration total{};
};

// Passes a frame on to the caller; false: the caller is gone.
using frame_sink = std::function<bool(std::string_view frame)>;

// `answer` carries over attempts what was delivered, so that a resumed stream repeats nothing.
[[nodiscard]] attempt_end run_attempt(call_context& node, const model_attempt& attempt,
                                      const replica_route& route, answer_stream& answer,
                                      const frame_sink& sink, const cancel_token& cancel);

}  // namespace arbutus
