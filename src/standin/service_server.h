// A stand-in service behind HTTP: any method and path, `GET /standin/executions` for what it did,
// `POST /faults`.
#pragma once

#include <mutex>

#include "connection/http_server.h"
#include "standin/restartable_server.h"
#include "standin/service_standin.h"

namespace arbutus::standin {

// What all instances of one service share: a call that runs on two of them has run twice.
struct service_site {
  explicit service_site(const service_id& id) : service(id) {}

  std::mutex mutex;
  service_standin service;  // under mutex
};

// One instance.
class service_server {
 public:
  // `site` outlives the server.
  service_server(fiber_runtime& runtime, const socket_address& address, service_site& shared);

  // When the process of the instance dies and comes back.
  void close() { server_.close(); }
  void open() { server_.open(); }

  [[nodiscard]] std::uint16_t port() const noexcept { return server_.port(); }

 private:
  void handle(const http_request& request, response_writer& writer);
  void call(const http_request& request, response_writer& writer);

  service_site& shared_;
  restartable_server server_;  // last: its handlers use the other
};

}  // namespace arbutus::standin
