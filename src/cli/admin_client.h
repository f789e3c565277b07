// Makes HTTP calls to nodes for a subcommand, on a runtime of its own.
#pragma once

#include <optional>
#include <string>

#include "connection/http_client.h"
#include "version/inventory.h"

namespace arbutus {

class admin_client {
 public:
  admin_client();
  ~admin_client();
  admin_client(const admin_client&) = delete;
  admin_client& operator=(const admin_client&) = delete;

  // Sends `key` as the operators' key unless it is empty.
  call_result call(const endpoint& node, const std::string& method, const std::string& target,
                   const std::string& key, const std::string& body, duration timeout);

 private:
  fiber_runtime runtime_;
  std::optional<http_client> client_;
};

}  // namespace arbutus
