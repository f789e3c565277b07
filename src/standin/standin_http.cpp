// HTTP responses, waits and request fields for the stand-in servers.
#include "standin/standin_http.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "connection/fiber_runtime.h"

namespace arbutus::standin {

// Starts a response and does not finish it: the server then closes the connection, and the caller
// gets no valid response.
void close_without_response(response_writer& writer) {
  writer.start(200, {});
}

void send_json(response_writer& writer, int status, std::string_view body) {
  writer.send(status, {{"content-type", "application/json"}}, body);
}

void send_error(response_writer& writer, int status, std::string_view type,
                std::string_view message) {
  const nlohmann::json body = {{"error", {{"type", type}, {"message", message}}}};
  send_json(writer, status, body.dump());
}

void send_fault_result(response_writer& writer, const outcome<faults_applied>& result) {
  if (is_ok(result)) {
    send_json(writer, 200, "{}");
  } else if (const auto* no = std::get_if<refused>(&result)) {
    send_error(writer, 400, "invalid", no->reason);
  } else {
    send_error(writer, 500, "unknown", std::get<unknown>(result).reason);
  }
}

bool wait_until(response_writer& writer, time_point until) {
  for (time_point now = monotonic_now(); now < until; now = monotonic_now()) {
    if (writer.caller_disconnected() || !sleep_until(std::min(until, now + fault_poll_interval))) {
      return false;
    }
  }
  return !writer.caller_disconnected();
}

bool wait_for(response_writer& writer, duration d) {
  return wait_until(writer, monotonic_now() + d);
}

std::string header_text(const http_request& request, std::string_view name) {
  return std::string(request.headers.find(name).value_or(std::string_view{}));
}

std::uint64_t header_number(const http_request& request, std::string_view name,
                            std::uint64_t fallback) {
  const std::string_view text = request.headers.find(name).value_or(std::string_view{});
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc{} && end == text.data() + text.size() && !text.empty() ? value
                                                                                   : fallback;
}

std::string query_parameter(const std::string& target, const std::string& name) {
  const auto at = target.find(name + "=");
  if (at == std::string::npos) {
    return {};
  }
  const auto from = at + name.size() + 1;
  return target.substr(from, target.find('&', from) - from);
}

std::optional<std::string> after(std::string_view target, std::string_view prefix) {
  if (!target.starts_with(prefix)) {
    return std::nullopt;
  }
  return std::string(target.substr(prefix.size()));
}

}  // namespace arbutus::standin
