// Fixture for tests of where requests are sent: two data centres, each with one node that has paths
// of its own.
#pragma once

#include <atomic>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "hosted_fixture.h"

namespace arbutus::testing_support {

constexpr const char* stream_path = "/llm/1";
constexpr const char* call_path = "/card/1";
// Longest time that a request may take that is refused immediately.
constexpr duration immediate_refusal = 300ms;

inline standin::hosted_platform_settings two_places(
    const std::map<std::string, std::string>& regions = {}) {
  standin::hosted_platform_settings settings;
  settings.data_centres = {"lab-a", "lab-b"};
  settings.nodes_with_paths = 2;
  settings.regions = regions;
  // Streams of 1.2 s.
  settings.events_per_answer = 40;
  settings.event_gap = 30ms;
  return settings;
}

class hosted_place_fixture : public hosted_fixture {
 protected:
  explicit hosted_place_fixture(const standin::hosted_platform_settings& settings = two_places())
      : hosted_fixture(settings) {}

  std::string next_id(std::size_t node) {
    return "q" + std::to_string(++requests_) + "@" + nodes_[node]->settings.id.str();
  }

  call_result ask(std::size_t node, const std::string& path) {
    return send_request(node, path, next_id(node));
  }

  // Callers of the nodes, several at a time, send requests for the given time. Returns how often
  // each HTTP status occurred.
  std::map<int, int> send_load(duration time, const std::string& path, std::size_t nodes = 2) {
    constexpr std::size_t callers = 6;
    return count_statuses(callers, time, 10ms, [&](std::size_t caller, int) {
      return ask(caller % nodes, path).response.status;
    });
  }

  // The model's replicas serve in both data centres, and both nodes send requests to them.
  bool both_places_serve() {
    return both_nodes_serve() && eventually([&] {
             ask(0, stream_path);
             ask(1, stream_path);
             return arrivals_in("lab-a", {}) > 0 && arrivals_in("lab-b", {}) > 0;
           });
  }

  // Requests that have reached targets of the data centre after `from`. The plain service is in the
  // first one.
  std::size_t arrivals_in(const std::string& data_centre, time_point from) const {
    std::size_t count = 0;
    for (const auto& [target, times] : platform_.arrivals()) {
      const bool is_there = target == standin::plain_instance_id
                                ? data_centre == "lab-a"
                                : target.starts_with("i-" + data_centre);
      count += is_there ? static_cast<std::size_t>(std::ranges::count_if(
                              times, [&](time_point at) { return at > from; }))
                        : 0;
    }
    return count;
  }

  // The first number in the node's metrics after `name`; -1: there is none.
  double metric(std::size_t node, const std::string& name) {
    http_request request;
    request.method = "GET";
    request.target = "/metrics";
    call_result result;
    runtime.run_on(0, [&] {
      result = client_.fetch(local(nodes_[node]->settings.listen.metrics_endpoint.port), request,
                             monotonic_now() + 2s);
    });
    const std::string& text = result.response.body;
    const auto at = text.find("\n" + name + " ");
    return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size() + 2));
  }

  // Waits until all nodes report this value.
  bool all_report(const std::string& name, double value) {
    return eventually([&] {
      for (std::size_t node = 0; node < nodes_.size(); ++node) {
        if (metric(node, name) != value) {
          return false;
        }
      }
      return true;
    });
  }

  // Whether the request is refused immediately, for this reason and with a time to retry.
  void expect_refused(std::size_t node, const std::string& path, std::string_view reason) {
    const time_point sent = monotonic_now();
    const call_result result = ask(node, path);
    EXPECT_EQ(result.response.status, 503);
    EXPECT_TRUE(result.response.headers.find("Retry-After"));
    EXPECT_NE(result.response.body.find(reason), std::string::npos) << result.response.body;
    EXPECT_LT(monotonic_now() - sent, immediate_refusal);
  }

  // Sends a stream that runs at a head of the data centre; returns the head. The result is
  // available after `join_stream`.
  std::string start_stream_in(const std::string& data_centre, std::size_t node) {
    std::string head;
    EXPECT_TRUE(eventually([&] {
      join_stream();
      stream_id_ = next_id(node);
      stream_ = std::thread(
          [this, node, id = stream_id_] { stream_result_ = send_request(node, stream_path, id); });
      const time_point until = monotonic_now() + 1s;
      do {
        head = platform_.engine_of_run(stream_id_);
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      } while (head.empty() && monotonic_now() < until);
      return head.starts_with("i-" + data_centre);
    }));
    return head;
  }
  void join_stream() {
    if (stream_.joinable()) {
      stream_.join();
    }
  }
  void expect_whole_stream() {
    join_stream();
    EXPECT_EQ(stream_result_.response.status, 200);
    EXPECT_EQ(stream_result_.response.body, expected_stream(stream_id_));
  }

  ~hosted_place_fixture() override { join_stream(); }

  std::atomic<int> requests_ = 0;
  std::thread stream_;
  std::string stream_id_;
  call_result stream_result_;
};

}  // namespace arbutus::testing_support
