// One connection of the HTTP server: reads requests, rejects malformed ones, writes responses and
// detects that the caller has closed its end.
#include "connection/http_exchange.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <exception>

namespace arbutus {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using request_parser = http::request_parser<http::string_body>;

// How long a caller whose connection is being closed may go on sending before it is reset.
constexpr duration linger_timeout = 1s;

// Bytes read at a time behind a request whose response is not complete.
constexpr std::size_t max_input_read = 4096;
constexpr std::string_view buffers_full_reason = "the limit of this node's buffers is reached";

// Connections over the limit that still get a 503 response; any further ones are closed without
// one.
constexpr std::size_t max_rejected_connections = 256;

struct refusal {
  int status{};  // zero: the caller has disconnected, so no response is sent
  std::string_view reason;
};

refusal refusal_for(const error_code& error) {
  if (error == asio::error::timed_out) {
    return {408, "the request did not arrive in time"};
  }
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    return {431, "the request header is too large"};
  }
  if (error == http::error::body_limit) {
    return {413, "the request body is too large"};
  }
  if (error == http::error::partial_message) {
    return {400, "the request ended too early"};
  }
  const bool is_http_error =
      error.category() == http::make_error_code(http::error::bad_value).category();
  if (error == http::error::end_of_stream || !is_http_error) {
    return {};
  }
  return {400, "the request is malformed"};
}

// Rejects requests that Beast accepts but that two parsers could frame differently. One of them
// would then take a part of the body for the next request and respond to a request that nobody sent
// (request smuggling).
bool has_unambiguous_framing(const http::request<http::string_body>& fields, bool chunked) {
  const auto lengths = fields.count(http::field::content_length);
  const auto encodings = fields.count(http::field::transfer_encoding);
  if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0)) {
    return false;
  }
  if (encodings == 1 && (!chunked || fields.version() < 11)) {
    return false;
  }
  return fields[http::field::content_length].find(',') == boost::beast::string_view::npos;
}

bool may_have_body(int status) {
  return status / 100 != 1 && status != 204 && status != 304;
}

std::string remote_of(const tcp::socket& socket) {
  error_code error;
  const auto peer = socket.remote_endpoint(error);
  return error ? std::string{} : to_string(socket_address{peer.address().to_string(), peer.port()});
}

}  // namespace

void serve_connection(server_core& core, tcp::socket socket) {
  {
    http_exchange exchange(core, std::move(socket));
    core.registry().register_connection(exchange);
    if (core.closing()) {
      exchange.close_now();
    } else if (core.connections() > core.limits().max_connections) {
      exchange.reject_over_limit();
    } else {
      exchange.serve();
    }
    core.registry().unregister_connection(exchange);
  }
  core.closed();
}

http_exchange::http_exchange(server_core& core, tcp::socket socket)
    : core_(core),
      stream_(std::move(socket)),
      held_(core.limits().buffers),
      remote_(remote_of(stream_.socket())) {
  // Beast limits the headers and the body, but not a chunk's extensions or the trailers, which it
  // buffers until their end.
  input_.max_size(core.limits().max_header_bytes + max_input_read);
}

void http_exchange::serve() {
  do {
    http_request request;
    if (!await_request() || !read_request(request)) {
      break;
    }
    handle(request);
  } while (keep_alive_);
  close();
}

void http_exchange::reject_over_limit() {
  if (core_.connections() > core_.limits().max_connections + max_rejected_connections) {
    return;
  }
  refuse(503, "too many connections");
  close();
}

void http_exchange::close() {
  const bool is_cut = phase_ == phase::streaming || phase_ == phase::failed;
  if (is_cut && http_version_ < 11) {
    // To such a caller an orderly close is the end of a complete response.
    stream_.close_with_reset();
    return;
  }
  if (stream_.aborted()) {
    return;
  }
  if (discard_input_on_close_ || has_input()) {
    stream_.close_gracefully(monotonic_now() + linger_timeout);
  }
}

bool http_exchange::has_input() {
  return input_.size() > 0 || stream_.peek() == peek_state::readable;
}

// Whether the connection stays open after the current response. While the server closes its
// connections, it does so behind the last request that has arrived: a caller that has sent several
// gets all their responses.
bool http_exchange::keeps_alive() {
  return keep_alive_ && (!core_.close_after_answers() || has_input());
}

