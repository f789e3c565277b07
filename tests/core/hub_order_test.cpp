// Tests the election of the hub of a data centre: the strongest live node whose requests the store
// serves.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

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
  table.set_records(nodes());
  return table;
}

TEST(HubOrder, TheStrongestNodeIsTheHubRegardlessOfName) {
  // Guards against a hub chosen by name alone: with an eighth of a core, it controls 219 engines
  // and sends updates to 58 nodes, proofs and loads arrive late, and repairs take seconds.
  EXPECT_EQ(table_of("a1", weak).hub_of(start, here), node_id{"a8"});
  EXPECT_TRUE(table_of("a8", strong).is_hub(start));
  EXPECT_FALSE(table_of("a9", strong).is_hub(start));
}

TEST(HubOrder, OtherStrongNodesFollowBeforeWeakNodes) {
  peer_table second = table_of("a9", strong);
  second.note_sent(start, node_id{"a8"});
  EXPECT_TRUE(second.is_hub(start + 2s));
  peer_table weakest = table_of("a2", weak);
  weakest.note_sent(start, node_id{"a8"});
  weakest.note_sent(start, node_id{"a9"});
  EXPECT_EQ(weakest.hub_of(start + 2s, here), node_id{"a1"});
}

TEST(HubOrder, ANodeSendsToTheTwoStrongest) {
  EXPECT_EQ(table_of("a1", weak).recipients(start),
            (std::vector<node_id>{node_id{"a8"}, node_id{"a9"}}));
}

TEST(HubOrder, AHubRefusedByTheStoreHandsOverToTheNextStrongNode) {
  peer_table second = table_of("a9", strong);
  second.received(start, node_id{"a8"}, {.refused_by_store = true, .stamp_us = 1});
  EXPECT_TRUE(second.is_hub(start));
  // Once the store serves the first node again, that node becomes the hub and the second one stops
  // being it.
  second.received(start + 1s, node_id{"a8"}, {.hub = true, .stamp_us = 2});
  EXPECT_FALSE(second.is_hub(start + 1s));
}

TEST(HubOrder, WhileTheStoreIsUnavailableNodesSendToTheFirstCandidatesOnly) {
  // Guards against heartbeats between all nodes of a data centre while the store refuses every
  // node, which saturates the links and delays proofs afterwards. It occurs if a node that finds no
  // two served candidates sends to all refused nodes as it does to an unresponsive hub.
  std::vector<node_record> many;
  for (int i = 100; i < 200; ++i) {
    many.push_back({node_id{"n" + std::to_string(i)}, here, {}, {}, weak});
  }
  peer_table peers(node_id{"n150"}, here, weak);
  peers.set_records(many);
  for (const char* name : {"n100", "n101", "n102"}) {
    peers.received(start, node_id{name}, {.refused_by_store = true, .stamp_us = 1});
  }
  peers.set_refused_by_store(start, true);
  for (const node_record& n : many) {
    peers.note_sent(start, n.id);
  }
  // Some nodes were sent heartbeats while they were assumed to be the next hub, and respond now.
  for (const node_record& n : many) {
    if (n.id.str() > "n102") {
      peers.received(start + 1s, n.id, {.refused_by_store = true, .stamp_us = 1});
    }
  }
  EXPECT_FALSE(peers.is_hub_or_next(start + 1s));
  // A node that receives no heartbeats sends its own only to the first candidates for hub.
  peer_table idle(node_id{"n150"}, here, weak);
  idle.set_records(many);
  idle.set_refused_by_store(start, true);
  for (const char* name : {"n100", "n101"}) {
    idle.received(start, node_id{name}, {.refused_by_store = true, .stamp_us = 1});
  }
  const auto sent_to = idle.recipients(start + 100ms);
  ASSERT_GE(sent_to.size(), 2U);
  EXPECT_EQ(sent_to[0], node_id{"n100"});
  EXPECT_EQ(sent_to[1], node_id{"n101"});
  EXPECT_LE(sent_to.size(), 2 * peer_table::hub_candidate_count);
}

TEST(HubOrder, OnlyAFewNodesOfAnUnreachableDataCentreAreSentHeartbeats) {
  // A hub whose only other data centre has 100 nodes, none of which responds.
  std::vector<node_record> many;
  for (int i = 100; i < 200; ++i) {
    many.push_back({node_id{"n" + std::to_string(i)}, data_centre_id{"b"}, {}, {}, weak});
  }
  peer_table hub(node_id{"a1"}, here, weak);
  hub.set_records(many);
  for (const node_record& n : many) {
    hub.note_sent(start, n.id);
  }
  EXPECT_LE(hub.recipients(start + 1h).size(),
            peer_table::max_unresponsive_recipients + peer_table::hub_candidate_count);
}

TEST(HubOrder, TheHubAndTheNextInLineAreHubOrNext) {
  EXPECT_TRUE(table_of("a8", strong).is_hub_or_next(start));
  EXPECT_TRUE(table_of("a9", strong).is_hub_or_next(start));
  EXPECT_FALSE(table_of("a1", weak).is_hub_or_next(start));
  // If the store serves no node, the first live nodes are the hub and the next hub.
  peer_table second = table_of("a9", strong);
  second.set_refused_by_store(start, true);
  for (const char* name : {"a1", "a2", "a8"}) {
    second.received(start, node_id{name}, {.refused_by_store = true, .stamp_us = 1});
  }
  EXPECT_TRUE(second.is_hub_or_next(start));
}

