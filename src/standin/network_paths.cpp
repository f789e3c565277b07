// Forwards the connections of one node to the targets, on a thread of its own.
#include "standin/network_paths.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cctype>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace arbutus::standin {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

tcp::endpoint address_of(const endpoint& e) {
  return {asio::ip::make_address(e.host), e.port};
}

// One forwarded connection. Kept alive by its pending operations.
class forwarded_connection : public std::enable_shared_from_this<forwarded_connection> {
 public:
  forwarded_connection(tcp::socket node, tcp::socket target)
      : to_target_{std::move(node), {}, 0, false}, to_node_{std::move(target), {}, 0, false} {}

  void start() {
    read(to_target_, to_node_.from);
    read(to_node_, to_target_.from);
  }

  // Whether the bytes in each direction pass. Held bytes continue when they may pass again.
  void set_passing(bool node_to_target, bool target_to_node) {
    to_target_.holds = !node_to_target;
    to_node_.holds = !target_to_node;
    if (ended_ && node_to_target && target_to_node) {
      close();
      return;
    }
    release(to_target_, to_node_.from);
    release(to_node_, to_target_.from);
  }

  void reset() {
    for (tcp::socket* socket : {&to_target_.from, &to_node_.from}) {
      error_code ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
    }
    close();
  }

  [[nodiscard]] bool is_closed() const { return !to_target_.from.is_open(); }

 private:
  struct direction {
    tcp::socket from;
    std::array<char, 16UL * 1024> buffer;
    std::size_t held_bytes;
    bool holds;
  };

  void read(direction& d, tcp::socket& to) {
    d.from.async_read_some(asio::buffer(d.buffer), [self = shared_from_this(), &d, &to](
                                                       const error_code& error, std::size_t count) {
      if (error) {
        self->end();
      } else {
        d.held_bytes = count;
        self->release(d, to);
      }
    });
  }

  void release(direction& d, tcp::socket& to) {
    if (d.holds || d.held_bytes == 0) {
      return;
    }
    if (is_reset(d.from)) {
      close();
      return;
    }
    const std::size_t count = std::exchange(d.held_bytes, 0);
    asio::async_write(to, asio::buffer(d.buffer.data(), count),
                      [self = shared_from_this(), &d, &to](const error_code& error, std::size_t) {
                        if (error) {
                          self->end();
                        } else {
                          self->read(d, to);
                        }
                      });
  }

  // Whether the sender has reset the connection: bytes that were held are then lost.
  static bool is_reset(tcp::socket& from) {
    char byte = 0;
    error_code error;
    from.non_blocking(true, error);
    from.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::connection_reset;
  }

  // One side has closed. The other side learns it only if the path is not cut.
  void end() {
    ended_ = true;
    if (!to_target_.holds && !to_node_.holds) {
      close();
    }
  }

  void close() {
    error_code ignored;
    to_target_.from.close(ignored);
    to_node_.from.close(ignored);
  }

  direction to_target_;  // from the node
  direction to_node_;    // from the target
  bool ended_ = false;
};

// One connection whose request the path answers in the target's place. Kept alive by its pending
// operations.
class answered_connection : public std::enable_shared_from_this<answered_connection> {
 public:
  answered_connection(tcp::socket node, faulty_answer answer)
      : node_(std::move(node)), answer_(std::move(answer)) {}

  // Calls `then` once the head of the request has come.
  void read_head(std::function<void()> then) {
    asio::async_read_until(
        node_, asio::dynamic_buffer(request_, max_head_bytes), "\r\n\r\n",
        [self = shared_from_this(), then = std::move(then)](const error_code& error, std::size_t) {
          if (!error) {
            then();
          }
        });
  }

  [[nodiscard]] bool is_call_of_platform() const {
    return request_.find(" /api/") < request_.find("\r\n");
  }
  [[nodiscard]] std::string_view request() const { return request_; }
  [[nodiscard]] tcp::socket take_socket() { return std::move(node_); }

