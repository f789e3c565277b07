// The HTTP requests of probes, orders and cancellations.
#include "node/engine_client.h"

#include "process/engine_wire.h"

namespace arbutus {

namespace {

constexpr int status_ok = 200;
constexpr int status_conflict = 409;

}  // namespace

outcome<engine_report> engine_client::probe(const socket_address& target, time_point deadline) {
  http_request request;
  request.target = "/report";
  const call_result result = client_.fetch(target, request, deadline);
  if (!result.ok()) {
    return unknown{std::string(result.reason())};
  }
  if (result.response.status != status_ok) {
    return refused{"status " + std::to_string(result.response.status)};
  }
  return decode_report(result.response.body);
}

outcome<engine_report> engine_client::send(const socket_address& target, const order& o,
                                           time_point deadline,
                                           const send_permit& order_still_valid) {
  http_request request;
  request.method = "POST";
  request.target = "/order";
  request.body = encode(o);
  const call_result result = client_.fetch(target, request, deadline, {}, order_still_valid);
  if (result.failure == call_failure::not_permitted) {
    return refused{"out of date before it was sent"};
  }
  if (!result.ok()) {
    return unknown{std::string(result.reason())};
  }
  if (result.response.status == status_conflict) {
    return refused{"old token, other incarnation or passed deadline"};
  }
  if (result.response.status != status_ok) {
    return unknown{"status " + std::to_string(result.response.status)};
  }
  return decode_report(result.response.body);
}

void engine_client::cancel(const socket_address& target, const request_id& id,
                           time_point deadline) {
  http_request request;
  request.method = "POST";
  request.target = "/cancel/" + id.str();
  static_cast<void>(client_.fetch(target, request, deadline));
}

}  // namespace arbutus
