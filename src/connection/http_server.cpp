// Listens, distributes connections over the workers, and closes them in an orderly way.
#include "connection/http_server.h"

#include <iostream>

#include "connection/http_exchange.h"
#include "connection/listener.h"

namespace arbutus {

using boost::asio::ip::tcp;

struct http_server::state {
  state(fiber_runtime& r, const socket_address& address, const http_server_limits& limits,
        http_handler handler, http_error_body error_body, http_failure_listener on_failure)
      : runtime(r),
        core(r.workers(), limits, std::move(handler), std::move(error_body), std::move(on_failure)),
        acceptor(
            r, address, 0, [this] { return core.registry().least_loaded(); },
            [this](fiber_worker& worker, tcp::socket socket) {
              accept_connection(worker, std::move(socket));
            }) {}

  void accept_connection(fiber_worker& worker, tcp::socket socket) {
    core.registry().count_opened(worker.index);
    spawn_on(worker, [this, socket = std::move(socket)]() mutable {
      serve_connection(core, std::move(socket));
    });
  }

  fiber_runtime& runtime;
  server_core core;
  listener acceptor;
};

http_server::http_server(fiber_runtime& runtime, const socket_address& address,
                         const http_server_limits& limits, http_handler handler,
                         http_error_body error_body, http_failure_listener on_failure)
    : state_(std::make_unique<state>(runtime, address, limits, std::move(handler),
                                     std::move(error_body), std::move(on_failure))) {}

http_server::~http_server() {
  stop_accepting();
  for (std::size_t i = 0; i < state_->runtime.workers(); ++i) {
    state_->runtime.run_on(i, [this] { state_->core.close_all(); });
  }
}

std::uint16_t http_server::port() const noexcept {
  return state_->acceptor.port();
}

void http_server::close_after_answers() {
  state_->core.begin_closing_after_answers();
}

void http_server::stop_accepting() {
  state_->acceptor.close();
}

bool http_server::drain(time_point deadline) {
  state_->core.begin_drain();
  stop_accepting();
  for (std::size_t i = 0; i < state_->runtime.workers(); ++i) {
    state_->runtime.run_on(i, [this] { state_->core.close_idle(); });
  }
  return state_->core.wait_until_empty(deadline);
}

std::size_t http_server::connections() const noexcept {
  return state_->core.connections();
}

std::size_t http_server::active() const noexcept {
  return state_->core.active();
}

void server_core::closed() {
  const std::lock_guard lock(empty_mutex_);
  registry_.count_closed();
  registry_empty_.notify_all();
}

bool server_core::wait_until_empty(time_point deadline) {
  std::unique_lock lock(empty_mutex_);
  return registry_empty_.wait_until(lock, to_steady(deadline),
                                    [this] { return registry_.size() == 0; });
}

void server_core::close_idle() {
  registry_.for_each([](http_exchange& exchange) { exchange.close_if_idle(); });
}

void server_core::close_all() {
  draining_ = true;
  closing_ = true;
  registry_.for_each([](http_exchange& exchange) { exchange.close_now(); });
  registry_.wait_until_empty();
  // Waits until the fiber of the last connection has left closed().
  const std::lock_guard lock(empty_mutex_);
}

bool response_writer::send(int status, const http_headers& headers, std::string_view body) {
  return exchange_.send(status, headers, body);
}

bool response_writer::start(int status, const http_headers& headers) {
  return exchange_.start(status, headers);
}

bool response_writer::write(std::string_view chunk) {
  return exchange_.write(chunk);
}

bool response_writer::finish() {
  return exchange_.finish();
}

bool response_writer::started() const {
  return exchange_.started();
}

bool response_writer::caller_disconnected() {
  return exchange_.caller_disconnected();
}

void response_writer::on_caller_disconnect(std::function<void()> callback) {
  exchange_.on_caller_disconnect(std::move(callback));
}

void print_handler_failure(const http_request& request, std::string_view what) {
  std::cerr << "the handler of " + request.method + ' ' + request.target +
                   " failed: " + std::string(what) + '\n';
}

std::string default_error_body(int status, std::string_view reason) {
  return "{\"error\":{\"code\":" + std::to_string(status) + ",\"message\":\"" +
         std::string(reason) + "\"}}\n";
}

}  // namespace arbutus
