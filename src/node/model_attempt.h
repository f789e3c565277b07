// One attempt of a model call at one replica: sends the request with the replica's generation as
// fencing token, matches the answer to the request, and reports whether the request ran.
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
  attempt_context context_to_send;  // attempt number and retry permission, sent with the request
};

struct attempt_outcome {
  execution ran = execution::unknown;
  int status = 0;      // HTTP status of the engine's answer; 0: none
  std::string reason;  // why the attempt is not done, for logs and metrics
  std::string body;    // body of an answer that is not streamed
  std::string content_type;
  bool engine_error = false;  // a complete answer with an error caused by the caller (4xx)
  bool target_lost = false;   // the connection was refused or broke
  time_point first_token_at;  // when the first token was received; min(): none was
  duration attempt_duration{};
};

// Forwards a frame to the caller; false: the caller has disconnected.
using frame_sink = std::function<bool(std::string_view frame)>;

// `answer` records over all attempts what was delivered, so that a resumed stream repeats no token.
[[nodiscard]] attempt_outcome run_attempt(call_context& node, const model_attempt& attempt,
                                          const replica_route& route, answer_stream& answer,
                                          const frame_sink& sink, const cancel_token& cancel);

}  // namespace arbutus
