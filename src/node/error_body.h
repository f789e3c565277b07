// Error answers to callers: JSON whose type says whether the request was run.
#pragma once

#include <string>
#include <string_view>

#include "base/id.h"
#include "base/units.h"
#include "connection/http_server.h"
#include "request/outcome.h"

namespace arbutus {

// What a caller is told when there is no answer to pass on.
struct call_error {
  int status = 500;
  execution ran = execution::not_run;
  std::string code;        // stable, for programs: "too_late", "unknown_model", ...
  std::string message;     // for people
  duration retry_after{};  // 0: none is told
};

// {"error":{"type":"not_run"|"unknown","code":...,"message":...}}
[[nodiscard]] std::string error_body(const call_error& error);

// Answers at once; true if the caller could be reached. `id` names the call, so that a caller or an
// operator can look up what became of it; empty when it has none.
bool send_error(response_writer& writer, const call_error& error, const request_id& id = {});

// The last frame of a stream that was begun and cannot be completed: it says that it is cut.
[[nodiscard]] std::string error_frame(const call_error& error);

// For what the HTTP server refuses by itself, before a handler saw it: never run.
[[nodiscard]] std::string server_error_body(int status, std::string_view reason);

// Escapes text for use inside a JSON string.
[[nodiscard]] std::string json_escape(std::string_view text);

}  // namespace arbutus
