// The budget of repeated sends that all nodes share without asking each other.
#include "request/retry_window.h"

#include <gtest/gtest.h>

#include "base/rng.h"

namespace arbutus {
namespace {

TEST(RetryWindow, AllNodesTogetherStayWithinTheBoundInAnyWindow) {
  // Symptom: a service that fails is sent twice its load. Sequence: six nodes, requests spread
  // unevenly, every request fails and wants to be sent again at once. Cause: each node counts alone
  // and takes the whole budget.
  constexpr std::size_t nodes = 6;
  constexpr double ratio = 0.2;
  constexpr double burst = 130;
  std::vector<retry_window> windows(nodes,
                                    retry_window({.ratio = ratio, .burst = burst, .nodes = nodes}));
  rng random(1);
  std::vector<std::pair<time_point, bool>> sends;  // time, repeated
  time_point now{1000s};
  for (int i = 0; i < 20000; ++i) {
    now += 3ms;
    const std::size_t node = std::min<std::size_t>(random.below(nodes), random.below(nodes));
    windows[node].first_send(now);
    sends.emplace_back(now, false);
    while (windows[node].take(now)) {
      sends.emplace_back(now, true);
    }
  }
  std::size_t first = 0;
  double requests = 0;
  double repeats = 0;
  for (const auto& [at, repeated] : sends) {
    (repeated ? repeats : requests) += 1;
    while (sends[first].first <= at - 10s) {
      (sends[first].second ? repeats : requests) -= 1;
      ++first;
    }
    ASSERT_LE(repeats, ratio * requests + burst);
  }
  EXPECT_GT(repeats, 0.5 * ratio * requests);
}

TEST(RetryWindow, IsFullAgainAfterAWindow) {
  retry_window window({.ratio = 0, .burst = 6, .nodes = 1, .used = 1});
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
