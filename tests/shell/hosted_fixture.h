// Fixture with two nodes on a stand-in of the hosted platform, over real sockets in one process.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "connection/http_client.h"
#include "connection_fixture.h"
#include "node/hosted_node.h"
#include "standin/hosted_platform.h"

namespace arbutus::testing_support {

inline bool is_free(std::uint16_t port) {
  boost::asio::io_context io;
  boost::system::error_code error;
  boost::asio::ip::tcp::acceptor acceptor(io);
  acceptor.open(boost::asio::ip::tcp::v4(), error);
  acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  acceptor.bind({boost::asio::ip::address_v4::loopback(), port}, error);
  return !error;
}

// Returns an unused port. Tests run in parallel, and together with a soak test whose nodes listen
// in the same range, so ports that another process uses are skipped.
inline std::uint16_t next_port() {
  static std::uint16_t port = static_cast<std::uint16_t>(20000 + (getpid() % 300) * 32);
  while (!is_free(port)) {
    ++port;
  }
  return port++;
}

struct test_node {
  test_node(const std::string& name, std::uint16_t store_port,
            const std::string& data_centre = "lab-a",
            const std::vector<std::string>& data_centres = {"lab-a"},
            const std::map<std::string, std::string>& regions = {}) {
    settings.id = node_id{name};
    settings.data_centre = data_centre_id{data_centre};
    settings.data_centres = {data_centres.begin(), data_centres.end()};
    for (const auto& [place, region] : regions) {
      settings.regions.emplace(place, region);
    }
    settings.listen.caller_endpoint = {"127.0.0.1", next_port()};
    settings.listen.readiness_endpoint = {"127.0.0.1", next_port()};
    settings.listen.link_endpoint = {"127.0.0.1", next_port()};
    settings.listen.metrics_endpoint = {"127.0.0.1", next_port()};
    settings.listen.relay_endpoint = {"127.0.0.1", next_port()};
    settings.store = {"127.0.0.1", store_port};
    settings.cold_start = true;
    settings.bounds.shutdown_grace = 4s;
    node = std::make_unique<hosted_node>(settings);
    node->start();
  }
  hosted_settings settings;
  std::unique_ptr<hosted_node> node;
};

class hosted_fixture : public connection_fixture {
 protected:
  // Two nodes of the first data centre or, if nodes have paths of their own, one of each.
  explicit hosted_fixture(const standin::hosted_platform_settings& settings = {})
      : platform_(runtime, settings), events_per_answer_(settings.events_per_answer) {
    const std::size_t with_paths = settings.nodes_with_paths;
    for (std::size_t i = 0; i < std::max<std::size_t>(with_paths, 2); ++i) {
      const bool has_paths = i < with_paths;
      nodes_.push_back(std::make_unique<test_node>(
          "edge-" + std::to_string(i), has_paths ? platform_.store_port(i) : platform_.store_port(),
          settings.data_centres.at(has_paths ? i : 0), settings.data_centres, settings.regions));
    }
  }
  ~hosted_fixture() override { nodes_.clear(); }

  static http_request make_request(const std::string& target, const std::string& id,
                                   const std::string& key = standin::hosted_caller_key,
                                   const std::string& prompt_blocks = "") {
    http_request request;
    request.method = "POST";
    request.target = target;
    request.headers = {{"Host", standin::hosted_host_name}, {"X-Request-Id", id},
                       {"X-Deadline-Ms", "6000"},           {"X-Model", standin::hosted_model_name},
                       {"X-Token-Count", "100,20"},         {"Authorization", "Bearer " + key}};
    if (!prompt_blocks.empty()) {
      request.headers.add("X-Prefix-Hash", prompt_blocks);
    }
    return request;
  }

  call_result send_request(std::size_t node, const std::string& target, const std::string& id,
                           const std::string& key = standin::hosted_caller_key,
                           const std::string& prompt_blocks = "") {
    const http_request request = make_request(target, id, key, prompt_blocks);
    call_result result;
    runtime.run_on(0, [&] {
      result = client_.fetch(local(nodes_[node]->settings.listen.caller_endpoint.port), request,
                             monotonic_now() + 8s);
    });
    return result;
  }

  // Sends a request to the first node's address for operators and metrics.
  call_result send_operator_request(const std::string& method, const std::string& target) {
    http_request request;
    request.method = method;
    request.target = target;
    call_result result;
    runtime.run_on(0, [&] {
      result = client_.fetch(local(nodes_[0]->settings.listen.metrics_endpoint.port), request,
                             monotonic_now() + 2s);
    });
    return result;
  }

  // Several callers at a time call `ask(caller, number)`, which returns an HTTP status, with a
  // pause after each call. Returns how often each status occurred.
  static std::map<int, int> count_statuses(
      std::size_t callers, duration time, duration pause,
      const std::function<int(std::size_t caller, int number)>& ask) {
    const time_point until = monotonic_now() + time;
    std::vector<std::map<int, int>> counts(callers);
    std::vector<std::thread> threads;
    for (std::size_t caller = 0; caller < callers; ++caller) {
      threads.emplace_back([&, caller] {
        for (int number = 0; monotonic_now() < until; ++number) {
          ++counts[caller][ask(caller, number)];
          std::this_thread::sleep_for(pause);
        }
      });
    }
    for (std::thread& t : threads) {
      t.join();
    }
    std::map<int, int> all;
    for (const auto& one : counts) {
      for (const auto& [status, count] : one) {
        all[status] += count;
      }
    }
    return all;
  }

  bool eventually(const std::function<bool()>& holds) {
    const time_point limit = test_deadline();
    while (!holds()) {
      if (monotonic_now() > limit) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
  }

  bool both_nodes_serve() {
    return eventually([&] {
      return platform_.count_serving_replicas() >= 2 &&
             send_request(0, "/llm/x", "warm-0").response.status == 200 &&
             send_request(1, "/llm/x", "warm-1").response.status == 200;
    });
  }

  [[nodiscard]] std::string expected_stream(const std::string& id) const {
    std::string text;
    for (int i = 1; i <= events_per_answer_; ++i) {
      text += "id: " + std::to_string(i) + "\ndata: " + id + "\n\n";
    }
    return text;
  }

  http_client client_{runtime};
  standin::hosted_platform platform_;
  std::vector<std::unique_ptr<test_node>> nodes_;

 private:
  int events_per_answer_;
};

}  // namespace arbutus::testing_support
