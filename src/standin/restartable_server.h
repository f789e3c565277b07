// An HTTP server whose process can seem to die and come back on the same port.
#pragma once

#include <memory>

#include "connection/http_server.h"

namespace arbutus::standin {

class restartable_server {
 public:
  // Listens at once. The runtime outlives it.
  restartable_server(fiber_runtime& runtime, const socket_address& address, http_handler handler);
  ~restartable_server();
  restartable_server(const restartable_server&) = delete;
  restartable_server& operator=(const restartable_server&) = delete;

  // The port refuses, and every connection breaks. Waits until the handlers have returned; not
  // from a handler of this server.
  void close();
  void open();

  // Chosen once.
  [[nodiscard]] std::uint16_t port() const noexcept;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace arbutus::standin
