// Listening, spreading connections over the workers, and ending them in an orderly way.
#include "connection/http_server.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/system_error.hpp>

#include "connection/http_exchange.h"

namespace arbutus {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Out of file descriptors or memory, accept() fails at once and again: without a pause it would
// take the whole worker until others have closed something.
constexpr duration pause_after_failed_accept = 50ms;

tcp::endpoint endpoint_of(const socket_address& address) {
  return {asio::ip::make_address(address.ip), address.port};
}

}  // namespace

struct http_server::state {
  state(fiber_runtime& r, const http_server_limits& l, http_handler h, http_error_body e)
      : runtime(r), core(r.workers(), l, std::move(h), std::move(e)), acceptor(r.worker(0).io) {}

  void accept_all() {
    for (;;) {
      fiber_worker& target = runtime.worker(core.least_loaded());
      tcp::socket socket(target.io);
      auto [error] = await_result<error_code>(
          [&](auto handler) { acceptor.async_accept(socket, std::move(handler)); });
      if (!acceptor.is_open()) {
        return;
      }
      if (error) {
        sleep_until(monotonic_now() + pause_after_failed_accept);
        continue;
      }
      core.opened(target.index);
      spawn_on(target, [this, socket = std::move(socket)]() mutable {
        serve_connection(core, std::move(socket));
      });
    }
  }

  void close_acceptor() {
    error_code ignored;
    acceptor.close(ignored);
    no_lock lock;
    accept_ended.wait(lock, [this] { return !accepting; });
  }

  fiber_runtime& runtime;
  server_core core;
  tcp::acceptor acceptor;  // used on worker 0
  bool accepting{false};   // whether accept_all() runs; touched on worker 0
  boost::fibers::condition_variable_any accept_ended;
  std::uint16_t port{};
};

http_server::http_server(fiber_runtime& runtime, const socket_address& address,
                         const http_server_limits& limits, http_handler handler,
                         http_error_body error_body)
    : state_(std::make_unique<state>(runtime, limits, std::move(handler), std::move(error_body))) {
  const tcp::endpoint local = endpoint_of(address);
  tcp::acceptor& acceptor = state_->acceptor;
  acceptor.open(local.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(local);
  acceptor.listen();
  state_->port = acceptor.local_endpoint().port();
  runtime.post(0, [s = state_.get()] {
    s->accepting = true;
    s->accept_all();
    s->accepting = false;
    s->accept_ended.notify_all();
  });
}

http_server::~http_server() {
  stop_accepting();
  for (std::size_t i = 0; i < state_->runtime.workers(); ++i) {
    state_->runtime.run_on(i, [this, i] { state_->core.close_all(i); });
  }
}

std::uint16_t http_server::port() const noexcept {
  return state_->port;
}

void http_server::stop_accepting() {
  state_->runtime.run_on(0, [this] { state_->close_acceptor(); });
}

bool http_server::drain(time_point deadline) {
  state_->core.begin_drain();
  stop_accepting();
  for (std::size_t i = 0; i < state_->runtime.workers(); ++i) {
    state_->runtime.run_on(i, [this, i] { state_->core.close_idle(i); });
  }
  return state_->core.wait_until_empty(deadline);
}

std::size_t http_server::connections() const noexcept {
  return state_->core.connections();
}

std::size_t http_server::active() const noexcept {
  return state_->core.active();
}

std::string default_error_body(int status, std::string_view reason) {
  return "{\"error\":{\"code\":" + std::to_string(status) + ",\"message\":\"" +
         std::string(reason) + "\"}}\n";
}

}  // namespace arbutus
