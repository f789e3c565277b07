// The HTTP paths of a node.
#include "node/front_end.h"

#include "node/model_call.h"
#include "node/service_call.h"
#include "version/secret.h"

namespace arbutus {

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";

void send_text(response_writer& writer, int status, std::string_view type, std::string_view body) {
  http_headers headers;
  headers.add("content-type", std::string(type));
  writer.send(status, headers, body);
}

void refuse(response_writer& writer, int status, std::string code, std::string message) {
  call_error error;
  error.status = status;
  error.code = std::move(code);
  error.message = std::move(message);
  send_error(writer, error);
}

}  // namespace

front_end::front_end(call_context& node, operator_handlers operators)
    : node_(node), operators_(std::move(operators)) {}

void front_end::serve(const http_request& request, response_writer& writer) {
  const std::string_view path =
      std::string_view(request.target).substr(0, request.target.find('?'));
  if (path == "/v1/completions" || path == "/v1/chat/completions") {
    if (request.method != "POST") {
      refuse(writer, 405, "method_not_allowed", "use POST");
      return;
    }
    const model_api api = path == "/v1/completions" ? model_api::completions : model_api::chat;
    serve_model_call(node_, api, request, writer);
  } else if (path == "/healthz") {
    send_text(writer, 200, "text/plain", "ok\n");
  } else if (path == "/readyz") {
    serve_ready(writer);
  } else if (path == "/metrics") {
    send_text(writer, 200, "text/plain; version=0.0.4",
              node_.call_metrics.text(operators_.gauges()));
  } else if (path.starts_with("/admin/")) {
    serve_admin(request, writer);
  } else {
    serve_service_call(node_, request, writer);
  }
}

// A node is ready when a configuration is in force and it is not draining.
void front_end::serve_ready(response_writer& writer) const {
  if (draining_) {
    send_text(writer, 503, "text/plain", "draining\n");
  } else if (!node_.coordination.view()->config) {
    send_text(writer, 503, "text/plain", "no configuration yet\n");
  } else {
    send_text(writer, 200, "text/plain", "ready\n");
  }
}

bool front_end::is_operator(const http_request& request) const {
  const auto authorization = request.headers.find("authorization");
  if (operators_.key_hash.empty() || !authorization || !authorization->starts_with(bearer_prefix)) {
    return false;
  }
  return equal_constant_time(sha256_hex(authorization->substr(bearer_prefix.size())),
                             operators_.key_hash);
}

void front_end::serve_admin(const http_request& request, response_writer& writer) {
  if (!is_operator(request)) {
    refuse(writer, 401, "unauthorized", "send the operators' key as 'Authorization: Bearer KEY'");
  } else if (request.target == "/admin/status" && request.method == "GET") {
    send_text(writer, 200, "application/json", operators_.status());
  } else if (request.target == "/admin/configuration") {
    operators_.configure(request, writer);
  } else {
    refuse(writer, 404, "unknown_path", "no such path for operators");
  }
}

}  // namespace arbutus
