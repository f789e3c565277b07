// Whole lists to many nodes.
#include "process/list_budget.h"

#include <gtest/gtest.h>

namespace arbutus {
namespace {

TEST(ListBudget, ASmallListGoesToAll) {
  // Six nodes before 57 targets.
  list_budget budget(20);
  budget.begin_round();
  for (int node = 0; node < 6; ++node) {
    EXPECT_TRUE(budget.take(25'000));
  }
}

TEST(ListBudget, ALargeListGoesToOneNodeARound) {
  // Symptom: a hub's link is full for seconds after a start, and news of leaving targets are late.
  // Sequence: 59 nodes read the list before their hub did, and are behind it. Cause: each is passed
  // the whole list in every beat until it says that it has it.
  list_budget budget(20);
  for (int round = 0; round < 3; ++round) {
    budget.begin_round();
    int passed = 0;
    for (int node = 0; node < 59; ++node) {
      passed += budget.take(1'300'000) ? 1 : 0;
    }
    EXPECT_EQ(passed, 1);
  }
}

TEST(ListBudget, AStrongLinkPassesOnToMoreNodesARound) {
  // 100 nodes are given a list of 120 KB each within a second, by a hub with 200 Mbit/s.
  list_budget budget(200);
  int passed = 0;
  for (int round = 0; round < 5; ++round) {
    budget.begin_round();
    for (int node = 0; node < 100; ++node) {
      passed += budget.take(120'000) ? 1 : 0;
    }
  }
  EXPECT_GE(passed, 100);
}

}  // namespace
}  // namespace arbutus
