// Tests two nodes on the hosted platform whose targets ask them to back off, or say that they are
// leaving; over real sockets.
#include "hosted_fixture.h"
#include "platform/http_fields.h"

namespace arbutus::testing_support {
namespace {

using standin::plain_instance_id;

constexpr const char* stream_path = "/llm/1";
constexpr const char* call_path = "/card/1";
// Time that the targets of these tests ask for.
constexpr duration backoff = 2s;
constexpr const char* backoff_text = "2";
// Longest time that a request may take that is refused at once.
constexpr duration immediate = 300ms;
// The operators' bound (drain-ms) on when a leaving target gets no more requests.
constexpr duration drain_limit = 2s;

struct timed_answer {
  call_result result;
  duration took{};
};

class HostedBackoff : public hosted_fixture {
 protected:
  timed_answer ask(std::size_t node, const std::string& path) {
    const std::string id =
        "q" + std::to_string(++requests_) + "@" + nodes_[node]->settings.id.str();
    const time_point sent = monotonic_now();
    call_result result = send_request(node, path, id);
    return {std::move(result), monotonic_now() - sent};
  }

  // Callers of both nodes, several at a time, send requests for the given time. Returns how often
  // each HTTP status occurred.
  std::map<int, int> send_load(duration time, const std::string& path) {
    constexpr std::size_t callers = 8;
    return count_statuses(callers, time, 5ms, [&](std::size_t caller, int) {
      return ask(caller % 2, path).result.response.status;
    });
  }

  void turn_away(const std::string& target, const std::string& retry_after = backoff_text) {
    platform_.set_behaviour(target, {true, retry_after, false});
  }

  // Describes the requests that reached targets during the backoffs that they had asked for.
  std::string broken_windows() const {
    std::string text;
    for (const standin::backoff_window& w : platform_.broken_backoff_windows()) {
      text += w.target + " got " + std::to_string(w.arrivals) + " from " + w.node + "; ";
    }
    return text;
  }

  // Number of requests that reached a target later than the bound after it had told the node that
  // it is leaving.
  std::size_t late_arrivals() const {
    const auto all = platform_.arrivals_after_notice();
    return static_cast<std::size_t>(
        std::ranges::count_if(all, [](const standin::arrival_after_notice& a) {
          return a.arrived_at - a.told_at > drain_limit;
        }));
  }

  std::size_t arrivals_at(const std::string& target) const {
    return platform_.arrivals()[target].size();
  }

  static double retry_after_of(const call_result& result) {
    const auto text = result.response.headers.find("Retry-After");
    return text ? std::stod(std::string(*text)) : -1;
  }

