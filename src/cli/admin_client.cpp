// HTTP client that subcommands use to call the nodes' addresses for operators.
#include "cli/admin_client.h"

#include "connection/clock.h"

namespace arbutus {

admin_client::admin_client() : runtime_(1) {
  runtime_.run();
  client_.emplace(runtime_);
}

admin_client::~admin_client() {
  client_.reset();
  runtime_.stop();
  runtime_.join();
}

call_result admin_client::call(const endpoint& node, const std::string& method,
                               const std::string& target, const std::string& key,
                               const std::string& body, duration timeout) {
  http_request request;
  request.method = method;
  request.target = target;
  request.body = body;
  if (!key.empty()) {
    request.headers.add("authorization", "Bearer " + key);
  }
  call_result result;
  runtime_.run_on(0, [&] {
    result = client_->fetch({node.host, node.port}, request, monotonic_now() + timeout);
  });
  return result;
}

}  // namespace arbutus
