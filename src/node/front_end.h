// Dispatches the HTTP requests to a node by path: model calls, service calls, health checks,
// metrics and operators' requests.
#pragma once

#include <atomic>
#include <functional>
#include <string>

#include "node/call_context.h"

namespace arbutus {

// Handlers for the paths of operators and of the platform's balancer.
struct operator_handlers {
  std::function<std::string()> status;  // JSON
  std::function<std::string()> gauges;  // Prometheus text
  // Proposes a configuration; writes the answer itself.
  std::function<void(const http_request&, response_writer&)> configure;
  // SHA-256 of the operators' key; empty: requests below /admin are refused.
  std::string key_hash;
};

class front_end {
 public:
  front_end(call_context& node, operator_handlers operators);

  void serve(const http_request& request, response_writer& writer);

  // Makes /readyz fail from now on, so that the balancer sends no new callers to this node.
  void begin_drain() { draining_ = true; }

 private:
  void serve_ready(response_writer& writer) const;
  void serve_admin(const http_request& request, response_writer& writer);
  [[nodiscard]] bool is_operator(const http_request& request) const;

  call_context& node_;
  operator_handlers operators_;
  std::atomic<bool> draining_{false};
};

}  // namespace arbutus
