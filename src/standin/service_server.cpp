// HTTP interface of a stand-in for a service that is not a model.
#include "standin/service_server.h"

#include "standin/fault_commands.h"
#include "standin/standin_http.h"

namespace arbutus::standin {

service_server::service_server(fiber_runtime& runtime, const socket_address& address,
                               shared_service& shared)
    : shared_(shared),
      server_(runtime, address, [this](const http_request& request, response_writer& writer) {
        handle(request, writer);
      }) {}

void service_server::handle(const http_request& request, response_writer& writer) {
  if (request.method == "GET" && request.target == "/standin/executions") {
    std::unique_lock lock(shared_.mutex);
    const std::string body = encode(shared_.service.counters());
    lock.unlock();
    send_json(writer, 200, body);
  } else if (request.method == "POST" && request.target == "/faults") {
    std::unique_lock lock(shared_.mutex);
    const auto result = set_faults(shared_.service.faults(), request.body);
    lock.unlock();
    send_fault_result(writer, result);
  } else {
    call(request, writer);
  }
}

void service_server::call(const http_request& request, response_writer& writer) {
  const service_call received{request.method, request.target,
                              idempotency_key{header_text(request, "idempotency-key")},
                              request_id{header_text(request, "x-request-id")}, request.body};
  std::unique_lock lock(shared_.mutex);
  const service_faults faults = shared_.service.faults();
  if (faults.backoff > duration::zero()) {
    shared_.service.count_turned_away();
    lock.unlock();
    writer.send(503, {{"Retry-After", std::to_string(to_seconds(faults.backoff))}}, "");
    return;
  }
  const service_reply reply = shared_.service.call(received);
  lock.unlock();
  if (reply.late_by > duration{} && !wait_for(writer, reply.late_by)) {
    return;
  }
  if (reply.cut) {
    close_without_response(writer);
    return;
  }
  http_headers headers{{"content-type", "application/json"}};
  if (!received.id.empty()) {
    headers.add("x-request-id", received.id.str());
  }
  if (faults.says_leaving) {
    headers.add("Server-Leaving", "1");
  }
  writer.send(200, headers, reply.body);
}

}  // namespace arbutus::standin
