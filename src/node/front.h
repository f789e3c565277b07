// What callers of a node meet: the paths, and which part answers each.
#pragma once

#include <atomic>
#include <functional>
#include <string>

#include "node/call_context.h"

namespace arbutus {

// Paths of operators and of the platform's balancer. All return whole answers.
struct operator_paths {
  std::function<std::string()> status;  // JSON
  std::function<std::string()> gauges;  // Prometheus text
  // Proposes a configuration; answers by itself.
  std::function<void(const http_request&, response_writer&)> configure;
  // Hash of the operators' key; empty: the paths below /admin are closed.
  std::string key_hash;
};

class front {
 public:
  front(call_context& node, operator_paths operators);

  void serve(const http_request& request, response_writer& writer);

  // From then on /readyz fails, so that the balancer sends no new callers here.
  void begin_drain() { draining_ = true; }

 private:
  void serve_ready(response_writer& writer) const;
  void serve_admin(const http_request& request, response_writer& writer);
  [[nodiscard]] bool is_operator(const http_request& request) const;

  call_context& node_;
  operator_paths operators_;
  std::atomic<bool> draining_{false};
};

}  // namespace arbutus
