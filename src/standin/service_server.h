// HTTP server of a stand-in service: accepts any method and path; `GET /standin/executions` returns
// its counters, `POST /faults` sets faults.
#pragma once

#include <mutex>

#include "connection/http_server.h"
#include "standin/restartable_server.h"
#include "standin/service_standin.h"

namespace arbutus::standin {

// State shared by all instances of one service, so that a call which runs on two of them counts as
// executed twice.
struct shared_service {
  explicit shared_service(const service_id& id) : service(id) {}

  std::mutex mutex;
  service_standin service;  // guarded by mutex
};

// HTTP server of one instance of a stand-in service.
class service_server {
 public:
  // `shared` is the state of all instances of the service; it outlives the server.
  service_server(fiber_runtime& runtime, const socket_address& address, shared_service& shared);

  // Closes or reopens the port, as when the instance's process dies or restarts.
  void close() { server_.close(); }
  void open() { server_.open(); }

  [[nodiscard]] std::uint16_t port() const noexcept { return server_.port(); }

 private:
  void handle(const http_request& request, response_writer& writer);
  void call(const http_request& request, response_writer& writer);

  shared_service& shared_;
  restartable_server server_;  // last member, since its handlers use the members above
};

}  // namespace arbutus::standin
