// Tests engines that restart under the same name: the state of one incarnation does not apply to
// the next.
#include "process/target_incarnation.h"

#include <gtest/gtest.h>

#include "process/fleet_view.h"
#include "process/rejecting_heads.h"
#include "process/replica_name.h"
#include "request/replica_choice.h"

namespace arbutus {
namespace {

constexpr time_point start{1h};
const target_id first = incarnation_of("i-7", 1000);
// The start time is lower, as after the wall clock was set back.
const target_id second = incarnation_of("i-7", 400);
const target_id third = incarnation_of("i-7", 2000);

target_record record_of(const target_id& incarnation) {
  target_record record;
  record.id = incarnation;
  record.service = service_id{"s"};
  record.address = {"10.0.0.7", 9000};
  record.loaded = model_id{"m"};
  return record;
}

TEST(TargetIncarnation, NamesTheEngineAndItsStart) {
  EXPECT_EQ(engine_of(first), "i-7");
  EXPECT_NE(first, second);
  EXPECT_EQ(engine_of(incarnation_of("i-7", std::nullopt)), "i-7");
  EXPECT_TRUE(is_engine_name("i-7f3a_91C2"));
  for (const char* odd : {"", "a~1", "a.b", "a b", "a\nb", "\xff"}) {
    EXPECT_FALSE(is_engine_name(odd)) << odd;
  }
  EXPECT_FALSE(is_engine_name(std::string(max_engine_name_length + 1, 'a')));
}

TEST(TargetIncarnation, NewIncarnationReplacesThePreviousOne) {
  // Guards against a restarted engine that stays marked as lost for seconds, because the loss is
  // stored by engine name and not by incarnation.
  fleet_view fleet;
  fleet.apply_record(start, record_of(first));
  fleet.probe_failed(start, first);
  fleet.probe_failed(start, first);
  ASSERT_TRUE(fleet.find(first)->lost);
  const std::uint64_t before = fleet.revision();
  EXPECT_TRUE(fleet.apply_record(start + 1s, record_of(second)));
  EXPECT_EQ(fleet.find(first), nullptr);
  ASSERT_NE(fleet.find(second), nullptr);
  EXPECT_FALSE(fleet.find(second)->lost);
  EXPECT_GT(fleet.revision(), before);
  EXPECT_EQ(fleet.current_incarnation("i-7"), second);
}

TEST(TargetIncarnation, LateDataOfAnEndedIncarnationIsIgnored) {
  // Guards against routing to a replica that no longer exists: a late record of the previous
  // incarnation arrives after the record of the new one.
  fleet_view fleet;
  fleet.apply_record(start, record_of(first));
  fleet.apply_record(start + 1s, record_of(second));
  target_record late = record_of(first);
  late.member_of = membership{{"r", 1}, 0, member_state::open};
  EXPECT_FALSE(fleet.apply_record(start + 2s, late));
  EXPECT_EQ(fleet.current_incarnation("i-7"), second);
  EXPECT_TRUE(serving_replicas(fleet, service_id{"s"}, model_id{"m"}, 1).empty());
  // Responses of the ended incarnation, and failed probes of it, do not change the state of the new
  // one either.
  EXPECT_FALSE(fleet.apply_answer(start + 3s, start + 3s, second, {first, late.member_of, {}, 1}));
  fleet.probe_failed(start + 3s, first);
  fleet.probe_failed(start + 3s, first);
  EXPECT_EQ(fleet.current_incarnation("i-7"), second);
  EXPECT_FALSE(fleet.find(second)->lost);
  EXPECT_FALSE(fleet.find(second)->record.member_of);
}

TEST(TargetIncarnation, ResponseRevealsANewIncarnationBeforeTheList) {
  fleet_view fleet;
  target_record record = record_of(first);
  record.member_of = membership{{"r", 1}, 0, member_state::open};
  fleet.apply_record(start, record);
  EXPECT_FALSE(fleet.apply_answer(start + 1s, start + 800ms, first, {second, std::nullopt, {}, 1}));
  ASSERT_NE(fleet.find(second), nullptr);
  EXPECT_EQ(fleet.find(second)->record.address, record.address);
  EXPECT_FALSE(fleet.find(second)->record.member_of);
  EXPECT_EQ(fleet.find(first), nullptr);
}

TEST(TargetIncarnation, ResponseOlderThanTheNewestIncarnationIsDropped) {
  // Guards against an engine that is known by an ended incarnation forever: it is queried and
  // responds as its second incarnation, but the record of its third arrives before that response.
  // An unknown incarnation is not necessarily the newest.
  fleet_view fleet;
  fleet.apply_record(start, record_of(first));
  const time_point queried_at = start + 1s;
  fleet.apply_record(start + 1100ms, record_of(third));
  EXPECT_FALSE(fleet.apply_answer(queried_at, queried_at, third, {second, std::nullopt, {}, 1}));
  EXPECT_EQ(fleet.current_incarnation("i-7"), third);
}

TEST(TargetIncarnation, LoadIsTrackedPerIncarnation) {
  load_table loads;
  loads.sent(first, {1000, 100});
  EXPECT_EQ(loads.total(second).active, 0);
  EXPECT_EQ(loads.total(first).active, 1);
}

TEST(TargetIncarnation, ReplicaWithARestartedMemberIsIncomplete) {
  // Guards against streams to a replica that makes no progress and fails after seconds: a member
  // restarts, and a delayed order to join reaches its new incarnation, so that name, epoch and rank
  // look unchanged.
  const target_id head = incarnation_of("i-1", 5);
  const std::vector<target_id> members = {head, first};
  const replica_key key{replica_name(model_id{"m"}, "k1", members), 4};
  fleet_view fleet;
  const auto list = [&](const target_id& incarnation, std::uint32_t rank, member_state state) {
    target_record record = record_of(incarnation);
    record.member_of = membership{key, rank, state};
    fleet.apply_record(start, record);
  };
  const auto serving = [&] {
    return serving_replicas(fleet, service_id{"s"}, model_id{"m"}, 2).size();
  };
  list(head, 0, member_state::open);
  list(first, 1, member_state::ready);
  EXPECT_EQ(serving(), 1U);
  list(second, 1, member_state::ready);
  EXPECT_EQ(serving(), 0U);
}

TEST(ReplicaName, EncodesModelHeadAndIncarnations) {
  const std::vector<target_id> members = {first, incarnation_of("i-8", 9)};
  const std::string name = replica_name(model_id{"m0"}, "k1", members);
  EXPECT_EQ(model_of_name(name), model_id{"m0"});
  EXPECT_EQ(head_of(name), first);
  EXPECT_FALSE(is_spare_name(name));
  EXPECT_TRUE(matches_incarnations(name, std::vector<target_id>{members[1], members[0]}));
  EXPECT_FALSE(matches_incarnations(name, std::vector<target_id>{members[1], second}));
  EXPECT_FALSE(matches_incarnations(name, std::vector<target_id>{first}));
  const std::string spare = spare_name(model_id{"m0"}, first);
  EXPECT_TRUE(is_spare_name(spare));
  EXPECT_EQ(head_of(spare), first);
  EXPECT_EQ(model_of_name(spare), model_id{"m0"});
  EXPECT_TRUE(model_of_name("").empty());
}

target_record at_address(const char* name, std::uint16_t port) {
  target_record record;
  record.id = target_id{name};
  record.service = service_id{"llm"};
  record.address = {"10.0.0.9", port};
  return record;
}

TEST(TargetAddress, PreviousTargetAtTheAddressIsRemoved) {
  // Guards against replicas that are dissolved and formed again of the same members once a second:
  // an engine ends, another starts at its address, and the replica controller's queries to the
  // first are answered by the second.
  fleet_view fleet;
  const target_record before = at_address("i-1", 8000);
  const target_record after = at_address("i-2", 8000);
  fleet.apply_record(time_point{1s}, before, 5);
  fleet.apply_record(time_point{2s}, after, 9);
  EXPECT_EQ(fleet.find(before.id), nullptr);
  const membership other{{"r.large.0.0.i-3", 4}, 1, member_state::ready};
  fleet.apply_answer(time_point{3s}, time_point{3s}, before.id,
                     {before.id, other, model_id{"large"}});
  EXPECT_EQ(fleet.find(before.id), nullptr);
  // The row of the ended engine stays in the list until it expires.
  fleet.replace_all(time_point{4s}, {{before, 5}, {after, 9}});
  EXPECT_EQ(fleet.find(before.id), nullptr);
  ASSERT_NE(fleet.find(after.id), nullptr);
  EXPECT_TRUE(fleet.find(after.id)->listed);
}

TEST(TargetAddress, EndedTargetIsRestoredByItsNextRow) {
  // Guards against replicas that are repeatedly formed with an engine that has ended: it ended
  // during a network partition, its row expires seconds later, and another engine at its address
  // refuses the orders.
  fleet_view fleet;
  const target_record record = at_address("i-1", 8000);
  fleet.apply_record(time_point{1s}, record, 5);
  fleet.mark_ended(record.id);
  EXPECT_EQ(fleet.find(record.id), nullptr);
  fleet.mark_unlisted(time_point{2s}, record.id);
  EXPECT_TRUE(fleet.apply_record(time_point{3s}, record, 8));
  ASSERT_NE(fleet.find(record.id), nullptr);
  EXPECT_TRUE(fleet.find(record.id)->listed);
}

TEST(Misdirections, ExpireAfterTheRetentionPeriod) {
  rejecting_heads tracker;
  const target_id head{"i-1"};
  tracker.note(time_point{10s}, head);
  EXPECT_EQ(tracker.heads(time_point{10s} + 500ms), std::vector<target_id>{head});
  EXPECT_TRUE(tracker.heads(time_point{10s} + rejecting_heads::rejection_retention).empty());
}

TEST(TargetAddress, NewestRowDecidesWhoOwnsTheAddress) {
  fleet_view fleet;
  fleet.apply_record(time_point{1s}, at_address("i-2", 8000), 9);
  EXPECT_FALSE(fleet.apply_record(time_point{2s}, at_address("i-1", 8000), 5));
  EXPECT_EQ(fleet.find(target_id{"i-1"}), nullptr);
  // A target that moved to another address no longer owns the previous one.
  fleet.apply_record(time_point{3s}, at_address("i-2", 8001), 11);
  EXPECT_TRUE(fleet.apply_record(time_point{4s}, at_address("i-1", 8000), 12));
  EXPECT_NE(fleet.find(target_id{"i-2"}), nullptr);
}

}  // namespace
}  // namespace arbutus
