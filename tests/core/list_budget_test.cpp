// Tests the limit on the full lists of targets that a hub sends to its nodes, which must not
// saturate its link.
#include "process/list_budget.h"

#include <gtest/gtest.h>

namespace arbutus {
namespace {

TEST(ListBudget, SmallListIsSentToAllNodes) {
  // A hub sends a full list of 57 targets to six nodes.
  list_budget budget(20);
  budget.begin_round();
  for (int node = 0; node < 6; ++node) {
    EXPECT_TRUE(budget.try_spend(25'000));
  }
}

TEST(ListBudget, LargeListIsSentToOneNodePerRound) {
  // Guards against a hub whose link is saturated for seconds after a start, so that updates about
  // leaving targets are late: 59 nodes read the list before their hub and are behind it, and the
  // hub sends each the full list in every heartbeat until the node acknowledges it.
  list_budget budget(20);
  for (int round = 0; round < 3; ++round) {
    budget.begin_round();
    int sent = 0;
    for (int node = 0; node < 59; ++node) {
      sent += budget.try_spend(1'300'000) ? 1 : 0;
    }
    EXPECT_EQ(sent, 1);
  }
}

TEST(ListBudget, FastLinkSendsToMoreNodesPerRound) {
  // A hub with 200 Mbit/s sends a list of 120 KB to each of 100 nodes within a second.
  list_budget budget(200);
  int sent = 0;
  for (int round = 0; round < 5; ++round) {
    budget.begin_round();
    for (int node = 0; node < 100; ++node) {
      sent += budget.try_spend(120'000) ? 1 : 0;
    }
  }
  EXPECT_GE(sent, 100);
}

}  // namespace
}  // namespace arbutus
