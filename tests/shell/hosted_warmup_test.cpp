// Tests two nodes on the hosted platform whose targets are cold after a start during traffic.
#include "hosted_fixture.h"

namespace arbutus::testing_support {
namespace {

constexpr double cold_per_s = 14;
constexpr duration warmup = 3s;

class HostedWarmup : public hosted_fixture {
 protected:
  HostedWarmup() : hosted_fixture({.warmup_s = to_seconds(warmup), .cold_per_s = cold_per_s}) {}

  // Four callers send requests 10 ms apart for the given time; returns how often each HTTP status
  // occurred.
  std::map<int, int> send_load(duration time) {
    const std::string round = std::to_string(++rounds_);
    return count_statuses(4, time, 10ms, [&](std::size_t caller, int number) {
      const std::string id =
          "q" + round + "-" + std::to_string(caller) + "-" + std::to_string(number);
      return send_request(caller % 2, "/card/1", id).response.status;
    });
  }

  [[nodiscard]] std::vector<time_point> arrivals_between(time_point from, time_point until) const {
    std::vector<time_point> result;
    for (const time_point at : platform_.arrivals().at(standin::plain_instance_id)) {
      if (at > from && at < until) {
        result.push_back(at);
      }
    }
    return result;
  }

  int rounds_ = 0;
};

// Guards against a crash of a target that starts under load: without the limit 890 requests
// reached it in a second.
TEST_F(HostedWarmup, TargetThatStartsUnderLoadGetsWhatItBears) {
  ASSERT_TRUE(both_nodes_serve());
  const time_point before = monotonic_now();
  send_load(500ms);
  // The target was there before traffic, and so is not limited.
  EXPECT_GT(arrivals_between(before, monotonic_now()).size(), 2 * cold_per_s);

  const time_point crashed = monotonic_now();
  send_request(0, "/card/poison", "crash");
  const std::map<int, int> answers = send_load(warmup);
  EXPECT_TRUE(answers.contains(200));
  EXPECT_TRUE(answers.contains(503));
  const std::vector<time_point> arrivals = arrivals_between(crashed + 100ms, monotonic_now());
  std::size_t most = 0;
  for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
    const auto last = std::upper_bound(first, arrivals.end(), *first + 1s);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  // The nodes of the fixture have neither an overage nor a tolerance.
  EXPECT_LE(most, static_cast<std::size_t>(cold_per_s));
  EXPECT_GT(most, 0U);
  RecordProperty("most", static_cast<int>(most));

  EXPECT_TRUE(eventually([&] {
    const std::map<int, int> later = send_load(500ms);
    return later.size() == 1 && later.contains(200);
  }));
}

}  // namespace
}  // namespace arbutus::testing_support
