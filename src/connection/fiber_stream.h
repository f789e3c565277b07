// A TCP socket whose reads and writes suspend the fiber, with one deadline for all of them. It
// satisfies the SyncStream requirements of Asio, so that the synchronous algorithms of Beast work
// with it. Only for the .cpp files of this folder.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/system_error.hpp>
#include <cstdint>

#include "connection/await.h"
#include "connection/clock.h"

namespace arbutus {

// Result of checking a stream without waiting: nothing to read, bytes to read, or closed by the
// peer or an error.
enum class peek_state : std::uint8_t { no_data, readable, closed };

class fiber_stream {
 public:
  using executor_type = boost::asio::ip::tcp::socket::executor_type;
  using error_code = boost::system::error_code;

  explicit fiber_stream(boost::asio::ip::tcp::socket socket);

  executor_type get_executor() { return socket_.get_executor(); }
  boost::asio::ip::tcp::socket& socket() { return socket_; }

  // Applies to all operations that start from now on: they fail with `timed_out` at `deadline`.
  void set_deadline(time_point deadline) { deadline_ = deadline; }

  // Ends the running operation and all later ones with `operation_aborted`. Only on the stream's
  // worker.
  void abort();
  [[nodiscard]] bool aborted() const noexcept { return aborted_; }

  // Ends only the running operation, with `operation_aborted`. Only on the stream's worker.
  void interrupt();

  // Shuts down the sending side, and discards what the peer still sends until it closes or
  // `deadline` comes. Closing with unread bytes would reset the connection and destroy responses in
  // transit.
  void close_gracefully(time_point deadline);

  // Closes with a reset: bytes in transit are dropped.
  void close_with_reset();

  // Bytes passed to the kernel so far. Zero proves that the peer has received nothing.
  [[nodiscard]] std::uint64_t written() const noexcept { return written_; }

  void connect(const boost::asio::ip::tcp::endpoint& peer, error_code& error);

  // Checks the socket without waiting and without consuming bytes.
  [[nodiscard]] peek_state peek();

  // Waits until there is something to read or the peer has closed.
  void wait_readable(error_code& error);

  // Reports the end of the stream (`eof`) only after an orderly close by the peer, and otherwise
  // the error that ended the connection, also if an earlier operation has reported it.
  template <class Buffers>
  std::size_t read_some(const Buffers& buffers, error_code& error) {
    if (!begin_operation(error)) {
      return 0;
    }
    bool timed_out = false;
    auto [result, count] = await_result_until<error_code, std::size_t>(
        deadline_, timed_out,
        [&](auto handler) { socket_.async_read_some(buffers, std::move(handler)); },
        [this] { interrupt(); });
    error = finish_operation(check_end(result), timed_out);
    return count;
  }

  template <class Buffers>
  std::size_t read_some(const Buffers& buffers) {
    error_code error;
    const auto count = read_some(buffers, error);
    throw_if(error);
    return count;
  }

  // Writes as much as the kernel accepts immediately; waits only if it accepts nothing.
  template <class Buffers>
  std::size_t write_some(const Buffers& buffers, error_code& error) {
    while (begin_operation(error)) {
      const auto count = socket_.write_some(buffers, error);
      written_ += count;
      if (error != boost::asio::error::would_block) {
        note_error(error);
        return count;
      }
      wait_writable(error);
      if (error) {
        return 0;
      }
    }
    return 0;
  }

  template <class Buffers>
  std::size_t write_some(const Buffers& buffers) {
    error_code error;
    const auto count = write_some(buffers, error);
    throw_if(error);
    return count;
  }

 private:
  static void throw_if(const error_code& error);
  bool begin_operation(error_code& error);
  error_code finish_operation(error_code result, bool timed_out) const;
  void wait_for(boost::asio::ip::tcp::socket::wait_type what, error_code& error);
  void wait_writable(error_code& error);
  void note_error(const error_code& error);
  [[nodiscard]] error_code check_end(const error_code& result);

  boost::asio::ip::tcp::socket socket_;
  time_point deadline_{time_point::max()};
  std::uint64_t written_{0};
  bool aborted_{false};
  error_code connection_error_;  // the first one; once set, no end of stream is orderly
};

}  // namespace arbutus
