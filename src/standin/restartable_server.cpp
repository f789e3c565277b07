// Closes and reopens a server on one port.
#include "standin/restartable_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/mutex.hpp>
#include <mutex>
#include <optional>

namespace arbutus::standin {

namespace {

using boost::asio::ip::tcp;

// An unbound port may be assigned to any outgoing connection of this machine, and the server then
// fails to reopen with "address in use". So while the server is closed, its port is bound without
// listening, which refuses connections and allows a listener to bind as well.
class port_reservation {
 public:
  explicit port_reservation(const socket_address& address) : socket_(io_) {
    const tcp::endpoint local{boost::asio::ip::make_address(address.ip), address.port};
    boost::system::error_code ignored;
    socket_.open(local.protocol(), ignored);
    socket_.set_option(tcp::socket::reuse_address(true), ignored);
    socket_.bind(local, ignored);
  }

 private:
  boost::asio::io_context io_;
  tcp::socket socket_;
};

}  // namespace

struct restartable_server::state {
  fiber_runtime& runtime;
  socket_address address;
  http_handler handler;
  // Guards the two members below; stays locked while waiting for fibers.
  boost::fibers::mutex mutex;
  std::unique_ptr<http_server> server;
  std::optional<port_reservation> holder;
};

restartable_server::restartable_server(fiber_runtime& runtime, const socket_address& address,
                                       http_handler handler)
    : state_(new state{runtime, address, std::move(handler), {}, {}, {}}) {
  open();
}

restartable_server::~restartable_server() = default;

void restartable_server::open() {
  const std::lock_guard lock(state_->mutex);
  if (state_->server) {
    return;
  }
  state_->server = std::make_unique<http_server>(state_->runtime, state_->address,
                                                 http_server_limits{}, state_->handler);
  state_->address.port = state_->server->port();
  state_->holder.reset();
}

void restartable_server::close() {
  const std::lock_guard lock(state_->mutex);
  if (state_->server) {
    state_->server.reset();
    state_->holder.emplace(state_->address);
  }
}

std::uint16_t restartable_server::port() const noexcept {
  return state_->address.port;
}

}  // namespace arbutus::standin
