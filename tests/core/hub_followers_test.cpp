// Tests which nodes a hub counts as its followers.
#include "admission/hub_followers.h"

#include <gtest/gtest.h>

namespace arbutus {
namespace {

const node_id hub{"hub"};
const node_id other{"other"};
const node_id node{"node"};
constexpr time_point start{1000s};

TEST(FollowedHub, NodeNamesNoHubForAWhileAfterAChange) {
  followed_hub followed;
  followed.update(start, hub);
  EXPECT_EQ(followed.named(start + 499ms), node_id{});
  EXPECT_EQ(followed.named(start + 500ms), hub);
  followed.update(start + 1s, other);
  followed.update(start + 1100ms, hub);
  EXPECT_EQ(followed.named(start + 1599ms), node_id{});
  EXPECT_EQ(followed.named(start + 1600ms), hub);
}

TEST(HubFollowers, NodeThatNamesAnotherHubCountsNoMore) {
  hub_followers followers;
  followers.heard(start, start, node, true);
  EXPECT_EQ(followers.count(start + 200ms, start + 400ms), 1U);
  followers.heard(start + 400ms, start + 400ms, node, false);
  EXPECT_EQ(followers.count(start + 200ms, start + 400ms), 0U);
}

TEST(HubFollowers, NodeCountsOnlyForTimeInWhichItHasFollowed) {
  hub_followers followers;
  followers.heard(start, start, node, true);
  EXPECT_EQ(followers.count(start + 199ms, start + 399ms), 0U);
  EXPECT_EQ(followers.count(start + 200ms, start + 400ms), 1U);
}

TEST(HubFollowers, NodeThatWasHeardBeforeASuspensionOfTheHubDoesNotCount) {
  hub_followers followers;
  followers.heard(start, start, node, true);
  EXPECT_EQ(followers.count(start + 300ms, start + 499ms), 1U);
  EXPECT_EQ(followers.count(start + 300ms, start + 500ms), 0U);
  // A heartbeat that waited meanwhile answers an old stamp.
  followers.heard(start + 100ms, start + 5s, node, true);
  EXPECT_EQ(followers.count(start + 300ms, start + 5s), 0U);
}

TEST(HubFollowers, NodeThatMayHaveFollowedAnotherHubMeanwhileStartsAgain) {
  hub_followers followers;
  followers.heard(start, start, node, true);
  followers.heard(start + 900ms, start + 999ms, node, true);
  EXPECT_EQ(followers.count(start + 800ms, start + 1s), 1U);
  followers.heard(start + 1900ms, start + 1900ms, node, true);
  EXPECT_EQ(followers.count(start + 1900ms, start + 2s), 0U);
}

TEST(HubFollowers, ShareIsZeroUntilTheNodesOfTheDataCentreAreKnown) {
  hub_followers followers;
  followers.heard(start, start, node, true);
  EXPECT_EQ(followers.share(start + 200ms, start + 400ms, 0), 0);
  EXPECT_EQ(followers.share(start + 200ms, start + 400ms, 4), 0.25);
}

}  // namespace
}  // namespace arbutus
