// Tests where a request may be served and its body be sent, by regions.
#include "request/allowed_regions.h"

#include <gtest/gtest.h>

#include <vector>

namespace arbutus {
namespace {

using list = std::vector<region_id>;

const region_id east{"east"};
const region_id west{"west"};
const data_centre_id east_1{"east-1"};
const data_centre_id east_2{"east-2"};
const data_centre_id west_1{"west-1"};
const data_centre_id elsewhere{"elsewhere"};
const region_map regions{{east_1, east}, {east_2, east}, {west_1, west}};

TEST(AllowedRegions, WithoutListsEverythingIsAllowed) {
  const allowed_regions all({}, {});
  EXPECT_FALSE(all.is_restricted());
  EXPECT_TRUE(all.allows(regions, west_1));
  EXPECT_TRUE(all.allows(regions, elsewhere));
  EXPECT_TRUE(all.allows_transfer(regions, east_1, elsewhere));
}

TEST(AllowedRegions, ListOfRouteOrWorkspaceRestricts) {
  for (const allowed_regions& only_east :
       {allowed_regions(list{east}, {}), allowed_regions({}, list{east})}) {
    EXPECT_TRUE(only_east.is_restricted());
    EXPECT_TRUE(only_east.allows(regions, east_2));
    EXPECT_FALSE(only_east.allows(regions, west_1));
  }
}

// Guards against a workspace's list that widens that of the route, or the reverse.
TEST(AllowedRegions, BothListsApply) {
  const allowed_regions both(list{east, west}, list{west});
  EXPECT_FALSE(both.allows(regions, east_1));
  EXPECT_TRUE(both.allows(regions, west_1));
}

// Guards against an empty intersection that is taken for no restriction.
TEST(AllowedRegions, ListsWithoutACommonRegionAllowNothing) {
  const allowed_regions none(list{east}, list{west});
  EXPECT_TRUE(none.is_restricted());
  EXPECT_FALSE(none.allows(regions, east_1));
  EXPECT_FALSE(none.allows(regions, west_1));
}

// Guards against a restricted request in a data centre whose region is not configured.
TEST(AllowedRegions, DataCentreWithoutRegionIsNotAllowed) {
  EXPECT_FALSE(allowed_regions(list{east}, {}).allows(regions, elsewhere));
}

// Guards against a body that is handed over to a node in a region that is neither allowed nor that
// of the caller's node.
TEST(AllowedRegions, BodyStaysInTheAllowedRegionsAndTheCallersOwn) {
  const allowed_regions only_west(list{west}, {});
  EXPECT_TRUE(only_west.allows_transfer(regions, east_1, west_1));
  EXPECT_TRUE(only_west.allows_transfer(regions, east_1, east_2));
  EXPECT_FALSE(only_west.allows_transfer(regions, west_1, east_1));
  EXPECT_FALSE(only_west.allows_transfer(regions, east_1, elsewhere));
  // Two data centres without a region share none.
  EXPECT_FALSE(only_west.allows_transfer({}, elsewhere, east_1));
  EXPECT_TRUE(only_west.allows_transfer({}, elsewhere, elsewhere));
}

}  // namespace
}  // namespace arbutus
