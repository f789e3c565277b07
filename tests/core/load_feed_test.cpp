// Tests the loads that hubs send: what receivers know after lost, late and repeated heartbeats, and
// what a hub of 100 nodes before 1,000 heads sends.
#include "process/load_feed.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "base/rng.h"
#include "process/node_heartbeat.h"

namespace arbutus {
namespace {

const std::string hub_life = "hub-life";

target_id head(std::size_t i) {
  return target_id{"i-" + std::to_string(1'000'000'000 + i) + "~1789070167"};
}

// Compares loads that are whole numbers.
void expect_same(const replica_loads& a, const replica_loads& b) {
  ASSERT_EQ(a.size(), b.size());
  for (const auto& [id, load] : a) {
    ASSERT_TRUE(b.contains(id)) << id;
    EXPECT_EQ(load.active, b.at(id).active);
    EXPECT_EQ(load.pending_prefill_tokens, b.at(id).pending_prefill_tokens);
  }
}

TEST(LoadFeed, ReceiverKnowsTheLoadsDespiteLostAndLateUpdates) {
  rng random(7);
  load_feed feed;
  load_follower follower;
  replica_loads loads;
  std::vector<load_update> delayed;
  for (int round = 0; round < 400; ++round) {
    for (int i = 0; i < 20; ++i) {
      const target_id id = head(random.below(60));
      if (random.unit() < 0.4) {
        loads.erase(id);
      } else {
        loads[id] = {1.0 + static_cast<double>(random.below(20)),
                     static_cast<double>(random.below(3000))};
      }
    }
    feed.update(loads);
    const load_position& at = follower.at();
    const load_update update = feed.changes_after(at.incarnation == hub_life ? at.at : 0);
    if (random.unit() < 0.2) {
      delayed.push_back(update);
      continue;
    }
    EXPECT_TRUE(follower.apply(hub_life, update));
    expect_same(follower.loads(), loads);
    if (!delayed.empty() && random.unit() < 0.3) {
      (void)follower.apply(hub_life, delayed.back());
      delayed.pop_back();
      expect_same(follower.loads(), loads);
    }
  }
}

TEST(LoadFeed, ReceiverOfARestartedHubStartsAgain) {
  load_feed first;
  first.update({{head(1), {3, 100}}});
  load_follower follower;
  EXPECT_TRUE(follower.apply("one", first.changes_after(0)));
  load_feed second;
  second.update({{head(2), {5, 0}}});
  second.update({{head(2), {6, 0}}});
  // Without the first update of the new hub the next one cannot be applied.
  EXPECT_FALSE(follower.apply("two", second.changes_after(1)));
  expect_same(follower.loads(), {{head(1), {3, 100}}});
  EXPECT_TRUE(follower.apply("two", second.changes_after(0)));
  expect_same(follower.loads(), {{head(2), {6, 0}}});
}

TEST(LoadFeed, DamagedRowsAreIgnored) {
  load_follower follower;
  EXPECT_FALSE(follower.apply(hub_life, {0, 3, 0, "\x91\x93\x05"}));
  EXPECT_FALSE(follower.apply(hub_life, {0, 3, 0, "\x91\x93\x05\x01\x01"}));  // unknown number
  EXPECT_TRUE(follower.loads().empty());
}

// Guards against a node that counts its own requests twice, once as reported back by its hub.
TEST(LoadFeed, NodeSubtractsTheLoadsThatItReported) {
  reported_loads reported;
  reported.add(10, {{head(1), {2, 50}}});
  reported.add(20, {{head(1), {3, 70}}});
  const replica_loads all = {{head(1), {5, 100}}, {head(2), {1, 0}}};
  expect_same(*reported.subtract(20, all), {{head(1), {2, 30}}, {head(2), {1, 0}}});
  expect_same(*reported.subtract(0, all), all);
  EXPECT_FALSE(reported.subtract(15, all));
}

// Guards against a hub that spends its processor on the same loads for each of its nodes.
TEST(LoadFeed, RowsAreEncodedOnceForAllReceiversAtAPosition) {
  load_feed feed;
  feed.update({{head(1), {3, 100}}, {head(2), {1, 0}}});
  for (int node = 0; node < 100; ++node) {
    (void)feed.changes_after(0);
  }
  EXPECT_EQ(feed.encodings(), 1U);
}

// Guards against heartbeats that grow with the heads: at 1,000 heads whose loads all change, the
// loads of all heads in each heartbeat are 25 KB, 125 KB a second for each node. A node may spend
// 7 KB a second on control.
TEST(LoadFeed, HeartbeatsOfAHubBeforeAThousandHeadsKeepTheBudgetOfANode) {
  constexpr std::size_t heads = 1000;
  constexpr double rounds_per_s = 5;
  constexpr double budget_bytes_per_s = 7000;
  rng random(3);
  load_feed feed;
  load_follower node;
  replica_loads loads;
  std::size_t bytes = 0;
  constexpr int settle_rounds = 20;
  constexpr int rounds = 100;
  for (int round = 0; round < settle_rounds + rounds; ++round) {
    for (std::size_t i = 0; i < heads; ++i) {
      loads[head(i)] = {1.0 + static_cast<double>(random.below(20)),
                        static_cast<double>(random.below(3000))};
    }
    feed.update(loads);
    node_heartbeat message;
    message.load_changes = feed.changes_after(node.at().at);
    const std::string encoded = encode(message);
    bytes += round >= settle_rounds ? encoded.size() : 0;
    const auto decoded = decode_node_heartbeat(encoded);
    ASSERT_TRUE(decoded && decoded->load_changes);
    ASSERT_TRUE(node.apply(hub_life, *decoded->load_changes));
  }
  EXPECT_LT(static_cast<double>(bytes) / rounds * rounds_per_s, budget_bytes_per_s);
  EXPECT_EQ(node.loads().size(), heads);
}

}  // namespace
}  // namespace arbutus
