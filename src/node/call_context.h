// The node services that every call uses, and the steps that all calls start with: authentication,
// request class, deadline and rate limit.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "node/control.h"
#include "node/error_body.h"
#include "node/limit_exchange.h"
#include "node/metrics.h"
#include "node/model_gate.h"
#include "node/planned_stop.h"
#include "node/platform_client.h"
#include "node/route_backoffs.h"
#include "node/service_health.h"

namespace arbutus {

// Exists as long as the node. The objects that it refers to outlive every call.
struct call_context {
  node_id self;
  std::uint64_t incarnation{};  // differs after every start of this node
  data_centre_id data_centre;
  fiber_runtime& runtime;
  http_client& client;
  platform_client& platform;
  control& coordination;  // the coordination core of this node
  model_gates& gates;
  limit_exchange& limits;
  service_health& services;
  route_backoffs& backoffs;
  metrics& call_metrics;
  planned_stop stop{};
  std::atomic<std::uint64_t> next_request{1};  // number that the id of the next request contains
};

// The state of one call, from its arrival to its answer.
struct call_state {
  std::shared_ptr<const node_view> view;  // configuration in force when the call arrived
  const workspace_rule* workspace = nullptr;
  class_rule request_class;
  request_id id;
  time_point arrival;
  time_point deadline;
  std::uint32_t priority = 0;  // 0 is the highest
  finished_call measurements;
};

// Fills `call` from the headers. Returns the error to answer with if the call is not accepted.
[[nodiscard]] std::optional<call_error> begin_call(call_context& node, const http_request& request,
                                                   call_state& call);

// The value of a header as a number; empty if the header is missing or not a number.
[[nodiscard]] std::optional<std::uint64_t> number_header(const http_headers& headers,
                                                         std::string_view name);

// Updates what this node knows of the target's restraints from its response to a request.
void learn_from_response(call_context& node, const request_id& request,
                         const target_instance& target, const http_response& response);

[[nodiscard]] socket_address address_of(const endpoint& e);

}  // namespace arbutus
