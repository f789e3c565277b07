// HTTP server of a stand-in engine, one port for each VM.
//
//   GET  /report                  encode(engine_report)
//   POST /order                   encode(order); 200 or 409, with the report after the order
//   POST /v1/completions, /v1/chat/completions
//   POST /cancel/REQUEST_ID
//   GET  /cache-events?since=N    {"events":[{"seq":1,"kind":"stored","block":"hex"}]}
//   GET  /kv/BLOCK, PUT /kv/BLOCK
//   POST /faults, GET /counters   answered also while the engine is paused or unresponsive
// An error body with type "not_run" proves that the request did not run.
#pragma once

#include <mutex>
#include <string>

#include "connection/http_server.h"
#include "standin/completion_wire.h"
#include "standin/engine_standin.h"
#include "standin/restartable_server.h"

namespace arbutus::standin {

class engine_server {
 public:
  // `mutex` guards the engine and its fabric. All arguments passed by reference outlive the server.
  engine_server(fiber_runtime& runtime, const socket_address& address, std::mutex& mutex,
                engine_standin& engine);

  // Closes or reopens the port, as when the engine's process dies or restarts.
  void close() { server_.close(); }
  void open() { server_.open(); }

  [[nodiscard]] std::uint16_t port() const noexcept { return server_.port(); }

 private:
  void handle(const http_request& request, response_writer& writer);
  bool handle_control_request(const http_request& request, response_writer& writer);
  void report(response_writer& writer);
  void handle_order(const http_request& request, time_point received_at, response_writer& writer);
  void complete(completion_kind kind, const http_request& request, response_writer& writer);
  [[nodiscard]] bool says_leaving();
  void answer(const completion_call& call, batch_handle handle, response_writer& writer);
  void cancel(const std::string& id, response_writer& writer);
  void cache_events(const std::string& since, response_writer& writer);
  void kv(const http_request& request, const std::string& block, response_writer& writer);

  // Waits while the engine is paused or unresponsive. False if the caller disconnected meanwhile.
  bool wait_until_responsive(response_writer& writer);
  bool wait_while_paused(response_writer& writer);
  void send(response_writer& writer, int status, const http_headers& headers,
            std::string_view body);
  void send_not_run(response_writer& writer, const not_run& refusal,
                    const http_headers& more_headers = {});

  std::mutex& mutex_;
  engine_standin& engine_;     // guarded by mutex_
  restartable_server server_;  // last member, since its handlers use the other members
};

}  // namespace arbutus::standin
