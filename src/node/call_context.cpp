// Authentication, request class, deadline and rate limit of a call.
#include "node/call_context.h"

#include <charconv>

#include "connection/clock.h"
#include "node/target_notices.h"
#include "version/secret.h"

namespace arbutus {

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr duration no_configuration_retry = 1s;

call_error unauthorized() {
  call_error error;
  error.status = 401;
  error.code = "unauthorized";
  error.message = "send a workspace's key as 'Authorization: Bearer KEY'";
  return error;
}

call_error no_configuration() {
  call_error error;
  error.status = 503;
  error.code = "no_configuration";
  error.message = "this node has no configuration yet";
  error.retry_after = no_configuration_retry;
  return error;
}

call_error over_limit(duration retry_after) {
  call_error error;
  error.status = 429;
  error.code = "rate_limited";
  error.message = "the workspace is over its rate limit";
  error.retry_after = retry_after;
  return error;
}

call_error node_stops() {
  call_error error;
  error.status = 503;
  error.code = "stopping";
  error.message = stopping_reason;
  error.retry_after = retry_after_stopping;
  return error;
}

const class_rule* find_request_class(const rules& desired, const http_headers& headers) {
  const auto name = headers.find("x-class");
  if (!name) {
    return desired.classes.empty() ? nullptr : &desired.classes.front();
  }
  return desired.find_class(*name);
}

}  // namespace

std::optional<std::uint64_t> number_header(const http_headers& headers, std::string_view name) {
  const auto text = headers.find(name);
  if (!text) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
  if (error != std::errc{} || end != text->data() + text->size()) {
    return std::nullopt;
  }
  return value;
}

void learn_from_response(call_context& node, const request_id& request,
                         const target_instance& target, const http_response& response) {
  const auto change = node.backoffs.on_response(monotonic_now(), request, target, response.status,
                                                response.headers);
  for (const std::string_view name : names_of(change)) {
    node.call_metrics.count(current_worker(), "arbutusworks_target_notices",
                            "change=\"" + std::string(name) + "\"");
  }
}

socket_address address_of(const endpoint& e) {
  return {e.host, e.port};
}

std::optional<call_error> begin_call(call_context& node, const http_request& request,
                                     call_state& call) {
  call.arrival = monotonic_now();
  call.view = node.coordination.view();
  call.id = request_id{node.self.str() + "-" + std::to_string(node.incarnation) + "-" +
                       std::to_string(node.next_request.fetch_add(1))};
  if (!call.view->config) {
    return no_configuration();
  }
  const rules& desired = call.view->config->desired;
  const auto authorization = request.headers.find("authorization");
  if (!authorization || !authorization->starts_with(bearer_prefix)) {
    return unauthorized();
  }
  call.workspace = authenticate(desired, authorization->substr(bearer_prefix.size()));
  if (call.workspace == nullptr) {
    return unauthorized();
  }
  call.measurements.workspace = call.workspace->id;
  const class_rule* request_class = find_request_class(desired, request.headers);
  if (request_class == nullptr && request.headers.find("x-class")) {
    call_error error;
    error.status = 400;
    error.code = "unknown_class";
    error.message = "the rules know no such class";
    return error;
  }
  if (request_class != nullptr) {
    call.request_class = *request_class;
  }
  call.priority = call.request_class.priority;
  call.measurements.request_class = call.request_class.name;
  call.deadline = call.arrival + call.request_class.deadline;
  if (const auto requested = number_header(request.headers, "x-deadline-ms")) {
    const auto max_ms = static_cast<std::uint64_t>(to_milliseconds(call.request_class.deadline));
    call.deadline = call.arrival + std::chrono::milliseconds(std::min(*requested, max_ms));
  }
  if (node.stop.may_outlast_node(call.deadline)) {
    return node_stops();
  }
  const limit_result result = node.limits.take(call.arrival, call.workspace->id);
  if (const auto* exceeded = std::get_if<limit_exceeded>(&result)) {
    return over_limit(exceeded->retry_after);
  }
  return std::nullopt;
}

}  // namespace arbutus
