// Tests the order of the store's versions across its restores, and the merge of a restored list.
#include "process/store_version.h"

#include <gtest/gtest.h>

#include "process/feed_log.h"
#include "process/fleet_view.h"

namespace arbutus {
namespace {

const time_point start{100s};

TEST(StoreVersion, IsOrderedByEraFirst) {
  EXPECT_EQ(store_version(first_store_era, 312), 312U);
  EXPECT_GT(store_version(2, 1), store_version(1, max_store_number));
  EXPECT_GT(store_version(2, 313), store_version(2, 312));
  EXPECT_EQ(era_of(store_version(7, 312)), 7U);
  EXPECT_EQ(number_of(store_version(7, 312)), 312U);
  EXPECT_EQ(era_of(store_version(max_store_era + 5, 1)), max_store_era);
  EXPECT_EQ(era_of(0), first_store_era);
}

// Guards against a hub that sends only changes to a node whose position is of an earlier era.
TEST(StoreVersion, PositionOfAnEarlierEraNeedsAllRows) {
  feed_log log;
  log.replace({{"a", "1", store_version(1, 300), false}}, store_version(1, 310));
  log.replace({{"a", "0", store_version(2, 250), false}}, store_version(2, 290));
  EXPECT_TRUE(log.needs_snapshot(store_version(1, 310)));
  EXPECT_EQ(log.since(store_version(1, 310)).front().value, "0");
  EXPECT_TRUE(log.since(store_version(2, 290)).empty());
}

class RestoredList : public ::testing::Test {
 protected:
  static target_record record(const std::string& id, std::uint16_t port) {
    target_record result;
    result.id = target_id{id};
    result.service = service_id{"tablets"};
    result.address = {"10.0.0.7", port};
    return result;
  }
  static constexpr std::uint64_t known_row = store_version(1, 300);
  static constexpr std::uint64_t copied_row = store_version(2, 200);

  [[nodiscard]] bool is_in_use(const std::string& id) const {
    const target_view* view = fleet_.find(target_id{id});
    return view != nullptr && view->listed && !view->record.draining;
  }

  fleet_view fleet_;
};

// Guards against requests to a target that said that it is leaving after the copy was made.
TEST_F(RestoredList, LeavingTargetStaysLeaving) {
  target_record leaving = record("i-1", 1);
  leaving.draining = true;
  fleet_.apply_record(start, leaving, known_row);
  fleet_.merge_restored(start + 1s, {{record("i-1", 1), copied_row}});
  EXPECT_FALSE(is_in_use("i-1"));
}

// Guards against requests to a target whose leaving is in the list, but was not known here.
TEST_F(RestoredList, TargetThatLeavesInTheListIsLeaving) {
  fleet_.apply_record(start, record("i-1", 1), known_row);
  target_record leaving = record("i-1", 1);
  leaving.draining = true;
  fleet_.merge_restored(start + 1s, {{leaving, copied_row}});
  EXPECT_FALSE(is_in_use("i-1"));
}

// Guards against requests to a target that has ended since the copy was made.
TEST_F(RestoredList, UnlistedTargetStaysUnlistedUntilTheListHasSettled) {
  fleet_.apply_record(start, record("i-1", 1), known_row);
  fleet_.mark_unlisted(start, target_id{"i-1"});
  fleet_.merge_restored(start + 1s, {{record("i-1", 1), copied_row}});
  EXPECT_FALSE(is_in_use("i-1"));
  fleet_.replace_all(start + 4s, {{record("i-1", 1), copied_row}});
  EXPECT_TRUE(is_in_use("i-1"));
}

// Guards against a loss of all targets that were listed after the copy was made.
TEST_F(RestoredList, MissingTargetStaysListedUntilTheListHasSettled) {
  fleet_.apply_record(start, record("i-1", 1), known_row);
  fleet_.merge_restored(start + 1s, {{record("i-2", 2), copied_row}});
  EXPECT_TRUE(is_in_use("i-1"));
  EXPECT_TRUE(is_in_use("i-2"));
  fleet_.replace_all(start + 4s, {{record("i-2", 2), copied_row}});
  EXPECT_FALSE(is_in_use("i-1"));
}

// Guards against a new hub that knows only what serves, and would keep records without the models
// that targets have staged.
TEST_F(RestoredList, RecordsAreCompletedAndMembershipsKept) {
  target_record serving = record("i-1", 1);
  serving.member_of = membership{{"g7", 2}, 0, member_state::open};
  fleet_.apply_record(start, serving);
  target_record copied = record("i-1", 1);
  copied.staged = {model_id{"large"}};
  fleet_.merge_restored(start + 1s, {{copied, copied_row}});
  const target_view& view = *fleet_.find(target_id{"i-1"});
  EXPECT_EQ(view.record.staged, copied.staged);
  EXPECT_EQ(view.record.member_of, serving.member_of);
  EXPECT_TRUE(view.ambiguous);
}

// Guards against an ended incarnation, or an ended owner of an address, that comes back with the
// copy and takes the place of a target that works.
TEST_F(RestoredList, EndedTargetsDoNotReplaceThoseThatWork) {
  fleet_.apply_record(start, record("i-1~20", 1), known_row);
  fleet_.apply_record(start, record("i-3", 3), known_row);
  fleet_.merge_restored(start + 1s,
                        {{record("i-1~10", 1), copied_row}, {record("i-2", 3), copied_row}});
  EXPECT_TRUE(is_in_use("i-1~20"));
  EXPECT_TRUE(is_in_use("i-3"));
  EXPECT_EQ(fleet_.find(target_id{"i-1~10"}), nullptr);
  EXPECT_EQ(fleet_.find(target_id{"i-2"}), nullptr);
}

}  // namespace
}  // namespace arbutus
