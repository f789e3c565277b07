// A node: the one process between callers and targets. Owns its components, and starts and stops
// them.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "connection/http_server.h"
#include "node/platform_client.h"
#include "process/status_view.h"
#include "version/inventory.h"

namespace arbutus {

struct node_setup {
  node_id self;
  data_centre_id data_centre;
  socket_address caller_address;  // listens for callers here; port 0: any
  socket_address link_address;    // listens for other nodes here
  platform_addresses platform;
  std::vector<node_record> bootstrap_peers;
  std::size_t workers = 2;
  http_server_limits limits;
  std::size_t buffered_bytes = 64UL * 1024 * 1024;  // see connection_limits
  std::string operator_key_hash;                    // SHA-256; empty: no /admin
  std::uint64_t incarnation{};                      // differs after every start
  std::uint64_t seed{};
  // How long the platform's balancer still sends callers after /readyz has begun to fail.
  duration load_balancer_lag = 3s;
  // How long requests in flight may take to end when the node stops.
  duration drain_timeout = 60s;
  std::function<void(const notice&)> on_notice;  // may be empty; called on worker 0
};

class node {
 public:
  // Starts to listen; throws boost::system::system_error when an address cannot be listened on.
  explicit node(node_setup options);
  ~node();
  node(const node&) = delete;
  node& operator=(const node&) = delete;

  void start();

  // Graceful stop: readiness fails first, new requests are served until the balancer has noticed,
  // and requests in flight finish. Returns when the node has ended; true if no request was aborted.
  bool stop();

  [[nodiscard]] std::uint16_t caller_port() const;
  [[nodiscard]] std::uint16_t link_port() const;
  [[nodiscard]] status_view status() const;
  [[nodiscard]] bool has_configuration() const;
  // Number of replicas that this node may route to now.
  [[nodiscard]] std::size_t routable_replicas() const;
  [[nodiscard]] std::uint64_t config_version() const;

 private:
  struct parts;
  std::unique_ptr<parts> parts_;
};

}  // namespace arbutus
