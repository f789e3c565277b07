// Accepts TCP connections and hands them to workers. Only for the .cpp files of this folder.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <functional>

#include "connection/fiber_worker.h"
#include "connection/http_message.h"

namespace arbutus {

class listener {
 public:
  // Names the worker for the next connection.
  using chooser = std::function<std::size_t()>;
  // Takes a new connection, whose socket belongs to `worker`. Runs on worker 0 and must not throw.
  using taker = std::function<void(fiber_worker& worker, boost::asio::ip::tcp::socket socket)>;

  // Listens at once, accepts as soon as the runtime runs. Port 0 takes any free one. A positive
  // `receive_buffer` limits what the kernel takes in for each connection, in bytes. Throws
  // boost::system::system_error.
  listener(fiber_runtime& runtime, const socket_address& address, int receive_buffer,
           chooser choose_worker, taker take);
  ~listener();
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;
  listener(listener&&) = delete;
  listener& operator=(listener&&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

  // Stops listening; no connection is taken after the return.
  void close();

 private:
  void accept_all();

  fiber_runtime& runtime_;
  chooser choose_worker_;
  taker take_;
  boost::asio::ip::tcp::acceptor acceptor_;  // used on worker 0
  std::uint16_t port_{};
  bool accepting_{true};  // until accept_all() has ended; touched on worker 0
  boost::fibers::condition_variable_any ended_;
};

}  // namespace arbutus
