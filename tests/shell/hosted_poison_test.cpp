// Requests that end the engines which run them, before hosted nodes over real sockets.
#include <algorithm>

#include "hosted_fixture.h"

namespace arbutus::testing_support {
namespace {

constexpr const char* poison_stream = "/llm/poison";
constexpr const char* poison_call = "/card/poison";

// Ends that are allowed before a verdict: that many on each node, if none has heard of the others'.
constexpr int ends_before_verdict = 3;
constexpr int nodes_of_fixture = 2;
// From the last end that a verdict needs until every node refuses the request.
constexpr auto verdict_everywhere = std::chrono::seconds(3);

class HostedPoison : public hosted_fixture {
 protected:
  HostedPoison() : hosted_fixture({.engines_each = 18}) {}

  int ends(const std::string& path) { return platform_.ends()[path]; }

  // The same request again and again, at one node and the other, until `until` says so.
  int come_again(const std::string& path, const std::function<bool()>& until) {
    int visits = 0;
    const time_point limit = soon();
    while (!until() && monotonic_now() < limit) {
      ask(visits % nodes_of_fixture, path, path + "-" + std::to_string(visits));
      ++visits;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return visits;
  }

  // Of visits at both nodes for as long as a replica takes to come back several times.
  int ends_of_late_visits(const std::string& path) {
    std::this_thread::sleep_for(verdict_everywhere);
    const int before = ends(path);
    const time_point from = monotonic_now();
    come_again(path, [&] { return monotonic_now() - from > 3s; });
    return ends(path) - before;
  }
};

TEST_F(HostedPoison, AStreamThatEndsItsEnginesIsSentNoMore) {
  // Symptom: engines end alone, one after the other, for as long as a caller sends one and the same
  // request; each takes along all that it runs.
  ASSERT_TRUE(serves());
  come_again(poison_stream, [&] { return ends(poison_stream) >= ends_before_verdict; });
  EXPECT_EQ(ends_of_late_visits(poison_stream), 0);
  EXPECT_LE(ends(poison_stream), ends_before_verdict * nodes_of_fixture);
}

TEST_F(HostedPoison, ACallThatEndsItsInstancesIsSentNoMore) {
  ASSERT_TRUE(serves());
  come_again(poison_call, [&] { return ends(poison_call) >= ends_before_verdict; });
  EXPECT_EQ(ends_of_late_visits(poison_call), 0);
  EXPECT_LE(ends(poison_call), ends_before_verdict * nodes_of_fixture);
}

}  // namespace
}  // namespace arbutus::testing_support
