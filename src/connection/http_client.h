// HTTP/1.1 calls to targets, with a pool of open connections per target and worker.
//
// What may be reported to a caller depends on whether any byte of the request can have reached the
// target. The outcome of each call states this conservatively: if in doubt, it is `unknown`.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "connection/buffer_account.h"
#include "connection/cancel_token.h"
#include "connection/fiber_runtime.h"
#include "connection/http_message.h"

namespace arbutus {

enum class call_outcome : std::uint8_t {
  ok,        // the complete response arrived; its status may still be an error
  not_sent,  // no byte was passed to the kernel: the target has received nothing
  unknown,   // some byte may have been sent, and no complete response arrived
};

enum class call_failure : std::uint8_t {
  none,
  connect_failed,   // refused, unreachable, or over the connect timeout
  deadline,         // the deadline passed before the response was complete
  cancelled,        // by the cancel_token
  abandoned,        // on_headers or on_chunk returned false
  connection_lost,  // the target closed or reset the connection
  malformed,        // the response is not valid HTTP, or the request cannot be written as HTTP
  too_large,        // the response exceeds a limit
  not_permitted,    // the send_permit returned false
};

// Why what a target sent is no answer.
enum class answer_fault : std::uint8_t {
  none,
  bytes,     // not HTTP
  status,    // a final answer has a status from 200 to 599
  encoding,  // a transfer encoding other than chunks
  reset,     // the connection was reset before the end of the body
};

struct call_result {
  call_outcome outcome{call_outcome::unknown};
  call_failure failure{call_failure::none};
  answer_fault fault{answer_fault::none};
  http_response response;  // for stream() without the body; filled once the headers arrived
  std::string detail;      // for logs
  bool refused = false;    // connection refused: no process listens at the address
  held_bytes held{};       // the body of the response

  [[nodiscard]] bool ok() const noexcept { return outcome == call_outcome::ok; }
  // Why the call failed, for logs.
  [[nodiscard]] std::string_view reason() const;
};

[[nodiscard]] std::string_view to_string(call_outcome outcome);
[[nodiscard]] std::string_view to_string(call_failure failure);
[[nodiscard]] std::string_view to_string(answer_fault fault);

// Called directly before the first byte is sent, when the connection is established. The conditions
// for sending may have ceased to hold while the call waited for its connection or while this
// process was paused. Must not suspend. Empty: always permitted.
using send_permit = std::function<bool()>;

// Whether a call may use a pooled connection. The target may close an idle connection just while a
// request is written to it, and the outcome is then unknown. For calls that must not be repeated, a
// new connection is worth the extra round trip; it is closed after the call.
enum class connection_use : std::uint8_t { pooled, fresh };

struct http_client_limits {
  duration connect_timeout{1s};
  // Of a response's status line and headers. It also limits a chunk's extensions and the trailers.
  std::size_t max_header_bytes{64UL * 1024};
  duration max_header_duration{2s};  // from the first byte of the headers to their last
  std::size_t max_interim_responses{8};
  std::size_t max_body_bytes{8UL * 1024 * 1024};  // for fetch(); stream() has no limit
  std::size_t max_idle_per_target{32};            // idle connections per target and worker
  duration idle_expiry{30s};  // then the connection is closed; less than the targets' idle timeout
  // For fetch(): each time bytes of the body arrive, the deadline is extended to at least this long
  // after them. 0: the deadline is not extended.
  duration body_stall_timeout{};
  duration max_body_duration{10s};  // limit for extended deadlines, counted from the headers
  // Counts the bodies that fetch() holds, and limits them together; outlives the client.
  buffer_account* buffers{nullptr};
};

class http_client {
 public:
  // Return false to abandon the rest of the response.
  using headers_handler = std::function<bool(int status, const http_headers& headers)>;
  using chunk_handler = std::function<bool(std::string_view bytes)>;

  explicit http_client(fiber_runtime& runtime, const http_client_limits& limits = {});
  // No call may be running. The runtime outlives the client.
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;
  http_client(http_client&&) = delete;
  http_client& operator=(http_client&&) = delete;

  // Must be called in a fiber of the runtime. `deadline` covers connecting, sending and the whole
  // response. The body may take longer: see body_stall_timeout.
  call_result fetch(const socket_address& target, const http_request& request, time_point deadline,
                    const cancel_token& token = {}, const send_permit& permit = {},
                    connection_use use = connection_use::pooled);

  // Passes the response to the handlers as it arrives. They run in the calling fiber and may
  // suspend it, which slows the target down by TCP flow control.
  call_result stream(const socket_address& target, const http_request& request, time_point deadline,
                     const headers_handler& on_headers, const chunk_handler& on_chunk,
                     const cancel_token& token = {}, const send_permit& permit = {},
                     connection_use use = connection_use::pooled);

  // Opens a connection to the target and closes it again. False if none can be established before
  // the deadline.
  bool can_connect(const socket_address& target, time_point deadline);

  // Closes the calling worker's idle connections to a target that was restarted. They are broken,
  // and if its machine lost power, no packet has reported that.
  void close_idle_connections(const socket_address& target);

  // Number of open idle connections of the calling worker.
  [[nodiscard]] std::size_t idle_connections() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace arbutus