TEST(HubOrder, ANodeWithoutReportedStrengthComesLast) {
  peer_table table(node_id{"a5"}, here, weak);
  table.set_records({{node_id{"a0"}, here, {}, {}}});
  EXPECT_TRUE(table.is_hub(start));
}

TEST(HubOrder, AJoiningNodeIsKnownByItsHeartbeat) {
  // Guards against a joining node that refuses its callers for seconds: if peers are known by their
  // rows alone, a hub that read the rows before drops its heartbeats, and reads no new rows while
  // the store refuses it.
  peer_table hub = table_of("a8", strong);
  const node_record joined{node_id{"a7"}, here, {"10.0.0.7", 7000}, {}, weak};
  hub.add_peer(joined);
  hub.received(start, joined.id, {.stamp_us = 1});
  EXPECT_TRUE(hub.is_alive(start, joined.id));
  const auto sent_to = hub.recipients(start);
  EXPECT_EQ(std::count(sent_to.begin(), sent_to.end(), joined.id), 1);
  // Rows that do not contain the joining node yet do not remove it; once rows have contained it,
  // its removal from them does.
  hub.set_records(nodes());
  EXPECT_TRUE(hub.is_alive(start, joined.id));
  EXPECT_EQ(std::count(hub.records().begin(), hub.records().end(), joined), 1);
  auto rows = nodes();
  rows.push_back(joined);
  hub.set_records(rows);
  hub.set_records(nodes());
  EXPECT_FALSE(hub.is_alive(start, joined.id));
}

// Guards against nodes that start together and each control the replicas of all data centres, since
// none has read the rows of the others yet.
TEST(HubOrder, NodesThatStartTogetherHaveOneHubInEachDataCentre) {
  const std::vector<data_centre_id> all = {data_centre_id{"a"}, data_centre_id{"b"},
                                           data_centre_id{"c"}};
  std::vector<node_record> rows;
  for (int i = 0; i < 300; ++i) {
    const std::string name = "n" + std::to_string(1000 + i);
    rows.push_back({node_id{name}, all[static_cast<std::size_t>(i) % 3], {}, {}, weak});
  }
  std::vector<peer_table> tables;
  for (const node_record& row : rows) {
    tables.emplace_back(row.id, row.data_centre, row.strength).start_discovery(start);
  }
  for (const peer_table& table : tables) {
    EXPECT_TRUE(table.responsibilities(start + 700ms, all).empty());
    EXPECT_FALSE(table.is_hub_or_next(start + 700ms));
  }
  std::map<data_centre_id, int> controllers;
  for (peer_table& table : tables) {
    table.set_records(rows);
    for (const data_centre_id& data_centre : table.responsibilities(start + 800ms, all)) {
      ++controllers[data_centre];
    }
  }
  EXPECT_EQ(controllers, (std::map<data_centre_id, int>{{all[0], 1}, {all[1], 1}, {all[2], 1}}));
}

// Guards against a data centre without a controller while the store refuses the rows of the nodes.
TEST(HubOrder, ANodeThatCannotReadTheRowsActsAloneAfterAWhile) {
  peer_table table(node_id{"a1"}, here, weak);
  table.start_discovery(start);
  EXPECT_FALSE(table.is_hub(start + 2900ms));
  EXPECT_TRUE(table.is_hub(start + 3s));
}

// Guards against a hub that controls replicas whose engines it cannot reach.
TEST(HubOrder, AHubThatIsCutOffFromTheTargetsHandsOverAndTakesBack) {
  peer_table first = table_of("a8", strong);
  peer_table second = table_of("a9", strong);
  ASSERT_TRUE(first.is_hub(start));
  first.received(start, node_id{"a9"}, {.stamp_us = 1});
  first.set_cut_off_from_targets(start, true);
  second.received(start, node_id{"a8"}, {.stamp_us = 1, .cut_off_from_targets = true});
  EXPECT_FALSE(first.is_hub(start));
  EXPECT_TRUE(first.responsibilities(start, {here}).empty());
  EXPECT_TRUE(second.is_hub(start));
  EXPECT_TRUE(second.responsibilities(start, {here}).contains(here));
  // It keeps the records of the targets, so that it can go on at once.
  EXPECT_TRUE(first.is_hub_or_next(start));
  first.set_cut_off_from_targets(start + 1s, false);
  second.received(start + 1s, node_id{"a8"}, {.stamp_us = 2});
  EXPECT_TRUE(first.is_hub(start + 1s));
  EXPECT_FALSE(second.is_hub(start + 1s));
}

// Guards against a data centre without repairs while its only node is cut off from the targets.
TEST(HubOrder, AnotherDataCentreControlsTheReplicasOfOneWhoseNodesAreCutOff) {
  const data_centre_id there{"b"};
  const std::vector<node_record> both = {{node_id{"a1"}, here, {}, {}, weak},
                                         {node_id{"b1"}, there, {}, {}, weak}};
  peer_table alone(node_id{"a1"}, here, weak);
  peer_table other(node_id{"b1"}, there, weak);
  for (peer_table* table : {&alone, &other}) {
    table->set_records(both);
  }
  alone.received(start, node_id{"b1"}, {.hub = true, .stamp_us = 1});
  alone.set_cut_off_from_targets(start, true);
  other.received(start, node_id{"a1"}, {.hub = true, .stamp_us = 1, .cut_off_from_targets = true});
  // It still passes on what the store says.
  EXPECT_TRUE(alone.is_hub(start));
  EXPECT_TRUE(alone.responsibilities(start, {here, there}).empty());
  EXPECT_EQ(other.responsibilities(start, {here, there}), (std::set<data_centre_id>{here, there}));
}

}  // namespace
}  // namespace arbutus
