// Links between our own processes: TCP connections that carry length-prefixed frames one way, from
// a link_client to a link_server. What a frame means is up to others; they encode it as
// MessagePack.
//
// A frame is a length of four bytes, most significant first, and that many bytes. Each side first
// sends a hello frame with its node id: an address may have passed to another node since it was
// learned, and the sender must not take that one for its peer.
//
// Delivery is not promised. A frame that was handed to the kernel when a link broke may or may not
// have arrived; the sender is told that the link is up again and then sends its whole state.
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

// Longest payload of a frame in bytes. A length above it means that the peer speaks something else.
constexpr std::size_t max_frame_bytes = 1024UL * 1024;

enum class frame_priority : std::uint8_t {
  state,   // superseded by later frames: the oldest are dropped when the peer is slow
  urgent,  // goes ahead of state, and is kept while the link is down
};

struct link_limits {
  duration connect_timeout{1s};
  duration hello_timeout{2s};
  duration write_timeout{3s};  // a peer that takes nothing for so long is not up
  duration first_backoff{50ms};
  duration longest_backoff{2s};
  std::size_t queue_bytes{256UL * 1024};
};

// Sums since the start, both of bytes as they are handed to TCP (length prefixes and hello frames
// included, headers of TCP and IP not).
struct link_counters {
  std::uint64_t bytes_in{};
  std::uint64_t bytes_out{};
  std::uint64_t frames_in{};
  std::uint64_t frames_out{};
  std::uint64_t frames_dropped{};  // from the queue, because the peer was slow or the link down
  std::uint64_t connects{};        // links that came up
};

// Called in a fiber, which it may suspend; for one link never twice at a time.
using link_change_handler = std::function<void(const node_id& peer, bool up)>;
using link_frame_handler =
    std::function<void(const node_id& peer, std::span<const std::uint8_t> bytes)>;

// The receiving end for any number of peers. While a peer has several links, as it may when an old
// one is not yet known to be broken, it counts as up once.
class link_server {
 public:
  // Listens at once; port 0 takes any free one. Throws boost::system::system_error. The runtime
  // outlives the server. The handlers are called on any worker.
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

// The sending end to one peer. It connects by itself, and again whenever the link breaks, after a
// pause that doubles and is spread at random so that peers do not return all at once.
class link_client {
 public:
  // Lives on `worker`; `seed` spreads the pauses. The runtime outlives the client.
  link_client(fiber_runtime& runtime, std::size_t worker, const socket_address& address,
              const node_id& self, std::uint64_t seed, const link_limits& limits,
              link_change_handler on_change);
  ~link_client();
  link_client(const link_client&) = delete;
  link_client& operator=(const link_client&) = delete;
  link_client(link_client&&) = delete;
  link_client& operator=(link_client&&) = delete;

  // Queues a frame of 1 to max_frame_bytes. False if it is not queued: it is too long or empty, or
  // it is state and the link is down. From any thread; does not suspend.
  bool send(std::vector<std::uint8_t> bytes, frame_priority priority);

  [[nodiscard]] bool up() const noexcept;
  [[nodiscard]] link_counters counters() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace arbutus
