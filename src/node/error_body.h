// Error answers to callers: JSON whose `type` says whether the request was run.
#pragma once

#include <string>
#include <string_view>

#include "base/id.h"
#include "base/units.h"
#include "connection/http_server.h"
#include "request/outcome.h"

namespace arbutus {

// The error that a caller gets when there is no answer to forward.
struct call_error {
  int status = 500;
  execution ran = execution::not_run;  // whether a target may have run the request
  std::string code;                    // stable, for programs: "too_late", "unknown_model", ...
  std::string message;                 // for people
  duration retry_after{};              // 0: not sent
};

// {"error":{"type":"not_run"|"unknown","code":...,"message":...}}
[[nodiscard]] std::string error_body(const call_error& error);

// Sends the error; returns whether the caller could be reached. `id` identifies the call, so that a
// caller or an operator can look up its outcome; empty if it has none.
bool send_error(response_writer& writer, const call_error& error, const request_id& id = {});

// The last frame of a stream that cannot be completed; marks the stream as truncated.
[[nodiscard]] std::string error_frame(const call_error& error);

// For errors of the HTTP server itself: requests rejected before a handler got them, which never
// ran, and (status 500) requests that ended without an answer, which may have run.
[[nodiscard]] std::string server_error_body(int status, std::string_view reason);

// Escapes text for use inside a JSON string.
[[nodiscard]] std::string json_escape(std::string_view text);

}  // namespace arbutus
