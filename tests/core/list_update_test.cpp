// Tests how a node uses updates of the list of targets.
#include "process/list_update.h"

#include <gtest/gtest.h>

namespace arbutus {
namespace {

feed_update update_of(bool complete, std::uint64_t after, std::uint64_t position) {
  feed_update update;
  update.complete = complete;
  update.after = after;
  update.position = position;
  return update;
}

// Guards against a node that cannot use what its hub sends and still counts as up to date.
TEST(ListUpdate, ChangesAreOfNoUseWithoutTheList) {
  EXPECT_EQ(use_of(update_of(false, 0, 9), false, 5), list_update_use::none);
  EXPECT_EQ(use_of(update_of(false, 5, 9), false, 5), list_update_use::none);
  EXPECT_EQ(use_of(update_of(true, 5, 9), false, 5), list_update_use::replaces);
}

TEST(ListUpdate, ChangesExtendAListThatReachesThem) {
  EXPECT_EQ(use_of(update_of(false, 0, 9), true, 0), list_update_use::extends);
  EXPECT_EQ(use_of(update_of(false, 5, 9), true, 7), list_update_use::extends);
  EXPECT_EQ(use_of(update_of(false, 8, 9), true, 7), list_update_use::none);
}

TEST(ListUpdate, AWholeListReplacesAnOlderOne) {
  EXPECT_EQ(use_of(update_of(true, 0, 9), true, 8), list_update_use::replaces);
  EXPECT_EQ(use_of(update_of(true, 0, 9), true, 9), list_update_use::extends);
}

}  // namespace
}  // namespace arbutus
