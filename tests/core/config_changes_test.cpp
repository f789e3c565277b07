// Tests the differences between configurations that an operator is shown after a conflicting
// change.
#include "version/config_changes.h"

#include <gmock/gmock.h>

#include "version/configuration.h"

namespace arbutus {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

struct texts {
  inventory assets;
  rules desired;
  [[nodiscard]] std::string content() const { return encode_content(assets, desired); }
};

texts example() {
  texts t;
  t.assets.data_centres = {{data_centre_id{"a"}, "lab"}, {data_centre_id{"b"}, "lab"}};
  t.desired.classes.resize(2);
  t.desired.classes[0].name = "interactive";
  t.desired.classes[1].name = "batch";
  return t;
}

TEST(ConfigChanges, NothingBetweenEqualContents) {
  EXPECT_THAT(changes_between(example().content(), example().content()), IsEmpty());
}

TEST(ConfigChanges, NamesTheRecordAndTheField) {
  texts after = example();
  after.desired.classes[1].priority = 7;
  EXPECT_THAT(changes_between(example().content(), after.content()),
              ElementsAre("rules classes batch priority: 0 -> 7"));
}

TEST(ConfigChanges, ReorderedRecordsAreNoChange) {
  texts after = example();
  std::swap(after.desired.classes[0], after.desired.classes[1]);
  EXPECT_THAT(changes_between(example().content(), after.content()), IsEmpty());
}

TEST(ConfigChanges, AddedAndRemovedRecords) {
  texts after = example();
  after.assets.data_centres[1].id = data_centre_id{"c"};
  EXPECT_THAT(changes_between(example().content(), after.content()),
              ElementsAre("inventory data_centres b: removed", "inventory data_centres c: added"));
}

TEST(ConfigChanges, CountsLinesBeyondTheLimit) {
  texts after = example();
  after.assets.data_centres.clear();
  EXPECT_THAT(changes_between(example().content(), after.content(), 1),
              ElementsAre("inventory data_centres a: removed", "and 1 more"));
}

TEST(ConfigChanges, UnreadableTextsGiveNoChanges) {
  EXPECT_THAT(changes_between("{", example().content()), IsEmpty());
}

}  // namespace
}  // namespace arbutus
