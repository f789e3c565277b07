// Tests max-min fairness among the workspaces of a node.
#include "admission/workspace_shares.h"

#include <gtest/gtest.h>

#include <array>
#include <cmath>

namespace arbutus {
namespace {

constexpr time_point start{1000s};
const model_key model{service_id{"s"}, model_id{"m"}};
const demand_key key{model, 1};
const workspace_id small{"small"};
const workspace_id large{"large"};

TEST(WorkspaceShares, TheLevelIsMaxMinFair) {
  EXPECT_DOUBLE_EQ(max_min_level(std::array{1.0, 1.0, 10.0}, 0.5), 4);
  EXPECT_DOUBLE_EQ(max_min_level(std::array{4.0, 4.0}, 0.25), 1);
  EXPECT_TRUE(std::isinf(max_min_level(std::array{1.0, 2.0}, 1)));
  EXPECT_TRUE(std::isinf(max_min_level({}, 0.5)));
}

// Guards against a workspace with a small demand that is refused for the excess of another one.
TEST(WorkspaceShares, TheWorkspaceThatAsksForMoreBearsTheRefusals) {
  workspace_shares shares;
  for (int i = 0; i < 200; ++i) {
    shares.count_call(start + i * 100ms, key, small);
    for (int k = 0; k < 5; ++k) {
      shares.count_call(start + i * 100ms, key, large);
    }
  }
  const time_point now = start + 20s;
  EXPECT_EQ(shares.fraction(now, key, small, 0.5), 1);
  EXPECT_NEAR(shares.fraction(now, key, large, 0.5), 0.4, 0.01);
  EXPECT_EQ(shares.fraction(now, key, large, 1), 1);
  // Other priorities are divided on their own.
  EXPECT_EQ(shares.fraction(now, {model, 2}, large, 0.5), 0.5);
}

TEST(WorkspaceShares, IdleWorkspacesAreForgotten) {
  workspace_shares shares;
  shares.count_call(start, key, small);
  shares.count_call(start + 50s, key, large);
  shares.forget_idle(start + 51s);
  EXPECT_EQ(shares.fraction(start + 51s, key, small, 0.5), 0.5);
  EXPECT_EQ(shares.fraction(start + 51s, key, large, 0.5), 0.5);
}

}  // namespace
}  // namespace arbutus
