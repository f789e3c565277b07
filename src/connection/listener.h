// Accepts TCP connections and assigns them to workers. Only for the .cpp files of this folder.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <functional>

#include "connection/fiber_worker.h"
#include "connection/http_message.h"

namespace arbutus {

class listener {
 public:
  // Returns the index of the worker for the next connection.
  using worker_selector = std::function<std::size_t()>;
  // Receives a new connection, whose socket belongs to `worker`. Runs on worker 0, must not throw.
  using connection_handler =
      std::function<void(fiber_worker& worker, boost::asio::ip::tcp::socket socket)>;

  // Starts listening immediately, and accepts as soon as the runtime runs. Port 0 selects any free
  // port. A positive `receive_buffer` sets the kernel's receive buffer of each connection, in
  // bytes. Throws boost::system::system_error.
  listener(fiber_runtime& runtime, const socket_address& address, int receive_buffer,
           worker_selector choose_worker, connection_handler on_connection);
  ~listener();
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;
  listener(listener&&) = delete;
  listener& operator=(listener&&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

  // Stops listening. No connection is accepted after it has returned.
  void close();

 private:
  void accept_all();

  fiber_runtime& runtime_;
  worker_selector choose_worker_;
  connection_handler on_connection_;
  boost::asio::ip::tcp::acceptor acceptor_;  // used on worker 0
  std::uint16_t port_{};
  bool accepting_{true};  // until accept_all() has ended; accessed on worker 0
  boost::fibers::condition_variable_any accept_loop_ended_;
};

}  // namespace arbutus
