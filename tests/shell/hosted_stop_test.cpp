// Tests what callers get from a node that stops.
#include <gtest/gtest.h>

#include <future>

#include "hosted_fixture.h"

namespace arbutus {
namespace {

using standin::plain_instance_id;
using testing_support::hosted_fixture;
using testing_support::local;

class HostedStop : public hosted_fixture {
 protected:
  void SetUp() override {
    hosted_fixture::SetUp();
    ASSERT_TRUE(both_nodes_serve());
    platform_.set_silent(plain_instance_id, true);
  }
  void TearDown() override {
    platform_.set_silent(plain_instance_id, false);
    hosted_fixture::TearDown();
  }

  std::future<call_result> send_in_background(const std::string& target, const std::string& id) {
    return std::async(std::launch::async, [=, this] { return send_request(0, target, id); });
  }
  std::future<bool> stop_in_background() {
    return std::async(std::launch::async, [this] { return nodes_[0]->node->stop(); });
  }
  void wait_for_active(int count) {
    const std::string line = "arbutusworks_requests_active " + std::to_string(count) + "\n";
    ASSERT_TRUE(eventually([&] {
      return send_operator_request("GET", "/metrics").response.body.find(line) != std::string::npos;
    }));
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

}  // namespace
}  // namespace arbutus
