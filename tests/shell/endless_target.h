// A faulty target: sends the beginning of an answer to each request, and then bytes without end.
#pragma once

#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "shell/raw_peer.h"

namespace arbutus::testing_support {

struct endless_answer {
  std::string name;
  std::string beginning;
  std::string repeated;
};

inline std::vector<endless_answer> endless_answers() {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string bytes(1000, 'x');
  return {
      {"status line", "HTTP/1.1 200 ", bytes},
      {"header", head + "X-Long: ", bytes},
      {"headers", head, "X-Field: value\r\n"},
      {"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
      {"body with length", head + "Content-Length: 1000000000\r\n\r\n", bytes},
      {"body without length", head + "Connection: close\r\n\r\n", bytes},
      {"chunks", chunked, "3e8\r\n" + bytes + "\r\n"},
      {"chunk extensions", chunked + "5;a=", bytes},
      {"trailers", chunked + "0\r\n", "X-Field: value\r\n"},
  };
}

class endless_target {
 public:
  // `threads`: number of connections that are answered at a time.
  explicit endless_target(endless_answer answer, std::size_t threads = 1)
      : answer_(std::move(answer)) {
    for (std::size_t i = 0; i < threads; ++i) {
      threads_.emplace_back([this] { accept_all(); });
    }
  }
  ~endless_target() {
    stopping_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }
  endless_target(const endless_target&) = delete;
  endless_target& operator=(const endless_target&) = delete;
  endless_target(endless_target&&) = delete;
  endless_target& operator=(endless_target&&) = delete;

  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  // Number of connections on which the answer was sent until the peer closed it.
  [[nodiscard]] int refused_answers() const { return refused_answers_; }

 private:
  void accept_all() {
    while (!stopping_) {
      auto caller = accept_pending();
      if (!caller) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      } else if (!caller->read_until("\r\n\r\n").empty()) {
        answer(*caller);
      }
    }
  }

  std::optional<raw_connection> accept_pending() {
    const std::lock_guard guard(accept_lock_);
    return listener_.has_pending_connection() ? std::optional(listener_.accept()) : std::nullopt;
  }

  void answer(const raw_connection& caller) {
    std::string piece;
    while (piece.size() < piece_bytes) {
      piece += answer_.repeated;
    }
    bool open = caller.send(answer_.beginning);
    while (open && !stopping_) {
      open = caller.send(piece);
    }
    refused_answers_ += open ? 0 : 1;
  }

  static constexpr std::size_t piece_bytes = 16UL * 1024;

  const endless_answer answer_;
  raw_listener listener_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> refused_answers_{0};
  std::mutex accept_lock_;
  std::vector<std::thread> threads_;
};

}  // namespace arbutus::testing_support
