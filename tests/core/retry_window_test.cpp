// Tests the budget of retries that all nodes share without communicating.
#include "request/retry_window.h"

#include <gtest/gtest.h>

#include "base/rng.h"

namespace arbutus {
namespace {

TEST(RetryWindow, AllNodesTogetherStayWithinTheBoundInAnyWindow) {
  // Guards against sending a failing service twice its load: requests are spread unevenly over six
  // nodes, every request fails and is retried immediately, and each node takes the entire budget
  // for itself.
  constexpr std::size_t nodes = 6;
  constexpr double ratio = 0.2;
  constexpr double burst = 130;
  std::vector<retry_window> windows(
      nodes, retry_window({.retries_per_request = ratio, .burst = burst, .nodes = nodes}));
  rng random(1);
  std::vector<std::pair<time_point, bool>> sends;  // time of each send, and whether it was a retry
  time_point now{1000s};
  for (int i = 0; i < 20000; ++i) {
    now += 3ms;
    const std::size_t node = std::min<std::size_t>(random.below(nodes), random.below(nodes));
    windows[node].count_first_send(now);
    sends.emplace_back(now, false);
    while (windows[node].take(now)) {
      sends.emplace_back(now, true);
    }
  }
  std::size_t first = 0;
  double requests = 0;
  double retries = 0;
  for (const auto& [at, repeated] : sends) {
    (repeated ? retries : requests) += 1;
    while (sends[first].first <= at - 10s) {
      (sends[first].second ? retries : requests) -= 1;
      ++first;
    }
    ASSERT_LE(retries, ratio * requests + burst);
  }
  EXPECT_GT(retries, 0.5 * ratio * requests);
}

TEST(RetryWindow, IsFullAgainAfterAWindow) {
  retry_window window(
      {.retries_per_request = 0, .burst = 6, .nodes = 1, .usable_budget_fraction = 1});
  const time_point now{50s};
  int taken = 0;
  while (window.take(now)) {
    ++taken;
  }
  EXPECT_EQ(taken, 6);
  EXPECT_FALSE(window.take(now + 9s));
  EXPECT_TRUE(window.take(now + 11s));
}

}  // namespace
}  // namespace arbutus
