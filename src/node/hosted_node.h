// A node on a platform that keeps the configuration and the list of targets: joins the parts, and
// ends them gracefully.
#pragma once

#include <memory>

#include "process/hosted_settings.h"

namespace arbutus {

class hosted_node {
 public:
  // Listens at once; throws boost::system::system_error when an address cannot be listened on.
  explicit hosted_node(const hosted_settings& settings);
  ~hosted_node();
  hosted_node(const hosted_node&) = delete;
  hosted_node& operator=(const hosted_node&) = delete;
  hosted_node(hosted_node&&) = delete;
  hosted_node& operator=(hosted_node&&) = delete;

  void start();

  // Graceful: readiness fails first, new requests are served until the balancer has taken note,
  // those in flight end. True if nothing was cut off.
  bool stop();

 private:
  struct parts;
  std::unique_ptr<parts> parts_;
};

}  // namespace arbutus
