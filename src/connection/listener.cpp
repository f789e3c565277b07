// Accepts connections on worker 0.
#include "connection/listener.h"

#include <boost/asio/error.hpp>

#include "connection/await.h"
#include "connection/clock.h"

namespace arbutus {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Without file descriptors or memory, accept() fails immediately and repeatedly. Without a pause,
// the retries would occupy the worker until other code has closed descriptors.
constexpr duration pause_after_failed_accept = 50ms;

}  // namespace

listener::listener(fiber_runtime& runtime, const socket_address& address, int receive_buffer,
                   worker_selector choose_worker, connection_handler on_connection)
    : runtime_(runtime),
      choose_worker_(std::move(choose_worker)),
      on_connection_(std::move(on_connection)),
      acceptor_(runtime.worker(0).io) {
  const tcp::endpoint local(asio::ip::make_address(address.ip), address.port);
  acceptor_.open(local.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  if (receive_buffer > 0) {
    acceptor_.set_option(tcp::acceptor::receive_buffer_size(receive_buffer));
  }
  acceptor_.bind(local);
  acceptor_.listen();
  port_ = acceptor_.local_endpoint().port();
  runtime_.post(0, [this] {
    accept_all();
    accepting_ = false;
    accept_loop_ended_.notify_all();
  });
}

listener::~listener() {
  close();
}

void listener::accept_all() {
  while (acceptor_.is_open()) {
    fiber_worker& worker = runtime_.worker(choose_worker_());
    tcp::socket socket(worker.io);
    auto [error] = await_result<error_code>(
        [&](auto handler) { acceptor_.async_accept(socket, std::move(handler)); });
    if (!error) {
      on_connection_(worker, std::move(socket));
    } else if (acceptor_.is_open()) {
      sleep_until(monotonic_now() + pause_after_failed_accept);
    }
  }
}

void listener::close() {
  if (!runtime_.running()) {
    error_code ignored;
    acceptor_.close(ignored);
    return;
  }
  runtime_.run_on(0, [this] {
    error_code ignored;
    acceptor_.close(ignored);
    no_lock lock;
    accept_loop_ended_.wait(lock, [this] { return !accepting_; });
  });
}

}  // namespace arbutus
