// Rows of serving replicas that a hub forwards to the nodes that control no replicas.
#include "process/serving_feed.h"

#include <gtest/gtest.h>

#include "process/list_budget.h"
#include "process/record_subscription.h"
#include "process/replica_name.h"

namespace arbutus {
namespace {

const time_point start{1h};
const service_id llm{"llm"};
const service_id tablets{"tablets"};
const model_id large{"large"};

service_spec models(std::uint32_t size) {
  service_spec service;
  service.id = llm;
  engine_parameters engine;
  engine.models = {{large, size, 1.0, 1.0, 4s, 1s}};
  service.engine = engine;
  return service;
}

service_map services(std::uint32_t size) {
  service_spec plain;
  plain.id = tablets;
  return {1, {}, {models(size), plain}, {}, caller_limits{}};
}

target_record engine(int number) {
  target_record record;
  record.id = target_id{"i-00000" + std::to_string(10'000 + number)};
  record.service = llm;
  record.address = {"10.1.20." + std::to_string(number % 250), 8163};
  record.data_centre = data_centre_id{"hall-a"};
  record.domain = fabric_domain_id{"hall-a-d" + std::to_string(number / 27)};
  record.slots = 48;
  record.staged = {large};
  record.loaded = large;
  return record;
}

// Adds a replica of `size` engines starting with number `first`, which is the open head.
void add_replica(fleet_view& fleet, int first, std::uint32_t size, std::uint64_t epoch) {
  std::vector<target_id> members;
  for (std::uint32_t i = 0; i < size; ++i) {
    members.push_back(engine(first + static_cast<int>(i)).id);
  }
  const replica_key key{replica_name(large, "0a1b2c3d", members), epoch};
  for (std::uint32_t i = 0; i < size; ++i) {
    target_record record = engine(first + static_cast<int>(i));
    record.member_of = membership{key, i, i == 0 ? member_state::open : member_state::ready};
    fleet.apply_record(start, record);
  }
}

struct hub_and_follower {
  std::uint32_t size;
  fleet_view hub_fleet = {};
  serving_feed feed = {};
  fleet_view follower_fleet = {};
  serving_follower follower = {};

  // Sends a heartbeat from the hub to the node; returns the bytes of its rows.
  std::size_t send_heartbeat() {
    feed.update(hub_fleet, services(size));
    const std::uint64_t after = follower.at().incarnation == "hub" ? follower.at().at : 0;
    const auto rows = feed.rows().since(after);
    std::size_t bytes = 0;
    for (const feed_row& row : rows) {
      bytes += row.key.size() + row.value.size();
    }
    EXPECT_TRUE(follower.apply(start, "hub", after, feed.rows().needs_snapshot(after),
                               feed.rows().position(), rows, follower_fleet));
    return bytes;
  }
  [[nodiscard]] std::vector<serving_replica> hub_replicas() const {
    return serving_replicas(hub_fleet, llm, large, size);
  }
  [[nodiscard]] std::vector<serving_replica> follower_replicas() const {
    return serving_replicas(follower_fleet, llm, large, size);
  }
};

void expect_same(const hub_and_follower& both) {
  const auto hub = both.hub_replicas();
  const auto node = both.follower_replicas();
  ASSERT_EQ(hub.size(), node.size());
  for (std::size_t i = 0; i < hub.size(); ++i) {
    EXPECT_EQ(hub[i].key, node[i].key);
    EXPECT_EQ(hub[i].head, node[i].head);
    EXPECT_EQ(hub[i].address, node[i].address);
    EXPECT_EQ(hub[i].members, node[i].members);
    EXPECT_EQ(hub[i].crosses_domains, node[i].crosses_domains);
    EXPECT_DOUBLE_EQ(hub[i].slowdown_factor, node[i].slowdown_factor);
  }
}

// Guards against a node that sends requests to a replica with a member in an evacuated data centre,
// since the hub's row names only the data centre of the head.
TEST(ServingFeed, NodeSeesTheDataCentresOfAllMembers) {
  hub_and_follower both{12};
  add_replica(both.hub_fleet, 20, 12, 8);
  const std::vector<data_centre_id> none;
  both.send_heartbeat();
  ASSERT_EQ(both.follower_replicas().size(), 1U);
  EXPECT_EQ(both.follower_replicas().front().other_data_centres, none);
  target_record last = both.hub_fleet.find(engine(31).id)->record;
  last.data_centre = data_centre_id{"hall-b"};
  last.domain = fabric_domain_id{"hall-b-d0"};
  both.hub_fleet.apply_record(start + 1s, last);
  both.send_heartbeat();
  ASSERT_EQ(both.follower_replicas().size(), 1U);
  const serving_replica known = both.follower_replicas().front();
  EXPECT_EQ(known.other_data_centres, std::vector{data_centre_id{"hall-b"}});
  EXPECT_EQ(known.data_centre, data_centre_id{"hall-a"});
}

TEST(ServingFeed, NodeSeesTheReplicasOfItsHub) {
  hub_and_follower both{12};
  add_replica(both.hub_fleet, 0, 12, 7);
  add_replica(both.hub_fleet, 20, 12, 8);          // the replica spans two fabric domains
  both.hub_fleet.apply_record(start, engine(70));  // an engine that is a spare
  both.hub_fleet.set_slowdown_factor(engine(3).id, 1.5);
  both.send_heartbeat();
  expect_same(both);
  EXPECT_EQ(both.follower_fleet.find(engine(70).id), nullptr);
  // Without changes of replicas the hub sends no rows.
  EXPECT_EQ(both.send_heartbeat(), 0U);
}

TEST(ServingFeed, IncludesInstancesOfPlainServices) {
  hub_and_follower both{2};
  target_record instance = engine(1);
  instance.service = tablets;
  instance.slots = 6;
  both.hub_fleet.apply_record(start, instance);
  both.send_heartbeat();
  const target_view* known = both.follower_fleet.find(instance.id);
  ASSERT_NE(known, nullptr);
  EXPECT_EQ(known->record.service, tablets);
  EXPECT_EQ(known->record.slots, 6U);
  instance.draining = true;
  both.hub_fleet.apply_record(start, instance);
  both.send_heartbeat();
  EXPECT_FALSE(both.follower_fleet.find(instance.id)->listed);
}

TEST(ServingFeed, ReplicaWithADrainingMemberIsRemoved) {
  // Guards against new requests to a draining engine: the change of one member has to update or
  // remove the row that the node already has.
  hub_and_follower both{4};
  add_replica(both.hub_fleet, 0, 4, 1);
  both.send_heartbeat();
  ASSERT_EQ(both.follower_replicas().size(), 1U);
  target_record leaving = both.hub_fleet.find(engine(2).id)->record;
  leaving.draining = true;
  both.hub_fleet.apply_record(start + 1s, leaving);
  both.send_heartbeat();
  EXPECT_TRUE(both.follower_replicas().empty());
}

TEST(ServingFeed, MovedMemberBelongsToItsNewReplica) {
  // Guards against a repaired replica that gets no requests: a member of an ended replica joins
  // another one, both changes arrive in one heartbeat, and removing the ended replica's row unlists
  // the member of the new one.
  hub_and_follower both{4};
  add_replica(both.hub_fleet, 0, 4, 1);
  add_replica(both.hub_fleet, 10, 4, 2);
  both.send_heartbeat();
  ASSERT_EQ(both.follower_replicas().size(), 2U);
  // Engine 10 ends; 11 to 13 join a replica with engine 5 as its head, which sorts before them.
  both.hub_fleet.mark_unlisted(start + 1s, engine(10).id);
  std::vector<target_id> members = {engine(5).id, engine(11).id, engine(12).id, engine(13).id};
  const replica_key key{replica_name(large, "0a1b2c3d", members), 3};
  for (const int n : {5, 11, 12, 13}) {
    target_record record = engine(n);
    const bool head = n == 5;
    record.member_of = membership{key, head ? 0U : static_cast<std::uint32_t>(n - 10),
                                  head ? member_state::open : member_state::ready};
    both.hub_fleet.apply_record(start + 1s, record);
  }
  both.send_heartbeat();
  EXPECT_EQ(both.follower_replicas().size(), 2U);
  expect_same(both);
}

TEST(ServingFeed, KeepsTargetsThatOnlyTheHubCannotReach) {
  // Guards against a data centre whose nodes refuse every call: the hub's link is congested, its
  // probes of engines get no answer, and the nodes drop all replicas that the hub marks as lost.
  hub_and_follower both{4};
  add_replica(both.hub_fleet, 0, 4, 1);
  add_replica(both.hub_fleet, 10, 4, 2);
  for (const int n : {1, 2, 11}) {
    for (std::uint32_t i = 0; i < fleet_view::probes_until_lost; ++i) {
      both.hub_fleet.probe_failed(start, engine(n).id);
    }
  }
  both.send_heartbeat();
  EXPECT_EQ(both.follower_replicas().size(), 2U);
  // The hub reports one suspect per replica.
  const std::set<target_id> lost = {engine(1).id, engine(2).id, engine(11).id};
  EXPECT_EQ(both.feed.first_suspect_per_row(lost),
            (std::vector<target_id>{engine(1).id, engine(11).id}));
}

TEST(ServingFeed, RestartedHubSendsASnapshot) {
  // Guards against requests to a replica that ended long ago: the hub restarts and counts its
  // changes from zero, and the node's old position happens to be valid in the new incarnation.
  hub_and_follower both{4};
  add_replica(both.hub_fleet, 0, 4, 1);
  both.send_heartbeat();
  serving_feed other;
  fleet_view seen_by_other;
  add_replica(seen_by_other, 40, 4, 9);
  other.update(seen_by_other, services(4));
  EXPECT_FALSE(both.follower.apply(start, "other", both.follower.at().at, false,
                                   other.rows().position(), {}, both.follower_fleet));
  EXPECT_TRUE(both.follower.apply(start, "other", 0, true, other.rows().position(),
                                  other.rows().since(0), both.follower_fleet));
  ASSERT_EQ(both.follower_replicas().size(), 1U);
  EXPECT_EQ(both.follower_replicas()[0].head, engine(40).id);
}

TEST(ServingFeed, IgnoresRowsOfAnOlderHeartbeat) {
  hub_and_follower both{4};
  add_replica(both.hub_fleet, 0, 4, 1);
  both.feed.update(both.hub_fleet, services(4));
  const auto first = both.feed.rows().since(0);
  const std::uint64_t first_at = both.feed.rows().position();
  both.hub_fleet.mark_unlisted(start, engine(0).id);
  add_replica(both.hub_fleet, 10, 4, 2);
  both.send_heartbeat();
  EXPECT_TRUE(both.follower.apply(start, "hub", 0, true, first_at, first, both.follower_fleet));
  ASSERT_EQ(both.follower_replicas().size(), 1U);
  EXPECT_EQ(both.follower_replicas()[0].head, engine(10).id);
}

TEST(ServingFeed, RejectsDamagedRows) {
  hub_and_follower both{2};
  add_replica(both.hub_fleet, 0, 2, 1);
  both.feed.update(both.hub_fleet, services(2));
  const std::string whole = both.feed.rows().since(0).front().value;
  ASSERT_TRUE(decode_serving_entry(whole));
  for (std::size_t length = 0; length < whole.size(); ++length) {
    EXPECT_FALSE(decode_serving_entry(whole.substr(0, length))) << length;
  }
}

TEST(ServingFeed, ThreeThousandEnginesStayWithinTheBandwidthBudget) {
  // 3,000 engines in replicas of 12 and 100 nodes in a data centre whose hub has 200 Mbit/s. All
  // nodes start simultaneously; then one replica per second loses a member and is formed again.
  constexpr std::uint32_t size = 12;
  constexpr int replicas = 250;
  constexpr std::size_t nodes = 100;
  hub_and_follower both{size};
  for (int r = 0; r < replicas; ++r) {
    add_replica(both.hub_fleet, r * static_cast<int>(size), size, 1);
  }
  const std::size_t whole = both.send_heartbeat();
  EXPECT_EQ(both.follower_replicas().size(), static_cast<std::size_t>(replicas));
  // All nodes get the rows of all serving replicas within a second.
  list_budget budget(200);
  std::size_t served = 0;
  for (int round = 0; round < 5; ++round) {
    budget.begin_round();
    for (; served < nodes && budget.try_spend(whole); ++served) {
    }
  }
  EXPECT_EQ(served, nodes);
  // One changed replica per second uses at most a tenth of the 7 KB/s that a node has for control
  // traffic.
  std::size_t changes = 0;
  for (int second = 0; second < 10; ++second) {
    const int first = second * static_cast<int>(size);
    both.hub_fleet.mark_unlisted(start, engine(first).id);
    changes += both.send_heartbeat();
    add_replica(both.hub_fleet, first, size, 2);
    changes += both.send_heartbeat();
  }
  constexpr std::size_t control_bytes_per_s = 7'000;
  EXPECT_LE(changes / 10, control_bytes_per_s / 10);
}

TEST(RecordDuty, StandbyFollowsRecordsAfterADelay) {
  record_subscription subscription;
  subscription.update(start, false, false);
  EXPECT_FALSE(subscription.follows_records());
  subscription.update(start + 100ms, false, true);
  EXPECT_FALSE(subscription.follows_records());
  // A single late heartbeat does not make the node switch from the hub's rows to the targets' own
  // records.
  subscription.update(start + 200ms, false, false);
  subscription.update(start + 300ms, false, true);
  subscription.update(start + 300ms + record_subscription::subscribe_delay, false, true);
  EXPECT_TRUE(subscription.follows_records());
}

TEST(RecordDuty, HubFollowsRecordsImmediatelyAndStopsAfterADelay) {
  record_subscription subscription;
  subscription.update(start, false, false);
  subscription.update(start + 1s, true, true);
  EXPECT_TRUE(subscription.follows_records());
  subscription.update(start + 2s, false, false);
  EXPECT_TRUE(subscription.follows_records());
  subscription.update(start + 2s + record_subscription::unsubscribe_delay, false, false);
  EXPECT_FALSE(subscription.follows_records());
}

}  // namespace
}  // namespace arbutus
