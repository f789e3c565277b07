// Functions that the HTTP servers of the stand-ins share.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/outcome.h"
#include "base/units.h"
#include "connection/clock.h"
#include "connection/http_message.h"
#include "connection/http_server.h"
#include "standin/fault_commands.h"

namespace arbutus::standin {

// How often a waiting server checks whether a fault has changed.
inline constexpr duration fault_poll_interval = 10ms;

// Ends an HTTP request without a response: the caller sees its connection close.
void close_without_response(response_writer& writer);

void send_json(response_writer& writer, int status, std::string_view body);
// Sends {"error":{"type":TYPE,"message":MESSAGE}}.
void send_error(response_writer& writer, int status, std::string_view type,
                std::string_view message);
void send_fault_result(response_writer& writer, const outcome<faults_applied>& result);

// Waits until a time or for a duration; false if the caller disconnects first.
bool wait_until(response_writer& writer, time_point until);
bool wait_for(response_writer& writer, duration d);

// Waits while `holds()`; false if the caller disconnects first.
template <class Condition>
bool wait_while(response_writer& writer, Condition&& holds) {
  while (holds()) {
    if (!wait_for(writer, fault_poll_interval)) {
      return false;
    }
  }
  return true;
}

[[nodiscard]] std::string header_text(const http_request& request, std::string_view name);
// Value of a numeric header field; `fallback` if the field is missing or not a number.
[[nodiscard]] std::uint64_t header_number(const http_request& request, std::string_view name,
                                          std::uint64_t fallback);

// The value of `name` in a query string; empty if it is missing. Not percent-decoded: the values
// need no escaping.
[[nodiscard]] std::string query_parameter(const std::string& target, const std::string& name);

// The part of the request target after `prefix`; empty if the target does not start with it.
[[nodiscard]] std::optional<std::string> after(std::string_view target, std::string_view prefix);

}  // namespace arbutus::standin
