// An HTTP/1.1 server: one fiber per connection, distributed over the workers of a runtime.
//
// Callers are not trusted: every size and every wait has a limit, and a request with ambiguous
// framing gets an error response, after which its connection is closed.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "connection/buffer_account.h"
#include "connection/fiber_runtime.h"
#include "connection/http_message.h"

namespace arbutus {

class http_exchange;

// Writes the response to one request: with send(), or with start(), write()... and finish(). All of
// them suspend the fiber while the caller reads slowly. They return false once the caller cannot be
// reached or has not read within the write timeout; nothing more can be sent then.
class response_writer {
 public:
  explicit response_writer(http_exchange& exchange) : exchange_(exchange) {}

  bool send(int status, const http_headers& headers, std::string_view body);

  bool start(int status, const http_headers& headers);
  bool write(std::string_view chunk);
  bool finish();

  // Whether a status was already sent, so that it can no longer be chosen.
  [[nodiscard]] bool started() const;

  // Whether the caller has closed its end. Checks the socket without suspending. A caller that
  // closes only its sending side counts as disconnected, but can still be written to.
  [[nodiscard]] bool caller_disconnected();

  // Calls `callback` as soon as the caller closes its end, even while this fiber waits for
  // something else. `callback` runs on this worker between fibers and must not suspend; it is meant
  // to cancel upstream calls. It is removed when the request handler returns, or earlier by passing
  // an empty function.
  void on_caller_disconnect(std::function<void()> callback);

 private:
  http_exchange& exchange_;
};

struct http_server_limits {
  std::size_t max_header_bytes{32UL * 1024};
  std::size_t max_body_bytes{8UL * 1024 * 1024};
  std::size_t max_connections{4096};
  duration read_timeout{15s};        // from the first byte of a request to its last
  duration idle_timeout{60s};        // between requests
  duration write_timeout{20s};       // for one write to complete
  buffer_account* buffers{nullptr};  // counts the bodies of requests; outlives the server
  // Whether a request gets a 503 before its body is read while the account is full.
  bool refuses_when_full{false};
};

using http_handler = std::function<void(const http_request&, response_writer&)>;
// Builds the JSON body of an error response that the server sends on its own.
using http_error_body = std::function<std::string(int status, std::string_view reason)>;

[[nodiscard]] std::string default_error_body(int status, std::string_view reason);

// Told of each exception that a handler has thrown; the caller gets a 500 or a truncated stream.
using http_failure_listener =
    std::function<void(const http_request& request, std::string_view what)>;

// Writes a line to the standard error stream.
void print_handler_failure(const http_request& request, std::string_view what);

class http_server {
 public:
  // Starts listening immediately; port 0 selects any free port. Throws boost::system::system_error
  // if it cannot listen on the address. The runtime outlives the server.
  http_server(fiber_runtime& runtime, const socket_address& address,
              const http_server_limits& limits, http_handler handler,
              http_error_body error_body = default_error_body,
              http_failure_listener on_failure = print_handler_failure);
  // Closes every connection and waits for its handler to return. Handlers that wait for upstream
  // calls are notified through on_caller_disconnect().
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  http_server(http_server&&) = delete;
  http_server& operator=(http_server&&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept;

  // From now on, each response announces `Connection: close` and its connection is closed. New
  // connections and requests are still served, because the load balancer still sends some.
  void close_after_answers();

  // Closes the listening socket; open connections continue.
  void stop_accepting();

  // Stops accepting, closes idle connections, lets requests in flight finish and closes each
  // connection after its response. Waits until none is left or `deadline` has passed; true if none
  // is left.
  bool drain(time_point deadline);

  // Number of open connections, including idle ones.
  [[nodiscard]] std::size_t connections() const noexcept;
  // Number of requests in progress.
  [[nodiscard]] std::size_t active() const noexcept;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace arbutus
