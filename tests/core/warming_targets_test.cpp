// Tests until when a target is assumed to be cold, by what a node learns of it.
#include "admission/warming_targets.h"

#include <gtest/gtest.h>

namespace arbutus {
namespace {

const target_id target{"i-7~1"};
const data_centre_id home{"eu-1"};
constexpr time_point start{1000s};
constexpr warmup_limit limit{3s, 14};

class WarmingTargets : public testing::Test {
 protected:
  WarmingTargets() { update(start, {}); }

  // An update in which only the target is observed, if it is.
  void update(time_point now, const std::optional<warmup_observation>& seen) {
    update(now, now, seen);
  }
  void update(time_point now, time_point informed_at,
              const std::optional<warmup_observation>& seen) {
    warming_.begin_update(now, informed_at, traffic_seen_);
    if (seen) {
      warming_.observe(now, target, *seen);
    }
    warming_.end_update();
  }
  static warmup_observation seen_with(std::uint64_t version, duration left_by_record,
                                      time_point requested_at) {
    return {home, limit, false, version, left_by_record, requested_at, false};
  }
  [[nodiscard]] bool is_warming(time_point now) const { return warming_.is_warming(now, target); }

  warming_targets warming_;
  bool traffic_seen_ = true;
};

TEST_F(WarmingTargets, NewIncarnationDuringTrafficIsColdForTheConfiguredTime) {
  update(start + 1s, seen_with(1, 0s, start));
  EXPECT_TRUE(is_warming(start + 3999ms));
  EXPECT_FALSE(is_warming(start + 4s));
}

TEST_F(WarmingTargets, TargetThatStartsBeforeTrafficIsWarm) {
  traffic_seen_ = false;
  update(start + 1s, seen_with(1, 0s, start));
  EXPECT_FALSE(is_warming(start + 1s));
  traffic_seen_ = true;
  update(start + 2s, seen_with(1, 0s, start));
  EXPECT_FALSE(is_warming(start + 2s));
}

TEST(WarmingTargetsAtStart, TargetsOfTheFirstUpdateAreColdOnlyByTheirRecords) {
  warming_targets warming;
  const target_id cold{"i-8~1"};
  warming.begin_update(start, start, true);
  warming.observe(start, target, {home, limit, false, 1, 0s, start, false});
  warming.observe(start, cold, {home, limit, false, 1, 2s, start - 1s, false});
  warming.end_update();
  EXPECT_FALSE(warming.is_warming(start, target));
  EXPECT_TRUE(warming.is_warming(start + 1999ms, cold));
  EXPECT_FALSE(warming.is_warming(start + 2s, cold));
}

TEST_F(WarmingTargets, OlderInformationDoesNotShortenTheColdTime) {
  update(start + 1s, seen_with(1, 0s, start));
  // The query for this record was sent before the target was seen.
  update(start + 2s, seen_with(2, 500ms, start + 900ms));
  EXPECT_TRUE(is_warming(start + 3900ms));
  // This one was sent later.
  update(start + 2500ms, seen_with(3, 500ms, start + 2100ms));
  EXPECT_FALSE(is_warming(start + 3100ms));
}

TEST_F(WarmingTargets, OlderInformationExtendsTheColdTime) {
  update(start + 1s, seen_with(1, 0s, start));
  update(start + 2s, seen_with(2, 9s, start));
  EXPECT_TRUE(is_warming(start + 10900ms));
}

TEST_F(WarmingTargets, RecordThatSaysNothingDoesNotEndTheColdTime) {
  update(start + 1s, seen_with(1, 0s, start));
  update(start + 2s, seen_with(2, 0s, start + 1900ms));
  EXPECT_TRUE(is_warming(start + 3900ms));
}

TEST_F(WarmingTargets, ResponseEndsTheColdTimeIfItsRequestWasSentLater) {
  update(start + 1s, seen_with(1, 0s, start));
  warming_.on_response(start + 900ms, start + 1100ms, target, 0s);
  EXPECT_TRUE(is_warming(start + 1100ms));
  warming_.on_response(start + 1100ms, start + 1200ms, target, 0s);
  EXPECT_FALSE(is_warming(start + 1200ms));
}

TEST_F(WarmingTargets, TargetThatAnswersAgainIsColdUnlessANewRecordSaysOtherwise) {
  warmup_observation seen = seen_with(1, 0s, start);
  update(start + 1s, seen);
  seen.lost = true;
  update(start + 10s, seen);
  seen.lost = false;
  update(start + 11s, seen);
  EXPECT_TRUE(is_warming(start + 13900ms));
  EXPECT_FALSE(is_warming(start + 14s));
  seen.lost = true;
  update(start + 20s, seen);
  update(start + 21s, seen_with(2, 0s, start + 20500ms));
  EXPECT_FALSE(is_warming(start + 21s));
}

TEST_F(WarmingTargets, EvacuationThatEndsTurnsItsDataCentreCold) {
  update(start + 1s, seen_with(1, 0s, start));
  warming_.data_centre_turned_cold(start + 10s, data_centre_id{"eu-2"});
  EXPECT_FALSE(is_warming(start + 10s));
  warming_.data_centre_turned_cold(start + 10s, home);
  EXPECT_TRUE(is_warming(start + 12900ms));
  EXPECT_FALSE(is_warming(start + 13s));
}

TEST_F(WarmingTargets, NodeWithoutInformationDoesNotTrustATargetThatItSeesFirst) {
  traffic_seen_ = false;
  update(start + 2s, start, seen_with(1, 0s, start));
  EXPECT_TRUE(is_warming(start + 30s));
  warming_.note_informed(start + 30s);
  EXPECT_FALSE(is_warming(start + 30s));
}

TEST_F(WarmingTargets, NodeWithoutInformationContinuesToUseTargetsThatItKnows) {
  traffic_seen_ = false;
  update(start + 1s, seen_with(1, 0s, start));
  update(start + 20s, start + 1s, seen_with(1, 0s, start));
  EXPECT_FALSE(is_warming(start + 20s));
}

// Guards against an assumption that two nodes extend by the delay of each heartbeat, forever.
TEST_F(WarmingTargets, ReportIsNotReturnedToWhereItCameFrom) {
  using to = warming_targets::recipient;
  traffic_seen_ = false;
  update(start + 1s, seen_with(1, 0s, start));
  EXPECT_TRUE(warming_.updates_for(start + 1s, to::own_node).empty());
  warming_.received(start + 1s, start + 1s, false, {target, 2s, 0s, 0});
  EXPECT_TRUE(warming_.updates_for(start + 1s, to::own_hub).empty());
  EXPECT_EQ(warming_.updates_for(start + 1s, to::other_hub).size(), 1U);
  EXPECT_EQ(warming_.updates_for(start + 1s, to::own_node).size(), 1U);
  warming_.received(start + 1s, start + 1s, true, {target, 5s, 0s, 0});
  EXPECT_TRUE(warming_.updates_for(start + 1s, to::own_hub).empty());
  EXPECT_TRUE(warming_.updates_for(start + 1s, to::other_hub).empty());
  EXPECT_EQ(warming_.updates_for(start + 1s, to::own_node).front(),
            (warming_update{target, 5s, 0s, 0}));
}

TEST_F(WarmingTargets, GrantExpiresAtAFixedAgeAndCountsOnce) {
  update(start + 1s, seen_with(1, 0s, start));
  warming_.granted(start + 1s, target, 2);
  EXPECT_TRUE(warming_.use_grant(start + 1100ms, target));
  EXPECT_TRUE(warming_.has_grant(start + 1599ms, target));
  EXPECT_FALSE(warming_.has_grant(start + 1600ms, target));
  EXPECT_FALSE(warming_.use_grant(start + 1600ms, target));
  const auto counts = warming_.take_grant_counts(start + 2s);
  EXPECT_EQ(counts.received, 2U);
  EXPECT_EQ(counts.used, 1U);
  EXPECT_EQ(counts.expired, 1U);
}

TEST_F(WarmingTargets, EachChangeIsReturnedOnce) {
  update(start + 1s, seen_with(1, 0s, start));
  const auto began = warming_.take_changes(start + 1s);
  ASSERT_EQ(began.size(), 1U);
  EXPECT_TRUE(began.front().warming);
  EXPECT_EQ(began.front().evidence, warmup_evidence::new_incarnation);
  EXPECT_TRUE(warming_.take_changes(start + 2s).empty());
  const auto ended = warming_.take_changes(start + 4s);
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_FALSE(ended.front().warming);
  EXPECT_EQ(ended.front().time, 3s);
}

// Guards against a pause of some seconds whenever a replica of warm engines forms: a node that
// knows only the serving replicas sees its head for the first time.
TEST_F(WarmingTargets, TargetOfAHubsRowIsColdOnlyIfTheHubReportsIt) {
  update(start + 1s, warmup_observation{home, limit, false, 1, {}, start, true});
  EXPECT_FALSE(is_warming(start + 1s));
  warming_.received(start + 1s, start + 1s, true, {target, 2s, 0s, 0});
  EXPECT_TRUE(is_warming(start + 2900ms));
}

TEST_F(WarmingTargets, TargetThatIsGoneIsForgotten) {
  update(start + 1s, seen_with(1, 0s, start));
  update(start + 2s, {});
  EXPECT_TRUE(warming_.is_empty());
}

}  // namespace
}  // namespace arbutus