// Waits for the first byte of the next request. A draining server accepts only a request that has
// already arrived: if it closed the connection, the caller would not know whether the request ran.
bool http_exchange::await_request() {
  if (input_.size() > 0) {
    return true;
  }
  error_code error;
  if (!core_.draining()) {
    idle_ = true;
    stream_.set_deadline(monotonic_now() + core_.limits().idle_timeout);
    stream_.wait_readable(error);
    idle_ = false;
  }
  if (core_.draining() && !stream_.aborted()) {
    return stream_.peek() == peek_state::readable;
  }
  return !error;
}

bool http_exchange::read_request(http_request& request) {
  phase_ = phase::waiting;
  keep_alive_ = false;
  stream_.set_deadline(monotonic_now() + core_.limits().read_timeout);
  request_parser parser;
  parser.header_limit(static_cast<std::uint32_t>(core_.limits().max_header_bytes));
  parser.body_limit(core_.limits().max_body_bytes);
  error_code error;
  http::read_header(stream_, input_, parser, error);
  if (error) {
    refuse(error);
    return false;
  }
  if (!has_unambiguous_framing(parser.get(), parser.chunked())) {
    refuse(400, "the length of the request body is ambiguous");
    return false;
  }
  if (!takes_body_of(parser.content_length().value_or(0))) {
    refuse(503, buffers_full_reason);
    return false;
  }
  const bool expects_continue =
      equal_ignoring_case(parser.get()[http::field::expect], "100-continue");
  if (expects_continue && !parser.is_done() && input_.size() == 0) {
    constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::write(stream_, asio::buffer(continue_response), error);
  }
  parser.eager(true);
  while (!error && !parser.is_done()) {
    http::read_some(stream_, input_, parser, error);
    held_.set(parser.get().body().size());
    // A body in chunks has no length that could be checked before.
    if (parser.chunked() && !takes_body_of(0)) {
      refuse(503, buffers_full_reason);
      return false;
    }
  }
  if (error) {
    refuse(error);
    return false;
  }
  auto& message = parser.get();
  http_version_ = message.version();
  keep_alive_ = message.keep_alive();
  caller_asked_to_close_ = !keep_alive_;
  is_head_request_ = message.method() == http::verb::head;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.body = std::move(message.body());
  request.remote = remote_;
  for (const auto& field : message) {
    request.headers.add(std::string(field.name_string()), std::string(field.value()));
  }
  return true;
}

bool http_exchange::takes_body_of(std::uint64_t length) {
  buffer_account* buffers = core_.limits().buffers;
  if (buffers == nullptr || !core_.limits().refuses_when_full || !buffers->is_full(length)) {
    return true;
  }
  buffers->count_refusal();
  return false;
}

void http_exchange::refuse(const error_code& error) {
  const refusal answer = refusal_for(error);
  if (answer.status != 0) {
    refuse(answer.status, answer.reason);
  }
}

void http_exchange::refuse(int status, std::string_view reason) {
  keep_alive_ = false;
  discard_input_on_close_ = true;
  send(status, {{"Content-Type", "application/json"}}, core_.error_body()(status, reason));
}

void http_exchange::handle(const http_request& request) {
  core_.request_started();
  caller_disconnected_ = false;
  response_writer writer(*this);
  try {
    core_.handler()(request, writer);
  } catch (const std::exception& failure) {
    // The request ends: below, the caller gets a 500 or, if the response has begun, a stream that
    // is visibly truncated.
    core_.on_failure()(request, failure.what());
  }
  stop_watching();
  if (phase_ == phase::waiting) {
    send(500, {{"Content-Type", "application/json"}},
         core_.error_body()(500, "the request was not answered"));
  }
  // An unfinished stream must not look complete: the connection is closed without the last chunk,
  // which the caller detects. A pipelined request is not run for a caller that has left.
  keep_alive_ = keep_alive_ && phase_ == phase::complete && !caller_disconnected_;
  held_.set(0);
  // The caller may have sent another request before it reads that the connection closes. The reset
  // that an unexpected request causes would destroy the rest of the response.
  discard_input_on_close_ = !keep_alive_ && !caller_asked_to_close_;
  core_.request_finished();
}

template <class Message>
void http_exchange::put_head(Message& message, int status, const http_headers& headers) const {
  message.version(http_version_);
  message.result(static_cast<unsigned>(status));
  for (const auto& [name, value] : headers) {
    if (is_safe_field(name, value) && !is_framing_field(name)) {
      message.insert(name, value);
    }
  }
  message.keep_alive(keep_alive_);
}

template <class Write>
bool http_exchange::put(phase after, Write&& write) {
  if (caller_disconnected_ && stream_.aborted()) {
    phase_ = phase::failed;
  }
  if (phase_ == phase::failed) {
    return false;
  }
  stream_.set_deadline(monotonic_now() + core_.limits().write_timeout);
  error_code error;
  std::forward<Write>(write)(error);
  phase_ = error ? phase::failed : after;
  return !error;
}

