// The receiving end of links.
#include <map>
#include <mutex>

#include "connection/connection_registry.h"
#include "connection/link.h"
#include "connection/link_wire.h"
#include "connection/listener.h"

namespace arbutus {

using boost::asio::ip::tcp;

struct link_server::state {
  state(fiber_runtime& r, const socket_address& address, const node_id& id, const link_limits& l,
        link_frame_handler frame_handler, link_change_handler change_handler)
      : runtime(r),
        self(id),
        limits(l),
        on_frame(std::move(frame_handler)),
        on_change(std::move(change_handler)),
        registry(r.workers()),
        acceptor(
            r, address, link_kernel_buffer_bytes, [this] { return registry.least_loaded(); },
            [this](fiber_worker& worker, tcp::socket socket) {
              accept_connection(worker, std::move(socket));
            }) {}

  void accept_connection(fiber_worker& worker, tcp::socket socket) {
    registry.count_opened(worker.index);
    spawn_on(worker, [this, socket = std::move(socket)]() mutable {
      {
        fiber_stream stream(std::move(socket));
        registry.register_connection(stream);
        if (!closing) {
          serve(stream);
        }
        registry.unregister_connection(stream);
      }
      registry.count_closed();
    });
  }

  void serve(fiber_stream& stream) {
    detect_dead_peer(stream.socket(), limits.write_timeout);
    frame_reader reader(stream, counters);
    stream.set_deadline(monotonic_now() + limits.hello_timeout);
    const auto hello = reader.next();
    const auto peer = hello ? parse_hello(*hello) : std::nullopt;
    if (!peer || !send_hello(stream)) {
      return;
    }
    stream.set_deadline(time_point::max());
    link_came_up(*peer);
    while (const auto payload = reader.next()) {
      on_frame(*peer, *payload);
    }
    link_went_down(*peer);
  }

  bool send_hello(fiber_stream& stream) {
    std::vector<std::uint8_t> hello;
    append_frame(hello, hello_payload(self));
    return write_frames(stream, hello, 1, counters);
  }

  void link_came_up(const node_id& peer) {
    ++counters.connects;
    if (count_link(peer, +1) == 1) {
      on_change(peer, true);
    }
  }

  void link_went_down(const node_id& peer) {
    if (count_link(peer, -1) == 0) {
      on_change(peer, false);
    }
  }

  int count_link(const node_id& peer, int change) {
    const std::lock_guard lock(mutex);
    const int count = links[peer] += change;
    if (count == 0) {
      links.erase(peer);
    }
    return count;
  }

  void close_all() {
    closing = true;
    registry.for_each([](fiber_stream& stream) { stream.abort(); });
    registry.wait_until_empty();
  }

  fiber_runtime& runtime;
  const node_id self;
  const link_limits limits;
  const link_frame_handler on_frame;
  const link_change_handler on_change;
  atomic_link_counters counters;
  std::mutex mutex;
  std::map<node_id, int> links;  // number of links that are up, per peer; guarded by mutex
  std::atomic<bool> closing{false};
  connection_registry<fiber_stream> registry;
  listener acceptor;
};

link_server::link_server(fiber_runtime& runtime, const socket_address& address, const node_id& self,
                         const link_limits& limits, link_frame_handler on_frame,
                         link_change_handler on_change)
    : state_(std::make_unique<state>(runtime, address, self, limits, std::move(on_frame),
                                     std::move(on_change))) {}

link_server::~link_server() {
  state_->acceptor.close();
  for (std::size_t i = 0; i < state_->runtime.workers(); ++i) {
    state_->runtime.run_on(i, [this] { state_->close_all(); });
  }
}

std::uint16_t link_server::port() const noexcept {
  return state_->acceptor.port();
}

link_counters link_server::counters() const {
  return state_->counters.read();
}

}  // namespace arbutus
