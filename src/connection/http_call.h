// One request and its response on one connection of the HTTP client. Only for the .cpp files of
// this folder.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>

#include "connection/fiber_stream.h"
#include "connection/http_client.h"

namespace arbutus {

using wire_request = boost::beast::http::request<boost::beast::http::span_body<const char>>;

// An open connection to a target. Between calls it holds no resources besides its socket.
struct http_connection {
  explicit http_connection(fiber_stream s) : stream(std::move(s)) {}

  fiber_stream stream;
  boost::beast::flat_buffer input;  // bytes received and not yet parsed
  time_point idle_since{};
};

// Maps the error of a stream operation to the failure that the call reports.
[[nodiscard]] call_failure failure_of(const boost::system::error_code& error);

[[nodiscard]] call_result failed_call(call_outcome outcome, call_failure failure,
                                      std::string detail);

// Fills `wire`, which refers to the body of `request`. False if the request contains text that
// would break its framing.
[[nodiscard]] bool build_request(const socket_address& target, const http_request& request,
                                 wire_request& wire);

// Receives the parts of one response.
struct answer_sink {
  const http_client::headers_handler& on_headers;
  const http_client::chunk_handler& on_chunk;
  bool limit_body;  // whether the size limit for response bodies applies
};

class http_call {
 public:
  http_call(http_connection& connection, const wire_request& request, time_point deadline)
      : connection_(connection), request_(request), deadline_(deadline) {}

  // Sends the request and receives its response. Called once per object.
  call_result run(const answer_sink& sink, const http_client_limits& limits);

  // True if any byte of the request may have been sent.
  [[nodiscard]] bool any_byte_sent() const {
    return connection_.stream.written() != written_before_;
  }

  // Whether another request may use the connection: only after a complete response that no further
  // bytes follow.
  [[nodiscard]] bool reusable() const { return reusable_; }

 private:
  using answer_parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
  using error_code = boost::system::error_code;

  bool await_early_answer(const error_code& write_error);
  static error_code check_head(const answer_parser& parser);
  std::unique_ptr<answer_parser> read_headers(const http_client_limits& limits, bool bounded_body,
                                              error_code& error);
  void read_header(answer_parser& parser, const http_client_limits& limits, error_code& error);
  bool read_body(answer_parser& parser, const answer_sink& sink, const http_client_limits& limits,
                 error_code& error);
  void extend_deadline(time_point headers_at, const http_client_limits& limits);
  call_result broken(const error_code& error);
  call_result abandoned();

  http_connection& connection_;
  const wire_request& request_;
  time_point deadline_;
  time_point read_deadline_{deadline_};  // of the response; earlier if it came early
  std::uint64_t written_before_{connection_.stream.written()};
  call_result result_;
  bool reusable_{false};
};

}  // namespace arbutus
