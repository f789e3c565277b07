// Internals of the HTTP server: the state that its connections share, and one connection. Only for
// the .cpp files of this folder.
#pragma once

#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <cstdint>
#include <functional>

#include "connection/connection_registry.h"
#include "connection/fiber_stream.h"
#include "connection/http_server.h"

namespace arbutus {

class server_core {
 public:
  server_core(std::size_t workers, const http_server_limits& limits, http_handler handler,
              http_error_body error_body, http_failure_listener on_failure)
      : limits_(limits),
        handler_(std::move(handler)),
        error_body_(std::move(error_body)),
        on_failure_(std::move(on_failure)),
        registry_(workers) {}

  [[nodiscard]] const http_server_limits& limits() const { return limits_; }
  [[nodiscard]] const http_handler& handler() const { return handler_; }
  [[nodiscard]] const http_error_body& error_body() const { return error_body_; }

  [[nodiscard]] const http_failure_listener& on_failure() const { return on_failure_; }

  [[nodiscard]] connection_registry<http_exchange>& registry() { return registry_; }
  [[nodiscard]] std::size_t connections() const { return registry_.size(); }
  [[nodiscard]] std::size_t active() const { return active_; }
  [[nodiscard]] bool draining() const { return draining_; }
  [[nodiscard]] bool closing() const { return closing_; }

  void request_started() { ++active_; }
  void request_finished() { --active_; }

  // Called on the worker of the connection, as the last action of its fiber.
  void closed();

  void begin_drain() { draining_ = true; }
  void begin_closing_after_answers() { close_after_answers_ = true; }
  [[nodiscard]] bool close_after_answers() const { return close_after_answers_ || draining_; }
  bool wait_until_empty(time_point deadline);

  // Close connections of the calling worker: those that wait for a request, or all.
  void close_idle();
  void close_all();

 private:
  const http_server_limits limits_;
  const http_handler handler_;
  const http_error_body error_body_;
  const http_failure_listener on_failure_;
  connection_registry<http_exchange> registry_;
  std::atomic<std::size_t> active_{0};
  std::atomic<bool> draining_{false};
  std::atomic<bool> close_after_answers_{false};
  std::atomic<bool> closing_{false};
  boost::fibers::mutex empty_mutex_;  // held while a connection is removed, so no wait misses it
  boost::fibers::condition_variable registry_empty_;
};

// One connection and its current request. Allocated on the stack of its fiber.
class http_exchange {
 public:
  http_exchange(server_core& core, boost::asio::ip::tcp::socket socket);

  // Serves requests until either side ends the connection.
  void serve();

  // Responds with 503 and closes, because the limit on connections is exceeded.
  void reject_over_limit();

  // Close this connection: if it waits for a request, or in any case. Called from another fiber of
  // its worker.
  void close_if_idle();
  void close_now();

  bool send(int status, const http_headers& headers, std::string_view body);
  bool start(int status, const http_headers& headers);
  bool write(std::string_view chunk);
  bool finish();
  [[nodiscard]] bool started() const { return phase_ != phase::waiting; }
  [[nodiscard]] bool caller_disconnected();
  void on_caller_disconnect(std::function<void()> callback);

 private:
  // State of the response to the current request.
  enum class phase : std::uint8_t { waiting, streaming, complete, failed };

  bool await_request();
  bool read_request(http_request& request);
  [[nodiscard]] bool takes_body_of(std::uint64_t length);
  void refuse(int status, std::string_view reason);
  void refuse(const boost::system::error_code& error);
  void handle(const http_request& request);
  void close();
  [[nodiscard]] bool has_input();  // bytes that are not parsed yet, also in the socket
  [[nodiscard]] bool keeps_alive();

  template <class Message>
  void put_head(Message& message, int status, const http_headers& headers) const;
  template <class Write>
  bool put(phase after, Write&& write);

  void watch_for_disconnect();
  void check_for_end();
  void stop_watching();

  server_core& core_;
  fiber_stream stream_;
  held_bytes held_;                  // the body of the current request
  std::string remote_;               // address of the caller, "ip:port"
  boost::beast::flat_buffer input_;  // bytes received and not yet parsed

  bool idle_{false};                   // waiting for the first byte of a request
  bool keep_alive_{false};             // whether the caller may send another request
  bool caller_asked_to_close_{false};  // with its last request
  bool discard_input_on_close_{
      false};                    // whether the caller may still send bytes that will not be read
  bool is_head_request_{false};  // the request has the method HEAD, so its response has no body
  unsigned http_version_{11};    // HTTP version of the request; 11 is HTTP/1.1
  phase phase_{phase::waiting};

  std::function<void()> disconnect_handler_;
  bool caller_disconnected_{false};
  bool watching_for_disconnect_{
      false};  // a wait for the caller to close is pending; its handler refers to this
  boost::fibers::condition_variable_any disconnect_watch_ended_;
};

// Main function of a connection's fiber. `socket` was counted by count_opened().
void serve_connection(server_core& core, boost::asio::ip::tcp::socket socket);

}  // namespace arbutus
