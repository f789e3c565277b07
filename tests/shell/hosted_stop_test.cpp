// Tests what callers get from a node that stops.
#include <gtest/gtest.h>

#include <future>

#include "hosted_fixture.h"

namespace arbutus {
namespace {

using standin::path_state;
using standin::plain_instance_id;
using testing_support::hosted_fixture;
using testing_support::local;

class HostedStop : public hosted_fixture {
 protected:
  explicit HostedStop(const standin::hosted_platform_settings& settings = {})
      : hosted_fixture(settings) {}
  void SetUp() override {
    hosted_fixture::SetUp();
    ASSERT_TRUE(both_nodes_serve());
    platform_.set_silent(plain_instance_id, true);
  }
  void TearDown() override {
    platform_.set_silent(plain_instance_id, false);
    hosted_fixture::TearDown();
  }

  std::future<call_result> send_in_background(const std::string& target, const std::string& id,
                                              std::size_t node = 0) {
    return std::async(std::launch::async, [=, this] { return send_request(node, target, id); });
  }
  std::future<bool> stop_in_background(std::size_t node = 0) {
    return std::async(std::launch::async, [=, this] { return nodes_[node]->node->stop(); });
  }
  // Waits until the metrics of a node have the line.
  void wait_for_metric(const std::string& line, std::size_t node = 0) {
    http_request request;
    request.method = "GET";
    request.target = "/metrics";
    ASSERT_TRUE(eventually([&] {
      call_result result;
      runtime.run_on(0, [&] {
        const std::uint16_t port = nodes_[node]->settings.listen.metrics_endpoint.port;
        result = client_.fetch(local(port), request, monotonic_now() + 2s);
      });
      return result.response.body.find("\n" + line + "\n") != std::string::npos;
    })) << line;
  }
  void wait_for_active(int count, std::size_t node = 0) {
    wait_for_metric("arbutusworks_requests_active " + std::to_string(count), node);
  }
  bool is_ready() {
    http_request request;
    request.method = "GET";
    request.target = "/";
    call_result result;
    runtime.run_on(0, [&] {
      result = client_.fetch(local(nodes_[0]->settings.listen.readiness_endpoint.port), request,
                             monotonic_now() + 2s);
    });
    return result.response.status == 200;
  }
};

// Guards against calls that are cut off without an answer when the grace of their node ends.
TEST_F(HostedStop, CallsThatOutlastTheGraceAreAnsweredBeforeTheNodeEnds) {
  auto once = send_in_background("/booking/1", "once");
  auto repeatable = send_in_background("/note/1", "repeatable");
  wait_for_active(2);
  auto stopped = stop_in_background();
  EXPECT_EQ(once.get().response.status, 504);
  EXPECT_EQ(repeatable.get().response.status, 502);
  EXPECT_TRUE(stopped.get());
}

// Guards against calls that a stopping node passes on though they may last longer than it does.
TEST_F(HostedStop, CallsThatMayOutlastTheGraceAreRefusedAtOnce) {
  auto stopped = stop_in_background();
  ASSERT_TRUE(eventually([this] { return !is_ready(); }));
  const time_point begun = monotonic_now();
  const call_result late = send_request(0, "/booking/1", "late");
  EXPECT_EQ(late.response.status, 503);
  EXPECT_TRUE(late.response.headers.find("Retry-After"));
  EXPECT_LT(monotonic_now() - begun, 1s);
  platform_.set_silent(plain_instance_id, false);
  EXPECT_EQ(send_request(0, "/card/1", "short").response.status, 200);
  EXPECT_TRUE(stopped.get());
  EXPECT_TRUE(platform_.arrived_headers("late").empty());
}

// Guards against callers that lose their answers as the whole deployment stops.
TEST_F(HostedStop, CallsAreAnsweredByTwoNodesThatStopAtOnce) {
  auto first = send_in_background("/booking/1", "first");
  auto second = send_in_background("/booking/1", "second", 1);
  wait_for_active(1, 0);
  wait_for_active(1, 1);
  auto first_stopped = stop_in_background(0);
  auto second_stopped = stop_in_background(1);
  EXPECT_EQ(first.get().response.status, 504);
  EXPECT_EQ(second.get().response.status, 504);
  EXPECT_TRUE(first_stopped.get());
  EXPECT_TRUE(second_stopped.get());
}

// Guards against streams that have not begun and are cut off without an answer.
TEST_F(HostedStop, StreamsThatHaveNotBegunAreAnswered) {
  platform_.set_silent("", true);
  auto stream = send_in_background("/llm/1", "stream");
  wait_for_active(1);
  auto stopped = stop_in_background();
  const int status = stream.get().response.status;
  EXPECT_TRUE(status == 502 || status == 503) << status;
  EXPECT_TRUE(stopped.get());
  platform_.set_silent("", false);
}

standin::hosted_platform_settings two_data_centres() {
  standin::hosted_platform_settings settings;
  settings.data_centres = {"lab-a", "lab-b"};
  settings.nodes_with_paths = 2;
  return settings;
}

// The first node reaches no target, so the second one takes its calls over.
class HostedStopOfATaker : public HostedStop {
 protected:
  HostedStopOfATaker() : HostedStop(two_data_centres()) {}
  void SetUp() override {
    HostedStop::SetUp();
    platform_.set_silent(plain_instance_id, false);
    platform_.set_paths(0, path_state::reset);
    int number = 0;
    ASSERT_TRUE(eventually([&] {
      const std::string id = "taken-" + std::to_string(++number);
      return send_request(0, "/card/1", id).response.status == 200;
    }));
    platform_.set_silent(plain_instance_id, true);
  }
};

// Guards against calls of a peer that are cut off without an answer.
TEST_F(HostedStopOfATaker, CallsOfAPeerAreAnswered) {
  auto once = send_in_background("/booking/1", "once");
  wait_for_metric("arbutusworks_taken_over_active 1", 1);
  auto stopped = stop_in_background(1);
  EXPECT_EQ(once.get().response.status, 504);
  EXPECT_TRUE(stopped.get());
}

// Guards against calls that a stopping node takes over though it cannot end them.
TEST_F(HostedStopOfATaker, NoFurtherCallsOfAPeerAreTaken) {
  auto stopped = stop_in_background(1);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  EXPECT_EQ(send_request(0, "/booking/1", "late").response.status, 503);
  EXPECT_TRUE(platform_.arrived_headers("late").empty());
  EXPECT_TRUE(stopped.get());
}

}  // namespace
}  // namespace arbutus
