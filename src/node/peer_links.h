// Links to the other nodes: one outgoing link per known peer, one server for incoming ones.
#pragma once

#include <array>
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

// The component that a frame is meant for; sent as the frame's first byte.
enum class link_channel : std::uint8_t { coordination, limits };
inline constexpr std::size_t link_channels = 2;

class peer_links {
 public:
  using on_message = std::function<void(peer_message)>;

  // Starts to listen; throws boost::system::system_error. The runtime outlives this object.
  peer_links(fiber_runtime& runtime, const socket_address& listen, node_id self);

  // To be called before the first peer is set. `received` is called on any worker.
  void set_receiver(link_channel channel, on_message received);

  [[nodiscard]] std::uint16_t port() const noexcept { return server_->port(); }

  // Sets the peers that this node may send to; links to others are closed.
  void set_peers(const std::vector<node_record>& peers);
  void send(link_channel channel, const peer_send& message);

  [[nodiscard]] link_counters counters() const;

 private:
  void receive(const node_id& from, std::span<const std::uint8_t> bytes);

  struct peer {
    endpoint address;
    std::unique_ptr<link_client> link;
  };

  fiber_runtime& runtime_;
  node_id self_;
  mutable std::mutex lock_;  // guards receivers_ and peers_
  std::array<on_message, link_channels> receivers_;
  std::map<node_id, peer> peers_;
  std::unique_ptr<link_server> server_;  // declared last, since its handlers use the other members
};

}  // namespace arbutus
