// Formats the error answers to callers.
#include "node/error_body.h"

#include <nlohmann/json.hpp>

namespace arbutus {

namespace {

constexpr duration one_second = 1s;

// Formats a duration for the header Retry-After, which has whole seconds only: rounded up, so that
// no caller retries too early.
std::string whole_seconds(duration d) {
  return std::to_string((d + one_second - duration{1}) / one_second);
}

}  // namespace

std::string error_body(const call_error& error) {
  nlohmann::json body = {{"type", std::string(to_string(error.ran))},
                         {"code", error.code},
                         {"message", error.message}};
  if (error.retry_after > duration::zero()) {
    body["retry_after_ms"] = static_cast<std::int64_t>(to_milliseconds(error.retry_after));
  }
  return nlohmann::json{{"error", body}}.dump(-1, ' ', false,
                                              nlohmann::json::error_handler_t::replace);
}

bool send_error(response_writer& writer, const call_error& error, const request_id& id) {
  http_headers headers;
  headers.add("content-type", "application/json");
  if (!id.empty()) {
    headers.add("x-request-id", id.str());
  }
  if (error.retry_after > duration::zero()) {
    headers.add("retry-after", whole_seconds(error.retry_after));
  }
  return writer.send(error.status, headers, error_body(error));
}

std::string error_frame(const call_error& error) {
  return "data: " + error_body(error) + "\n\n";
}

std::string server_error_body(int status, std::string_view reason) {
  call_error error;
  error.status = status;
  error.message = std::string(reason);
  // A caller that half-closes its connection after a complete request ends the call, which may have
  // reached a target by then. An answer of type "not_run" would make the caller send a booking
  // again.
  constexpr int no_answer = 500;
  error.code = status == no_answer ? "no_answer" : "bad_request";
  error.ran = status == no_answer ? execution::unknown : execution::not_run;
  return error_body(error);
}

std::string json_escape(std::string_view text) {
  const std::string quoted = nlohmann::json(std::string(text))
                                 .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return quoted.substr(1, quoted.size() - 2);
}

}  // namespace arbutus
