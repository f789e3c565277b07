// Blocking sockets for tests that send or expect byte sequences that a correct peer would not.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace arbutus::testing_support {

// Receive timeout in seconds: a test whose peer sends nothing fails after it instead of hanging.
constexpr int raw_timeout_seconds = 10;

class raw_connection {
 public:
  explicit raw_connection(int socket) : socket_(socket) {
    const timeval limit{raw_timeout_seconds, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  }
  raw_connection(raw_connection&& other) noexcept : socket_(std::exchange(other.socket_, -1)) {}
  raw_connection& operator=(raw_connection&&) = delete;
  raw_connection(const raw_connection&) = delete;
  raw_connection& operator=(const raw_connection&) = delete;
  ~raw_connection() { close(); }

  static raw_connection to(std::uint16_t port, int receive_buffer = 0) {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    if (receive_buffer > 0) {
      ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): required by the system call
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    if (::connect(socket, generic, sizeof address) != 0) {
      ::close(socket);
      return raw_connection(-1);
    }
    return raw_connection(socket);
  }

  [[nodiscard]] bool connected() const { return socket_ >= 0; }

  // False if the connection has ended.
  bool send(std::string_view bytes) const {
    while (!bytes.empty()) {
      const auto count = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
  }

  void close_send_side() const { ::shutdown(socket_, SHUT_WR); }

  void close() {
    if (socket_ >= 0) {
      ::close(std::exchange(socket_, -1));
    }
  }

  // Closes the connection with a TCP reset instead of an orderly close.
  void reset() {
    const linger reset_on_close{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    close();
  }

  // Reads bytes up to and including `mark`, or up to the end of the connection if that comes first.
  std::string read_until(std::string_view mark) {
    std::string seen;
    while (!seen.ends_with(mark)) {
      char byte = 0;
      if (::recv(socket_, &byte, 1, 0) != 1) {
        break;
      }
      seen.push_back(byte);
    }
    return seen;
  }

  // Reads so many bytes, or up to the end of the connection; returns how many there were.
  std::size_t read_bytes(std::size_t wanted) {
    std::size_t seen = 0;
    char buffer[64UL * 1024];
    while (seen < wanted) {
      const auto count = ::recv(socket_, buffer, std::min(sizeof buffer, wanted - seen), 0);
      if (count <= 0) {
        break;
      }
      seen += static_cast<std::size_t>(count);
    }
    return seen;
  }

  // Reads until the peer closes or resets the connection, or nothing arrives within the timeout.
  std::string read_all() {
    std::string seen;
    char buffer[4096];
    for (;;) {
      const auto count = ::recv(socket_, buffer, sizeof buffer, 0);
      if (count <= 0) {
        ended_ = count == 0;
        timed_out_ = count < 0 && errno == EAGAIN;
        reset_ = count < 0 && errno == ECONNRESET;
        return seen;
      }
      seen.append(buffer, static_cast<std::size_t>(count));
    }
  }

  // How the last read_all() ended: by an orderly close or a reset of the peer, or by the timeout.
  [[nodiscard]] bool ended() const { return ended_; }
  [[nodiscard]] bool was_reset() const { return reset_; }
  [[nodiscard]] bool timed_out() const { return timed_out_; }

 private:
  int socket_;
  bool ended_{false};
  bool reset_{false};
  bool timed_out_{false};
};

class raw_listener {
 public:
  raw_listener() : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): required by the system call
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    const bool listening = ::bind(socket_, generic, size) == 0 && ::listen(socket_, 64) == 0;
    if (!listening) {
      close();
      return;
    }
    ::getsockname(socket_, generic, &size);
    port_ = ntohs(address.sin_port);
    const timeval limit{raw_timeout_seconds, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  }
  raw_listener(const raw_listener&) = delete;
  raw_listener& operator=(const raw_listener&) = delete;
  raw_listener(raw_listener&&) = delete;
  raw_listener& operator=(raw_listener&&) = delete;
  ~raw_listener() { close(); }

  [[nodiscard]] std::uint16_t port() const { return port_; }
  [[nodiscard]] raw_connection accept() const {
    return raw_connection(::accept(socket_, nullptr, nullptr));
  }

  // Whether a connection is waiting to be accepted right now.
  [[nodiscard]] bool has_pending_connection() const {
    pollfd listening{socket_, POLLIN, 0};
    return ::poll(&listening, 1, 0) == 1;
  }

  void close() {
    if (socket_ >= 0) {
      ::close(std::exchange(socket_, -1));
    }
  }

 private:
  int socket_;
  std::uint16_t port_{};
};

}  // namespace arbutus::testing_support
