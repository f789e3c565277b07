// Tests the set of evacuated data centres against rows that arrive late, twice or incompletely.
#include "process/evacuations.h"

#include <gtest/gtest.h>

#include "process/store_version.h"

namespace arbutus {
namespace {

using absent_rows = evacuations::absent_rows;
using names = std::vector<data_centre_id>;

const data_centre_id north{"north"};
const data_centre_id south{"south"};

evacuations of_two() {
  return evacuations({north, south});
}

TEST(Evacuations, AreBegunAndLiftedIndependently) {
  evacuations set = of_two();
  EXPECT_EQ(set.apply({{north, 5}, {south, 6}}).begun, (names{north, south}));
  EXPECT_EQ(set.apply({{north, 7, true}}).lifted, names{north});
  EXPECT_FALSE(set.is_evacuated(north));
  EXPECT_TRUE(set.is_evacuated(south));
  EXPECT_EQ(set.apply({{north, 8}}).begun, names{north});
  EXPECT_EQ(set.all().size(), 2U);
}

// Guards against an evacuation that a late row of the hub lifts, or a lifted one that it sets.
TEST(Evacuations, OlderRowsHaveNoEffect) {
  evacuations set = of_two();
  set.apply({{north, 9}, {south, 10, true}});
  const evacuation_changes late = set.apply({{north, 8, true}, {south, 7}, {north, 9}});
  EXPECT_TRUE(late.begun.empty());
  EXPECT_TRUE(late.lifted.empty());
  EXPECT_TRUE(set.is_evacuated(north));
  EXPECT_FALSE(set.is_evacuated(south));
}

// Guards against an evacuation that stays after its removal was lost with the history.
TEST(Evacuations, WholeTableLiftsWhatItLacks) {
  evacuations set = of_two();
  set.apply({{north, 5}, {south, 6}});
  EXPECT_EQ(set.replace({{south, 6}}, 9, absent_rows::lifted).lifted, names{north});
  EXPECT_TRUE(set.is_evacuated(south));
  // A row of before the removal arrives late.
  EXPECT_TRUE(set.apply({{north, 5}}).begun.empty());
}

// Guards against a whole table of the hub that is older than a row read from the store.
TEST(Evacuations, WholeTableKeepsNewerRows) {
  evacuations set = of_two();
  set.apply({{north, 12}});
  EXPECT_TRUE(set.replace({}, 9, absent_rows::lifted).lifted.empty());
  EXPECT_TRUE(set.is_evacuated(north));
}

// Guards against requests to an evacuated data centre after a restored store has lost the row.
TEST(Evacuations, RestoredTableLiftsOnlyOnceSettled) {
  evacuations set = of_two();
  set.apply({{north, store_version(1, 50)}});
  const std::uint64_t position = store_version(2, 20);
  EXPECT_TRUE(set.replace({}, position, absent_rows::kept_if_restored).lifted.empty());
  EXPECT_TRUE(set.is_evacuated(north));
  EXPECT_TRUE(set.has_rows_before_era(2));
  EXPECT_EQ(set.replace({}, position + 1, absent_rows::lifted).lifted, names{north});
  EXPECT_FALSE(set.has_rows_before_era(2));
}

// Guards against an evacuation whose removal in a restored store is ignored for its low number.
TEST(Evacuations, RowsOfALaterEraAreNewer) {
  evacuations set = of_two();
  set.apply({{north, store_version(1, 50)}});
  EXPECT_EQ(set.apply({{north, store_version(2, 3), true}}).lifted, names{north});
}

// Guards against a removal that is lost while the store is restored and unsettled: in the same era
// a row that the table lacks was removed.
TEST(Evacuations, UnsettledTableLiftsRowsOfItsOwnEra) {
  evacuations set = of_two();
  set.apply({{north, store_version(2, 3)}});
  const auto changes = set.replace({}, store_version(2, 9), absent_rows::kept_if_restored);
  EXPECT_EQ(changes.lifted, names{north});
}

TEST(Evacuations, UnknownDataCentresAreOnlyReported) {
  evacuations set = of_two();
  EXPECT_EQ(set.apply({{data_centre_id{"nowhere"}, 5}}).unknown.size(), 1U);
  EXPECT_TRUE(set.is_empty());
  // The row is reported once, not each time that it arrives.
  EXPECT_TRUE(set.apply({{data_centre_id{"nowhere"}, 5}}).unknown.empty());
  EXPECT_TRUE(set.replace({}, 9, absent_rows::lifted).lifted.empty());
}

// Guards against a node that sends requests before it has read which data centres are evacuated.
TEST(Evacuations, AreKnownOnceTheWholeTableWasRead) {
  evacuations set = of_two();
  set.apply({{north, 5}});
  EXPECT_FALSE(set.is_known());
  set.replace({}, 6, absent_rows::lifted);
  EXPECT_TRUE(set.is_known());
}

}  // namespace
}  // namespace arbutus
