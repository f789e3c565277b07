// An HTTP/1.1 server: one fiber for each connection, spread over the workers of a runtime.
//
// The caller of this server is not trusted: every size and every wait has a limit, and a message
// that cannot be framed beyond doubt is answered with an error and its connection closed.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "connection/fiber_runtime.h"
#include "connection/http_message.h"

namespace arbutus {

class http_exchange;

// How one request is answered: with send(), or with start(), write()... and finish(). All of them
// suspend the fiber while the caller reads slowly, and return false once the caller cannot be
// reached or has not read within the write timeout; nothing more can be sent then.
class response_writer {
 public:
  explicit response_writer(http_exchange& exchange) : exchange_(exchange) {}

  bool send(int status, const http_headers& headers, std::string_view body);

  bool start(int status, const http_headers& headers);
  bool write(std::string_view chunk);
  bool finish();

  // Whether a status was already sent, so that no other can be.
  [[nodiscard]] bool started() const;

  // Whether the caller closed its end. Looks at the socket; does not suspend. A caller that closes
  // only its sending side counts as gone, but is still written to.
  [[nodiscard]] bool caller_gone();

  // Calls `notice` as soon as the caller closes its end, also while this fiber waits for something
  // else. It runs on this worker between fibers and must not suspend: it cancels what is upstream.
  // It is dropped when the handler returns; an empty function drops it earlier.
  void on_gone(std::function<void()> notice);

 private:
  http_exchange& exchange_;
};

struct http_server_limits {
  std::size_t header_bytes{32UL * 1024};
  std::size_t body_bytes{8UL * 1024 * 1024};
  std::size_t connections{4096};
  duration read_timeout{15s};   // from the first byte of a request to its last
  duration idle_timeout{60s};   // without any byte between requests
  duration write_timeout{20s};  // for one write to be taken by the caller's side
};

using http_handler = std::function<void(const http_request&, response_writer&)>;
// The JSON body of an answer that the server gives by itself.
using http_error_body = std::function<std::string(int status, std::string_view reason)>;

[[nodiscard]] std::string default_error_body(int status, std::string_view reason);

class http_server {
 public:
  // Listens at once; port 0 takes any free one. Throws boost::system::system_error when the address
  // cannot be listened on. The runtime outlives the server.
  http_server(fiber_runtime& runtime, const socket_address& address,
              const http_server_limits& limits, http_handler handler,
              http_error_body error_body = default_error_body);
  // Closes every connection and waits for its handler to return. A handler that waits upstream is
  // told by on_gone().
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  http_server(http_server&&) = delete;
  http_server& operator=(http_server&&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept;

  // From now on each answer says that its connection closes, and closes it. New connections and
  // requests are served as before: the balancer still sends some.
  void close_after_answers();

  // Closes the listening socket; connections go on.
  void stop_accepting();

  // Stops accepting, closes idle connections, lets requests in flight finish and closes each
  // connection after its answer. Waits until none is left or `deadline` has come; true if none is.
  bool drain(time_point deadline);

  // Connections that are open, idle ones included.
  [[nodiscard]] std::size_t connections() const noexcept;
  // Requests that were begun and are not yet answered.
  [[nodiscard]] std::size_t active() const noexcept;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace arbutus