  std::atomic<int> requests_ = 0;
};

// Guards against a head that asks for a backoff and is sent more than before, as it looks idle.
TEST_F(HostedBackoff, BackingOffHeadGetsNoStreams) {
  ASSERT_TRUE(both_nodes_serve());
  const std::string head = platform_.find_member(true);
  const std::size_t replicas = platform_.count_serving_replicas();
  turn_away(head);
  const std::map<int, int> answers = send_load(3s, stream_path);
  EXPECT_EQ(broken_windows(), "");
  // Its replica is neither dissolved nor replaced.
  EXPECT_EQ(platform_.find_member(true), head);
  EXPECT_EQ(platform_.count_serving_replicas(), replicas);
  EXPECT_EQ(answers.size(), 1U);
  EXPECT_TRUE(answers.contains(200));
}

// Guards against a stream that is resumed at a head that backs off, when the head that it ran on
// ends.
TEST_F(HostedBackoff, StreamsAreNotResumedAtABackingOffHead) {
  ASSERT_TRUE(both_nodes_serve());
  const std::string head = platform_.find_member(true);
  turn_away(head);
  std::map<int, int> answers;
  std::thread load([&] { answers = send_load(3s, stream_path); });
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  send_request(0, stream_path, "probe@edge-0");
  const std::string running = platform_.engine_of_run("probe@edge-0");
  platform_.kill_engine(running);
  load.join();
  EXPECT_NE(running, head);
  EXPECT_EQ(broken_windows(), "");
  EXPECT_GT(answers[200], 20);
}

// Guards against a backoff that ends with a new configuration, or with a send limit of the target.
TEST_F(HostedBackoff, BackoffOutlivesConfigurationsAndSendLimits) {
  ASSERT_TRUE(both_nodes_serve());
  turn_away(platform_.find_member(true));
  std::thread load([&] { send_load(3s, stream_path); });
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  platform_.write_next_configuration();
  platform_.set_send_limit("50");
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  platform_.write_next_configuration();
  platform_.set_send_limit("");
  load.join();
  EXPECT_EQ(broken_windows(), "");
}

// Guards against sends to the last instance of a service during the backoff that it asked for.
TEST_F(HostedBackoff, BackingOffInstanceGetsNoCalls) {
  ASSERT_TRUE(both_nodes_serve());
  turn_away(plain_instance_id);
  const std::map<int, int> answers = send_load(3s, call_path);
  EXPECT_EQ(broken_windows(), "");
  EXPECT_EQ(answers.size(), 1U);
  EXPECT_TRUE(answers.contains(503));
}

// Guards against callers that wait until their deadline while all heads back off.
TEST_F(HostedBackoff, StreamsAreRefusedImmediatelyWhileAllHeadsBackOff) {
  ASSERT_TRUE(both_nodes_serve());
  turn_away("");
  ask(0, stream_path);
  const time_point asked = monotonic_now();
  for (int i = 0; i < 20; ++i) {
    const timed_answer answer = ask(0, stream_path);
    const double left = to_seconds(backoff - (monotonic_now() - asked));
    EXPECT_EQ(answer.result.response.status, 503);
    EXPECT_LT(answer.took, immediate);
    EXPECT_GT(retry_after_of(answer.result), left - 0.1);
    EXPECT_LT(retry_after_of(answer.result), left + to_seconds(backoff));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  EXPECT_EQ(broken_windows(), "");
}

// Guards against a Retry-After of refused calls that is shorter than the instance's backoff.
TEST_F(HostedBackoff, CallsAreRefusedUntilTheBackoffEnds) {
  ASSERT_TRUE(both_nodes_serve());
  turn_away(plain_instance_id);
  ask(0, call_path);
  const timed_answer refused = ask(0, call_path);
  EXPECT_EQ(refused.result.response.status, 503);
  EXPECT_LT(refused.took, immediate);
  EXPECT_GT(retry_after_of(refused.result), to_seconds(backoff) - 0.5);
  platform_.set_behaviour(plain_instance_id, {});
  EXPECT_TRUE(eventually([&] { return ask(0, call_path).result.response.status == 200; }));
}

// Guards against a head that turns requests away within milliseconds and is preferred for its low
// load, so that the repeats use up the budget.
TEST_F(HostedBackoff, RejectingHeadIsNotPreferred) {
  ASSERT_TRUE(both_nodes_serve());
  const std::string head = platform_.find_member(true);
  turn_away(head, "");
  const std::map<std::string, std::vector<time_point>> before = platform_.arrivals();
  const std::map<int, int> answers = send_load(3s, stream_path);
  std::size_t total = 0;
  std::size_t rejected = 0;
  for (const auto& [target, times] : platform_.arrivals()) {
    const auto known = before.find(target);
    const std::size_t arrived = times.size() - (known == before.end() ? 0 : known->second.size());
    total += arrived;
    rejected += target == head ? arrived : 0;
  }
  // Less than half of the equal share of a head.
  EXPECT_LT(rejected * 2 * platform_.count_serving_replicas(), total);
  EXPECT_EQ(answers.size(), 1U);
  EXPECT_TRUE(answers.contains(200));
}

// Guards against new streams for a head that says that it is leaving while its record says ready.
TEST_F(HostedBackoff, LeavingHeadGetsNoStreams) {
  ASSERT_TRUE(both_nodes_serve());
  const std::string head = platform_.find_member(true);
  platform_.set_behaviour(head, {false, "", true});
  const std::map<int, int> answers = send_load(4s, stream_path);
  EXPECT_EQ(late_arrivals(), 0U);
  EXPECT_EQ(answers.size(), 1U);
  EXPECT_TRUE(answers.contains(200));
}

// Guards against calls to the last instance of a service although it is leaving.
TEST_F(HostedBackoff, LeavingInstanceGetsNoCalls) {
  ASSERT_TRUE(both_nodes_serve());
  platform_.set_behaviour(plain_instance_id, {false, "", true});
  const std::map<int, int> answers = send_load(4s, call_path);
  EXPECT_EQ(late_arrivals(), 0U);
  EXPECT_TRUE(answers.contains(503));
}

// Guards against a notice of one incarnation that excludes the next one.
TEST_F(HostedBackoff, RestartedTargetGetsRequests) {
  ASSERT_TRUE(both_nodes_serve());
  platform_.set_behaviour(plain_instance_id, {false, "", true});
  ASSERT_EQ(ask(0, call_path).result.response.status, 200);
  ASSERT_EQ(ask(0, call_path).result.response.status, 503);
  send_request(1, "/card/poison", "p@edge-1");
  EXPECT_TRUE(eventually([&] { return ask(0, call_path).result.response.status == 200; }));
}

// Guards against values that are no time to wait and yet take a target out of use.
TEST_F(HostedBackoff, UnreadableValuesChangeNothing) {
  ASSERT_TRUE(both_nodes_serve());
  for (const std::string value : {"0", "-1", "nan", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    turn_away(plain_instance_id, value);
    const std::size_t before = arrivals_at(plain_instance_id);
    ask(0, call_path);
    ask(0, call_path);
    EXPECT_EQ(arrivals_at(plain_instance_id) - before, 2U) << value;
  }
}

}  // namespace
}  // namespace arbutus::testing_support
