// Links to the other nodes: one outgoing link per known peer, one server for incoming ones.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "connection/link.h"
#include "process/effects.h"
#include "version/inventory.h"

namespace arbutus {

class peer_links {
 public:
  using on_message = std::function<void(peer_message)>;

  // Listens at once; throws boost::system::system_error. The runtime outlives this object.
  peer_links(fiber_runtime& runtime, const socket_address& listen, node_id self,
             on_message received);

  [[nodiscard]] std::uint16_t port() const noexcept { return server_->port(); }

  // Peers that this node may send to; links to others are closed.
  void set_peers(const std::vector<node_record>& peers);
  void send(const peer_send& message);

  [[nodiscard]] link_counters counters() const;

 private:
  struct peer {
    endpoint address;
    std::unique_ptr<link_client> link;
  };

  fiber_runtime& runtime_;
  node_id self_;
  mutable std::mutex lock_;  // guards peers_
  std::map<node_id, peer> peers_;
  std::unique_ptr<link_server> server_;  // last: its handlers use the rest
};

}  // namespace arbutus
