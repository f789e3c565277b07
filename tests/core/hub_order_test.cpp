// Which node is the hub of a data centre: the strongest that lives and is served.
#include <gtest/gtest.h>

#include <algorithm>

#include "process/peer_table.h"

namespace arbutus {
namespace {

const time_point start{1h};
const data_centre_id here{"a"};
constexpr node_strength weak{120, 20};
constexpr node_strength strong{500, 200};

std::vector<node_record> nodes() {
  return {{node_id{"a1"}, here, {}, {}, weak},
          {node_id{"a2"}, here, {}, {}, weak},
          {node_id{"a8"}, here, {}, {}, strong},
          {node_id{"a9"}, here, {}, {}, strong}};
}

peer_table table_of(const char* name, node_strength strength) {
  peer_table table(node_id{name}, here, strength);
  table.set_known(nodes());
  return table;
}

TEST(HubOrder, TheStrongestIsTheHubWhateverItsName) {
  // Symptom: proofs and loads reach the nodes of a large data centre late, and repairs take
  // seconds. Sequence: the node with the lowest name has an eighth of a core; it keeps 219 engines
  // and feeds 58 nodes. Cause: the hub is chosen by name alone.
  EXPECT_EQ(table_of("a1", weak).hub_of(start, here), node_id{"a8"});
  EXPECT_TRUE(table_of("a8", strong).is_hub(start));
  EXPECT_FALSE(table_of("a9", strong).is_hub(start));
}

TEST(HubOrder, OtherStrongOnesFollowBeforeWeakOnes) {
  peer_table second = table_of("a9", strong);
  second.told(start, node_id{"a8"});
  EXPECT_TRUE(second.is_hub(start + 2s));
  peer_table weakest = table_of("a2", weak);
  weakest.told(start, node_id{"a8"});
  weakest.told(start, node_id{"a9"});
  EXPECT_EQ(weakest.hub_of(start + 2s, here), node_id{"a1"});
}

TEST(HubOrder, ANodeTellsTheTwoStrongest) {
  EXPECT_EQ(table_of("a1", weak).to_tell(start),
            (std::vector<node_id>{node_id{"a8"}, node_id{"a9"}}));
}

TEST(HubOrder, AStrongOneThatTheStoreTurnsAwayHandsOverToTheNextStrongOne) {
  peer_table second = table_of("a9", strong);
  second.heard(start, node_id{"a8"}, {.turned_away = true, .stamp_us = 1});
  EXPECT_TRUE(second.is_hub(start));
  // Served again: the first one takes the duty back, and the second one leaves it.
  second.heard(start + 1s, node_id{"a8"}, {.hub = true, .stamp_us = 2});
  EXPECT_FALSE(second.is_hub(start + 1s));
}

TEST(HubOrder, WhileTheStoreIsAwayNodesTellTheFirstOnesAlone) {
  // Symptom: links between all nodes of a data centre fill up while the store is away, and proofs
  // are late after it. Sequence: the store turns every node away; each looks for two that are
  // served, finds none, and tells all. Cause: who is turned away was told like a silent hub.
  std::vector<node_record> many;
  for (int i = 100; i < 200; ++i) {
    many.push_back({node_id{"n" + std::to_string(i)}, here, {}, {}, weak});
  }
  peer_table peers(node_id{"n150"}, here, weak);
  peers.set_known(many);
  for (const char* name : {"n100", "n101", "n102"}) {
    peers.heard(start, node_id{name}, {.turned_away = true, .stamp_us = 1});
  }
  peers.set_turned_away(start, true);
  for (const node_record& n : many) {
    peers.told(start, n.id);
  }
  // The others were told when they were thought to be next, and nobody has heard of them.
  for (const node_record& n : many) {
    if (n.id.str() > "n102") {
      peers.heard(start + 1s, n.id, {.turned_away = true, .stamp_us = 1});
    }
  }
  EXPECT_FALSE(peers.is_heir(start + 1s));
  // Whoever told this node is answered; of its own accord it tells the first ones alone.
  peer_table quiet(node_id{"n150"}, here, weak);
  quiet.set_known(many);
  quiet.set_turned_away(start, true);
  for (const char* name : {"n100", "n101"}) {
    quiet.heard(start, node_id{name}, {.turned_away = true, .stamp_us = 1});
  }
  const auto told = quiet.to_tell(start + 100ms);
  ASSERT_GE(told.size(), 2U);
  EXPECT_EQ(told[0], node_id{"n100"});
  EXPECT_EQ(told[1], node_id{"n101"});
  EXPECT_LE(told.size(), 2 * peer_table::candidates);
}

TEST(HubOrder, OfADarkDataCentreAFewAreTold) {
  // The other data centre of a hub has 100 nodes, and none answers.
  std::vector<node_record> many;
  for (int i = 100; i < 200; ++i) {
    many.push_back({node_id{"n" + std::to_string(i)}, data_centre_id{"b"}, {}, {}, weak});
  }
  peer_table hub(node_id{"a1"}, here, weak);
  hub.set_known(many);
  for (const node_record& n : many) {
    hub.told(start, n.id);
  }
  EXPECT_LE(hub.to_tell(start + 1h).size(), peer_table::most_silent + peer_table::candidates);
}

TEST(HubOrder, TheHubAndTheNextOneAreHeirs) {
  EXPECT_TRUE(table_of("a8", strong).is_heir(start));
  EXPECT_TRUE(table_of("a9", strong).is_heir(start));
  EXPECT_FALSE(table_of("a1", weak).is_heir(start));
  // With the store away from all, those that live first.
  peer_table second = table_of("a9", strong);
  second.set_turned_away(start, true);
  for (const char* name : {"a1", "a2", "a8"}) {
    second.heard(start, node_id{name}, {.turned_away = true, .stamp_us = 1});
  }
  EXPECT_TRUE(second.is_heir(start));
}

TEST(HubOrder, OneThatTellsNoStrengthComesLast) {
  peer_table table(node_id{"a5"}, here, weak);
  table.set_known({{node_id{"a0"}, here, {}, {}}});
  EXPECT_TRUE(table.is_hub(start));
}

TEST(HubOrder, ANodeThatJoinsIsKnownByItsBeat) {
  // Symptom: a node that has just joined refuses its callers for seconds. Sequence: it reads the
  // rows and tells its hub; the hub read them before and drops the beats; the store turns the hub
  // away, so that it reads no rows. Cause: a peer was known by its row alone.
  peer_table hub = table_of("a8", strong);
  const node_record joined{node_id{"a7"}, here, {"10.0.0.7", 7000}, {}, weak};
  hub.learn(joined);
  hub.heard(start, joined.id, {.stamp_us = 1});
  EXPECT_TRUE(hub.lives(start, joined.id));
  const auto told = hub.to_tell(start);
  EXPECT_EQ(std::count(told.begin(), told.end(), joined.id), 1);
  // Rows that do not hold it yet do not end it; once they did, its removal does.
  hub.set_known(nodes());
  EXPECT_TRUE(hub.lives(start, joined.id));
  EXPECT_EQ(std::count(hub.records().begin(), hub.records().end(), joined), 1);
  auto rows = nodes();
  rows.push_back(joined);
  hub.set_known(rows);
  hub.set_known(nodes());
  EXPECT_FALSE(hub.lives(start, joined.id));
}

}  // namespace
}  // namespace arbutus