  void answer() {
    if (answer_.resets_early) {
      send();
    } else {
      read_body();
    }
  }

 private:
  static constexpr std::size_t max_head_bytes = 64UL * 1024;

  void read_body() {
    const std::size_t head = request_.find("\r\n\r\n") + 4;
    const std::string length = value_of("content-length: ");
    const std::size_t whole = head + (length.empty() ? 0 : std::stoul(length));
    const std::size_t missing = whole - std::min(whole, request_.size());
    asio::async_read(node_, asio::dynamic_buffer(request_), asio::transfer_exactly(missing),
                     [self = shared_from_this()](const error_code& error, std::size_t) {
                       if (!error) {
                         self->send();
                       }
                     });
  }

  void send() {
    const std::string id = value_of("x-request-id: ");
    std::string& bytes = answer_.bytes;
    for (auto at = bytes.find(request_id_mark); at != std::string::npos;
         at = bytes.find(request_id_mark)) {
      bytes.replace(at, request_id_mark.size(), id);
    }
    asio::async_write(node_, asio::buffer(bytes),
                      [self = shared_from_this()](const error_code&, std::size_t) { self->end(); });
  }

  void end() {
    error_code ignored;
    if (answer_.resets_early) {
      node_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    node_.close(ignored);
  }

  // The value of the first field whose line begins so; its name is written in lower case.
  [[nodiscard]] std::string value_of(std::string_view beginning) const {
    const auto same = [](char a, char b) {
      return std::tolower(static_cast<unsigned char>(a)) == b;
    };
    const auto at =
        std::search(request_.begin(), request_.end(), beginning.begin(), beginning.end(), same);
    const auto from = std::min(request_.size(),
                               static_cast<std::size_t>(at - request_.begin()) + beginning.size());
    return request_.substr(from, request_.find("\r\n", from) - from);
  }

  tcp::socket node_;
  faulty_answer answer_;
  std::string request_;  // as far as it is read
};

}  // namespace

class network_paths::path {
 public:
  path(asio::io_context& io, const endpoint& target)
      : io_(io), target_(address_of(target)), acceptor_(io), reserved_(io) {
    listen({asio::ip::address_v4::loopback(), 0});
    local_ = acceptor_.local_endpoint();
    accept();
  }

  [[nodiscard]] endpoint address() const { return {"127.0.0.1", local_.port()}; }

  void set_listening(bool listens) {
    target_listens_ = listens;
    set_state(state_);
  }

  void set_answer(const faulty_answer& answer) {
    answer_ = answer;
    for (const auto& connection : connections_) {
      connection->reset();
    }
  }

  void set_state(path_state state) {
    state_ = state;
    std::erase_if(connections_, [](const auto& c) { return c->is_closed(); });
    const bool silent = state == path_state::silent || state == path_state::one_way;
    const bool refuses =
        state == path_state::reset || state == path_state::closed_to_new || !target_listens_;
    for (const auto& connection : connections_) {
      if (state == path_state::reset) {
        connection->reset();
      } else {
        connection->set_passing(state != path_state::silent, !silent);
      }
    }
    stop_accepting();
    if (silent) {
      fill_accept_queue();
    } else if (refuses) {
      refuse();
    } else {
      accept();
    }
  }

