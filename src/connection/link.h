// Links between nodes: TCP connections that carry length-prefixed frames in one direction, from a
// link_client to a link_server. The payload is opaque here; its users encode it as MessagePack.
//
// A frame is a length of four bytes, big-endian, followed by that many bytes. Each side first sends
// a hello frame with its node id: since the sender learned the address, it may have been reassigned
// to another node, which must not be mistaken for the peer.
//
// Delivery is not guaranteed. A frame that was passed to the kernel before a link broke may or may
// not have arrived. The sender is notified when the link is up again, and then sends its complete
// state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

#include "base/id.h"
#include "connection/fiber_runtime.h"
#include "connection/http_message.h"

namespace arbutus {

// Maximum payload of a frame in bytes. A greater length means that the peer uses another protocol.
constexpr std::size_t max_frame_bytes = 1024UL * 1024;

enum class frame_priority : std::uint8_t {
  state,   // superseded by later frames: the oldest are dropped if the peer is slow
  urgent,  // sent before state, and kept while the link is down
};

struct link_limits {
  duration connect_timeout{1s};
  duration hello_timeout{2s};    // for the peer's hello frame
  duration write_timeout{3s};    // a peer that accepts no data for this long counts as down
  duration first_backoff{50ms};  // pause before the first repeated attempt to connect
  duration max_backoff{2s};      // upper bound of that pause, which doubles with each attempt
  std::size_t max_queue_bytes{256UL * 1024};  // size limit of the frames that wait to be sent
};

// Totals since the start. Bytes are counted as passed to TCP: with length prefixes and hello
// frames, without TCP and IP headers.
struct link_counters {
  std::uint64_t bytes_in{};
  std::uint64_t bytes_out{};
  std::uint64_t frames_in{};
  std::uint64_t frames_out{};
  std::uint64_t frames_dropped{};  // from the queue, because the peer was slow or the link down
  std::uint64_t connects{};        // number of times that a link came up
};

// Called in a fiber, which it may suspend. Calls for one link never overlap.
using link_change_handler = std::function<void(const node_id& peer, bool up)>;
using link_frame_handler =
    std::function<void(const node_id& peer, std::span<const std::uint8_t> bytes)>;

// The receiving end for any number of peers. A peer may have several links while an old one is not
// yet known to be broken; it counts as up while it has at least one.
class link_server {
 public:
  // Starts listening immediately; port 0 selects any free port. Throws boost::system::system_error.
  // The runtime outlives the server. The handlers are called on any worker.
  link_server(fiber_runtime& runtime, const socket_address& address, const node_id& self,
              const link_limits& limits, link_frame_handler on_frame,
              link_change_handler on_change);
  ~link_server();
  link_server(const link_server&) = delete;
  link_server& operator=(const link_server&) = delete;
  link_server(link_server&&) = delete;
  link_server& operator=(link_server&&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept;
  [[nodiscard]] link_counters counters() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

// The sending end to one peer. It connects automatically and reconnects whenever the link breaks,
// with exponential backoff and jitter, so that peers do not all reconnect simultaneously.
class link_client {
 public:
  // Runs on `worker`; `seed` determines the jitter. The runtime outlives the client.
  link_client(fiber_runtime& runtime, std::size_t worker, const socket_address& address,
              const node_id& self, std::uint64_t seed, const link_limits& limits,
              link_change_handler on_change);
  ~link_client();
  link_client(const link_client&) = delete;
  link_client& operator=(const link_client&) = delete;
  link_client(link_client&&) = delete;
  link_client& operator=(link_client&&) = delete;

  // Queues a frame of 1 to max_frame_bytes. False if the frame is not queued: it is too long or
  // empty, or it is state and the link is down. Callable from any thread; does not suspend.
  bool send(std::vector<std::uint8_t> bytes, frame_priority priority);

  [[nodiscard]] bool up() const noexcept;
  [[nodiscard]] link_counters counters() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace arbutus
