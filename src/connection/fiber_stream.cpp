// Socket operations that suspend a fiber.
#include "connection/fiber_stream.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/error.hpp>

namespace arbutus {

namespace asio = boost::asio;
using asio::ip::tcp;

fiber_stream::fiber_stream(tcp::socket socket) : socket_(std::move(socket)) {
  error_code ignored;
  if (socket_.is_open()) {
    socket_.non_blocking(true, ignored);
    socket_.set_option(tcp::no_delay(true), ignored);
  }
}

void fiber_stream::abort() {
  aborted_ = true;
  interrupt();
}

void fiber_stream::interrupt() {
  error_code ignored;
  socket_.cancel(ignored);
}

void fiber_stream::throw_if(const error_code& error) {
  if (error) {
    throw boost::system::system_error(error);
  }
}

// A cancellation between two operations has no operation to cancel. Each operation therefore first
// checks for an abort and for the deadline. Otherwise a timed-out exchange would continue for as
// long as bytes arrive.
bool fiber_stream::begin_operation(error_code& error) {
  error = {};
  if (aborted_) {
    error = asio::error::operation_aborted;
  } else if (deadline_ != time_point::max() && monotonic_now() >= deadline_) {
    error = asio::error::timed_out;
  }
  return !error;
}

fiber_stream::error_code fiber_stream::finish_operation(error_code result, bool timed_out) const {
  if (timed_out && result == asio::error::operation_aborted && !aborted_) {
    return asio::error::timed_out;
  }
  return result;
}

// Keeps an error of the connection itself.
void fiber_stream::note_error(const error_code& error) {
  const bool is_of_connection = error && error != asio::error::would_block &&
                                error != asio::error::operation_aborted &&
                                error != asio::error::eof;
  if (is_of_connection && !connection_error_) {
    connection_error_ = error;
  }
}

// The kernel reports a reset to one operation only, be it a write. The reads that follow return the
// bytes that came before the reset and then an end of stream, as after an orderly close.
fiber_stream::error_code fiber_stream::check_end(const error_code& result) {
  if (result != asio::error::eof) {
    note_error(result);
    return result;
  }
  int pending = 0;
  socklen_t size = sizeof pending;
  ::getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &pending, &size);
  note_error({pending, boost::system::system_category()});
  return connection_error_ ? connection_error_ : result;
}

void fiber_stream::connect(const tcp::endpoint& peer, error_code& error) {
  if (!begin_operation(error)) {
    return;
  }
  socket_.open(peer.protocol(), error);
  if (error) {
    return;
  }
  bool timed_out = false;
  auto [result] = await_result_until<error_code>(
      deadline_, timed_out, [&](auto handler) { socket_.async_connect(peer, std::move(handler)); },
      [this] { interrupt(); });
  error = finish_operation(result, timed_out);
  if (error) {
    return;
  }
  socket_.non_blocking(true, error);
  socket_.set_option(tcp::no_delay(true), error);
}

peek_state fiber_stream::peek() {
  char byte = 0;
  error_code error;
  socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  if (!error) {
    return peek_state::readable;
  }
  note_error(error);
  return error == asio::error::would_block ? peek_state::no_data : peek_state::closed;
}

void fiber_stream::close_gracefully(time_point deadline) {
  constexpr std::size_t max_discarded_bytes = 1024UL * 1024;
  error_code error;
  socket_.shutdown(tcp::socket::shutdown_send, error);
  set_deadline(deadline);
  std::array<char, 4096> discarded{};
  std::size_t total = 0;
  while (!error && total < max_discarded_bytes) {
    total += read_some(asio::buffer(discarded), error);
  }
  socket_.close(error);
}

void fiber_stream::close_with_reset() {
  error_code error;
  socket_.set_option(asio::socket_base::linger(true, 0), error);
  socket_.close(error);
}

void fiber_stream::wait_readable(error_code& error) {
  wait_for(tcp::socket::wait_read, error);
}

void fiber_stream::wait_writable(error_code& error) {
  wait_for(tcp::socket::wait_write, error);
}

void fiber_stream::wait_for(tcp::socket::wait_type what, error_code& error) {
  if (!begin_operation(error)) {
    return;
  }
  bool timed_out = false;
  auto [result] = await_result_until<error_code>(
      deadline_, timed_out, [&](auto handler) { socket_.async_wait(what, std::move(handler)); },
      [this] { interrupt(); });
  note_error(result);
  error = finish_operation(result, timed_out);
}

}  // namespace arbutus