 private:
  void listen(const tcp::endpoint& local) {
    acceptor_.open(local.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(local);
    acceptor_.listen();
  }

  // Returns to a state in which the port listens and nothing is accepted.
  void stop_accepting() {
    error_code ignored;
    fillers_.clear();
    acceptor_.cancel(ignored);
    ++accept_round_;
    if (!acceptor_.is_open()) {
      listen(local_);
      reserved_.close(ignored);
    }
    acceptor_.listen(tcp::acceptor::max_listen_connections, ignored);
  }

  // A bound port that does not listen refuses connections and is assigned to no other process. It
  // cannot be bound a second time while it listens.
  void refuse() {
    acceptor_.close();
    reserved_.open(local_.protocol());
    reserved_.set_option(tcp::socket::reuse_address(true));
    reserved_.bind(local_);
  }

  // The kernel drops connection requests while the accept queue is full, so that connecting hangs.
  void fill_accept_queue() {
    constexpr std::size_t fillers = 3;
    ::listen(acceptor_.native_handle(), 0);
    fillers_.reserve(fillers);
    for (std::size_t i = 0; i < fillers; ++i) {
      fillers_.emplace_back(io_).async_connect(local_, [](const error_code&) {});
    }
  }

  void accept() {
    acceptor_.async_accept([this, round = accept_round_](const error_code& error, tcp::socket s) {
      if (error || round != accept_round_) {
        return;
      }
      if (answer_.bytes.empty()) {
        forward(std::move(s), {});
      } else {
        read_request(std::move(s));
      }
      accept();
    });
  }

  void read_request(tcp::socket node) {
    auto answered = std::make_shared<answered_connection>(std::move(node), answer_);
    answered->read_head([this, answered] {
      if (answered->is_call_of_platform()) {
        forward(answered->take_socket(), answered->request());
      } else {
        answered->answer();
      }
    });
  }

  // `received`: bytes of the node that are read already.
  void forward(tcp::socket node, std::string_view received) {
    error_code error;
    tcp::socket target(io_);
    target.connect(target_, error);
    if (error) {
      node.set_option(asio::socket_base::linger(true, 0), error);
      return;
    }
    for (tcp::socket* socket : {&node, &target}) {
      socket->set_option(tcp::no_delay(true), error);
    }
    asio::write(target, asio::buffer(received), error);
    std::erase_if(connections_, [](const auto& c) { return c->is_closed(); });
    const auto added = connections_.insert(
        std::make_shared<forwarded_connection>(std::move(node), std::move(target)));
    (*added.first)->start();
  }

  asio::io_context& io_;
  tcp::endpoint target_;
  tcp::acceptor acceptor_;
  tcp::socket reserved_;  // holds the port while it refuses connections
  tcp::endpoint local_;
  std::vector<tcp::socket> fillers_;
  path_state state_ = path_state::open;
  bool target_listens_ = true;
  faulty_answer answer_;
  std::uint64_t accept_round_ = 0;  // pending accepts of earlier rounds are void
  std::set<std::shared_ptr<forwarded_connection>> connections_;
};

struct network_paths::state {
  // Runs `work` on the thread of the paths and waits for it.
  void run(const std::function<void()>& work) {
    std::promise<void> done;
    asio::post(io, [&] {
      work();
      done.set_value();
    });
    done.get_future().wait();
  }

  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> guard{asio::make_work_guard(io)};
  std::map<endpoint, std::unique_ptr<path>> paths;  // by target
  std::thread thread{[this] { io.run(); }};
};

network_paths::network_paths() : state_(std::make_unique<state>()) {}

network_paths::~network_paths() {
  state_->io.stop();
  state_->thread.join();
}

void network_paths::add(const endpoint& target) {
  state_->run([&] { state_->paths.emplace(target, std::make_unique<path>(state_->io, target)); });
}

endpoint network_paths::path_to(const endpoint& target) const {
  const auto found = state_->paths.find(target);
  return found == state_->paths.end() ? target : found->second->address();
}

void network_paths::set_state(path_state to) {
  state_->run([&] {
    for (auto& [target, one] : state_->paths) {
      one->set_state(to);
    }
  });
}

void network_paths::set_answer(const endpoint& target, const faulty_answer& answer) {
  state_->run([&] { state_->paths.at(target)->set_answer(answer); });
}

void network_paths::set_answer(const faulty_answer& answer) {
  state_->run([&] {
    for (auto& [target, one] : state_->paths) {
      one->set_answer(answer);
    }
  });
}

void network_paths::set_listening(const endpoint& target, bool listens) {
  state_->run([&] { state_->paths.at(target)->set_listening(listens); });
}

void network_paths::set_state(const endpoint& target, path_state to) {
  state_->run([&] { state_->paths.at(target)->set_state(to); });
}

}  // namespace arbutus::standin
