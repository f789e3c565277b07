// An HTTP server that simulates a process which dies and restarts on the same port.
#pragma once

#include <memory>

#include "connection/http_server.h"

namespace arbutus::standin {

class restartable_server {
 public:
  // Listens from construction on. The runtime outlives the server.
  restartable_server(fiber_runtime& runtime, const socket_address& address, http_handler handler);
  ~restartable_server();
  restartable_server(const restartable_server&) = delete;
  restartable_server& operator=(const restartable_server&) = delete;

  // Closes every connection and refuses new ones. Waits until the handlers have returned; must not
  // be called from a handler of this server.
  void close();
  void open();

  // Port of the server, the same after close() and open().
  [[nodiscard]] std::uint16_t port() const noexcept;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace arbutus::standin