bool http_exchange::send(int status, const http_headers& headers, std::string_view body) {
  if (phase_ != phase::waiting) {
    return false;
  }
  keep_alive_ = keeps_alive();
  if (is_head_request_ || !may_have_body(status)) {
    http::response<http::empty_body> message;
    put_head(message, status, headers);
    if (may_have_body(status)) {
      message.content_length(body.size());
    }
    return put(phase::complete, [&](error_code& error) { http::write(stream_, message, error); });
  }
  http::response<http::span_body<const char>> message;
  put_head(message, status, headers);
  message.body() = {body.data(), body.size()};
  message.prepare_payload();
  return put(phase::complete, [&](error_code& error) { http::write(stream_, message, error); });
}

bool http_exchange::start(int status, const http_headers& headers) {
  if (phase_ != phase::waiting) {
    return false;
  }
  // HTTP/1.0 has no chunks: closing the connection ends the response.
  keep_alive_ = keeps_alive() && http_version_ >= 11;
  http::response<http::empty_body> message;
  put_head(message, status, headers);
  message.chunked(http_version_ >= 11);
  http::response_serializer<http::empty_body> serializer(message);
  return put(phase::streaming,
             [&](error_code& error) { http::write_header(stream_, serializer, error); });
}

bool http_exchange::write(std::string_view chunk) {
  if (phase_ != phase::streaming) {
    return false;
  }
  // In the chunked encoding an empty chunk marks the end of a response, so none is written before
  // that.
  if (chunk.empty() || is_head_request_) {
    return true;
  }
  const asio::const_buffer bytes(chunk.data(), chunk.size());
  return put(phase::streaming, [&](error_code& error) {
    if (http_version_ >= 11) {
      asio::write(stream_, http::make_chunk(bytes), error);
    } else {
      asio::write(stream_, bytes, error);
    }
  });
}

bool http_exchange::finish() {
  if (phase_ != phase::streaming) {
    return false;
  }
  return put(phase::complete, [&](error_code& error) {
    if (http_version_ >= 11 && !is_head_request_) {
      asio::write(stream_, http::make_chunk_last(), error);
    }
  });
}

bool http_exchange::caller_disconnected() {
  if (!caller_disconnected_) {
    caller_disconnected_ = stream_.aborted() || stream_.peek() == peek_state::closed;
  }
  return caller_disconnected_;
}

void http_exchange::on_caller_disconnect(std::function<void()> callback) {
  disconnect_handler_ = std::move(callback);
  if (!disconnect_handler_) {
    return;
  }
  if (caller_disconnected()) {
    std::exchange(disconnect_handler_, nullptr)();
    return;
  }
  watch_for_disconnect();
}

void http_exchange::watch_for_disconnect() {
  if (watching_for_disconnect_) {
    return;
  }
  watching_for_disconnect_ = true;
  stream_.socket().async_wait(tcp::socket::wait_read, [this](const error_code& error) {
    watching_for_disconnect_ = false;
    if (!error) {
      check_for_end();
    }
    disconnect_watch_ended_.notify_all();
  });
}

// A caller may send its next request before the response to the current one, and then close its
// end. The close can only be detected after those bytes, so they are read, up to the size limit for
// a header.
void http_exchange::check_for_end() {
  if (!disconnect_handler_) {
    return;
  }
  error_code error;
  const std::size_t room = std::min(max_input_read, input_.max_size() - input_.size());
  if (room == 0) {
    return;
  }
  const auto count = stream_.socket().read_some(input_.prepare(room), error);
  input_.commit(count);
  if (error && error != asio::error::would_block) {
    caller_disconnected_ = true;
    std::exchange(disconnect_handler_, nullptr)();
  } else if (input_.size() < core_.limits().max_header_bytes) {
    watch_for_disconnect();
  }
}

void http_exchange::stop_watching() {
  disconnect_handler_ = nullptr;
  if (watching_for_disconnect_) {
    stream_.interrupt();
  }
  no_lock lock;
  disconnect_watch_ended_.wait(lock, [this] { return !watching_for_disconnect_; });
}

void http_exchange::close_if_idle() {
  if (idle_) {
    stream_.interrupt();
  }
}

void http_exchange::close_now() {
  stream_.abort();
  caller_disconnected_ = true;
  if (disconnect_handler_) {
    std::exchange(disconnect_handler_, nullptr)();
  }
}

}  // namespace arbutus
