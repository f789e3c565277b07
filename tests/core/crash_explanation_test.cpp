// Tests which requests are accepted as causes of the ends of targets.
#include "process/crash_explanation.h"

#include <gtest/gtest.h>

#include <string>

namespace arbutus {
namespace {

constexpr time_point start{1000s};
constexpr duration run_exposure = 500ms;

// Ends at these moments, each of another target, while `live` targets are in use.
std::vector<observed_end> ends_at(const std::vector<duration>& moments, double live) {
  std::vector<observed_end> ends;
  for (const duration moment : moments) {
    ends.push_back({target_id{"i-" + std::to_string(ends.size())}, start + moment, live});
  }
  return ends;
}

TEST(CrashExplanation, ALoneSuspectOfAllEndsIsTheCause) {
  const auto ends = ends_at({0s, 1s, 2s, 3s}, 13);
  const auto causes = find_causes(ends, {{0, 1, 2, 3}}, run_exposure);
  ASSERT_EQ(causes.size(), 1U);
  EXPECT_EQ(causes.front().suspect, 0U);
}

// Guards against an accusation in a burst: a request was cut off by four of nine ends in a row.
TEST(CrashExplanation, ASuspectOfSomeEndsInABurstIsNoCause) {
  const auto ends = ends_at({0ms, 200ms, 400ms, 600ms, 800ms, 1000ms, 1200ms, 1400ms, 1600ms}, 7);
  EXPECT_TRUE(find_causes(ends, {{1, 3, 5, 7}}, run_exposure).empty());
  // Nor is any of two that explain most of the burst between them.
  EXPECT_TRUE(find_causes(ends, {{1, 3, 5, 7}, {0, 2, 4, 6, 8}}, run_exposure).empty());
}

// Guards against poison requests that hide each other: each explains a third of the ends.
TEST(CrashExplanation, SuspectsThatExplainAllEndsTogetherAreTheCauses) {
  std::vector<duration> moments;
  std::vector<std::vector<std::size_t>> ends_of_suspects(3);
  for (std::size_t i = 0; i < 18; ++i) {
    moments.push_back(static_cast<std::int64_t>(i) * 400ms);
    ends_of_suspects[i % 3].push_back(i);
  }
  const auto ends = ends_at(moments, 8);
  EXPECT_EQ(find_causes(ends, ends_of_suspects, run_exposure).size(), 3U);
  // A request that ran beside them explains nothing that they do not.
  ends_of_suspects.push_back({0, 4, 8, 12});
  EXPECT_EQ(find_causes(ends, ends_of_suspects, run_exposure).size(), 3U);
}

}  // namespace
}  // namespace arbutus
