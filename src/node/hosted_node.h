// A node on a hosted platform: the platform's store holds the configuration and the list of
// targets. Owns the node's components and shuts them down gracefully.
#pragma once

#include <memory>

#include "process/hosted_settings.h"

namespace arbutus {

class hosted_node {
 public:
  // Starts listening; throws boost::system::system_error if an address cannot be listened on.
  explicit hosted_node(const hosted_settings& settings);
  ~hosted_node();
  hosted_node(const hosted_node&) = delete;
  hosted_node& operator=(const hosted_node&) = delete;
  hosted_node(hosted_node&&) = delete;
  hosted_node& operator=(hosted_node&&) = delete;

  void start();

  // Graceful shutdown: readiness fails first, new requests are served until the load balancer has
  // removed the node, and requests in flight complete. True if no request was cut off.
  bool stop();

 private:
  struct parts;
  std::unique_ptr<parts> parts_;
};

}  // namespace arbutus
