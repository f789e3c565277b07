// Tests the admission of streams with two priorities, over real sockets.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <atomic>
#include <mutex>
#include <sstream>
#include <thread>

#include "hosted_fixture.h"
#include "node/log.h"
#include "node/request_timeline.h"
#include "node/stream_admission.h"

namespace arbutus::testing_support {
namespace {

using testing::HasSubstr;
using testing::Not;

// One replica with 16 slots; answers take 1 s.
class HostedAdmission : public hosted_fixture {
 protected:
  explicit HostedAdmission(bool has_urgent_route = true)
      : hosted_fixture([=] {
          standin::hosted_platform_settings settings;
          settings.engines_per_data_centre = 3;
          settings.events_per_answer = 20;
          settings.event_gap = 50ms;
          settings.has_urgent_route = has_urgent_route;
          return settings;
        }()) {
    start_log({log_level::info, log_format::json}, node_id{"edges"}, log_);
  }
  ~HostedAdmission() override { stop_log(); }

  bool serves() {
    return eventually([&] {
      return platform_.count_serving_replicas() >= 1 &&
             send_request(0, "/llm/x", "warm-0").response.status == 200;
    });
  }
  std::string metrics() { return send_operator_request("GET", "/metrics").response.body; }

  std::ostringstream log_;
};

class HostedOnePriority : public HostedAdmission {
 protected:
  HostedOnePriority() : HostedAdmission(false) {}
};

// Guards against a node that sends all requests of an overload to a replica that is full.
TEST_F(HostedAdmission, RefusesTheExcessAtOnceWithItsReason) {
  ASSERT_TRUE(serves());
  std::atomic<bool> found = false;
  std::mutex lock;
  std::string refused_id;
  std::string retry_after;
  const auto statuses = count_statuses(40, 3s, 5ms, [&](std::size_t caller, int number) {
    if (found) {
      return 0;
    }
    const std::string id = "a" + std::to_string(caller) + "-" + std::to_string(number);
    const call_result result = send_request(0, "/llm/x", id);
    if (result.response.body.find(at_capacity_reason) != std::string::npos) {
      const std::lock_guard guard(lock);
      found = true;
      refused_id = id;
      retry_after = std::string(result.response.headers.find("Retry-After").value_or(""));
      EXPECT_EQ(result.response.status, 503);
    }
    return result.response.status;
  });
  ASSERT_TRUE(found);
  EXPECT_NE(retry_after, "");
  EXPECT_THAT(metrics(), HasSubstr("arbutusworks_admissions{service=\"llm\",model=\"large\","
                                   "priority=\"1\",decision=\"refused\"}"));
  // A node writes a request's last line after the answer, and before it answers another request.
  (void)send_request(0, "/llm/x", "after");
  stop_log();
  std::istringstream lines(log_.str());
  log_reader reader;
  EXPECT_EQ(reader.read(lines, refused_id), 0U);
  const auto timeline = reader.timeline_of(refused_id);
  ASSERT_TRUE(timeline);
  EXPECT_THAT(timeline->cause, HasSubstr("admitted fraction"));
  EXPECT_THAT(to_text(*timeline), HasSubstr("can_take="));
}

TEST_F(HostedAdmission, ShowsDemandRoomAndTimesOfTheModel) {
  ASSERT_TRUE(serves());
  EXPECT_EQ(send_request(0, "/urgent/x", "u-1").response.status, 200);
  const std::string text = metrics();
  EXPECT_THAT(
      text,
      HasSubstr(
          "arbutusworks_expected_first_event_seconds_count{service=\"llm\",model=\"large\"}"));
  EXPECT_THAT(
      text,
      HasSubstr(
          "arbutusworks_observed_first_event_seconds_count{service=\"llm\",model=\"large\"}"));
  EXPECT_THAT(text, HasSubstr("arbutusworks_room{service=\"llm\",model=\"large\",priority=\"0\"}"));
  EXPECT_THAT(
      text,
      HasSubstr("arbutusworks_demand_per_second{service=\"llm\",model=\"large\",priority=\"1\"}"));
  EXPECT_THAT(
      text,
      HasSubstr(
          "arbutusworks_admitted_fraction{service=\"llm\",model=\"large\",priority=\"0\"} 1.0"));
}

// Guards against a change of services whose streams have one priority.
TEST_F(HostedOnePriority, IsNotSubjectToAdmission) {
  ASSERT_TRUE(serves());
  EXPECT_THAT(metrics(), Not(HasSubstr("arbutusworks_admissions")));
  EXPECT_THAT(metrics(), Not(HasSubstr("arbutusworks_room")));
}

}  // namespace
}  // namespace arbutus::testing_support
