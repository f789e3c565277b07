// Tests the choice of the peer that takes a call over, and the header between the two nodes.
#include <gtest/gtest.h>

#include <map>

#include "request/relay_header.h"
#include "request/relay_peers.h"

namespace arbutus {
namespace {

const time_point start{1h};
const data_centre_id home{"a"};
const service_id service{"llm"};

node_record peer(const char* name, const char* data_centre, std::uint32_t permille) {
  node_record record{node_id{name}, data_centre_id{data_centre}, {}, {}, {permille, 100}};
  record.relay = {"10.0.0.1", 7000};
  return record;
}

std::map<node_id, int> distribute(relay_peers& peers, const std::vector<node_record>& nodes,
                                  int calls) {
  rng random(3);
  std::map<node_id, int> counts;
  for (int i = 0; i < calls; ++i) {
    const auto chosen = peers.choose(start, service, nodes, home, {}, random);
    if (chosen) {
      peers.sent(start, chosen->id);
      ++counts[chosen->id];
    }
  }
  return counts;
}

// Guards against one peer that carries all calls of the nodes that are cut off.
TEST(RelayPeers, CallsAreSpreadByStrength) {
  relay_peers peers;
  const auto counts = distribute(peers, {peer("weak", "a", 120), peer("strong", "a", 480)}, 100);
  EXPECT_NEAR(counts.at(node_id{"weak"}), 20, 5);
}

// Guards against bytes between data centres that are not needed, and against a single peer at home
// that is overloaded for them.
TEST(RelayPeers, PeersAtHomeArePreferredButNotOverloaded) {
  relay_peers peers;
  const auto counts = distribute(peers, {peer("here", "a", 250), peer("there", "b", 250)}, 100);
  EXPECT_NEAR(counts.at(node_id{"here"}), 75, 8);
}

// Guards against calls that go to a peer again right after it did not answer or did not take one.
TEST(RelayPeers, PeersThatFailedArePaused) {
  relay_peers peers;
  rng random(3);
  const std::vector<node_record> nodes = {peer("b", "a", 250)};
  peers.unresponsive(start, node_id{"b"});
  EXPECT_FALSE(peers.choose(start + 900ms, service, nodes, home, {}, random));
  EXPECT_TRUE(peers.choose(start + 1s, service, nodes, home, {}, random));
  peers.declined(start + 1s, service, node_id{"b"}, {decline_reason::cut_off, {}}, nodes);
  EXPECT_FALSE(peers.choose(start + 1200ms, service, nodes, home, {}, random));
  EXPECT_TRUE(peers.choose(start + 1300ms, service, nodes, home, {}, random));
}

// Guards against calls that are handed to cut peers again and again while a cut lasts.
TEST(RelayPeers, PauseOfAPeerThatDeclinesGrows) {
  relay_peers peers;
  rng random(3);
  const std::vector<node_record> nodes = {peer("b", "a", 250)};
  const relay_decline cut_off{decline_reason::cut_off, {}};
  peers.declined(start, service, node_id{"b"}, cut_off, nodes);
  peers.declined(start + 300ms, service, node_id{"b"}, cut_off, nodes);
  EXPECT_FALSE(peers.choose(start + 800ms, service, nodes, home, {}, random));
  EXPECT_TRUE(peers.choose(start + 900ms, service, nodes, home, {}, random));
  EXPECT_TRUE(peers.choose(start + 800ms, service_id{"api"}, nodes, home, {}, random));
}

// Guards against a peer with room that is not asked until each node has found it by its own tries.
TEST(RelayPeers, PeersThatADecliningOneNamesAreAskedFirst) {
  relay_peers peers;
  rng random(3);
  const std::vector<node_record> nodes = {peer("cut", "a", 250), peer("near", "a", 250),
                                          peer("far", "b", 250)};
  peers.declined(start, service, node_id{"near"}, {decline_reason::cut_off, {}}, nodes);
  peers.declined(start + 400ms, service, node_id{"cut"},
                 {decline_reason::cut_off, {node_id{"far"}, node_id{"unknown"}}}, nodes);
  EXPECT_EQ(peers.choose(start + 800ms, service, nodes, home, {}, random)->id, node_id{"far"});
}

// Guards against an old word of another node that outweighs what the peer itself has just said.
TEST(RelayPeers, OwnDeclineCountsMoreThanWhatOthersName) {
  relay_peers peers;
  rng random(3);
  const std::vector<node_record> nodes = {peer("b", "a", 250), peer("c", "a", 250)};
  peers.declined(start, service, node_id{"b"}, {decline_reason::cut_off, {}}, nodes);
  peers.declined(start + 100ms, service, node_id{"c"}, {decline_reason::cut_off, {node_id{"b"}}},
                 nodes);
  EXPECT_FALSE(peers.choose(start + 200ms, service, nodes, home, {}, random));
}

// Guards against words that go on from node to node after the peer has been cut off itself.
TEST(RelayPeers, OnlyPeersThatTookAnOwnCallLatelyAreNamed) {
  relay_peers peers;
  const std::vector<node_record> nodes = {peer("b", "a", 250), peer("c", "a", 250)};
  peers.declined(start, service, node_id{"c"}, {decline_reason::cut_off, {node_id{"b"}}}, nodes);
  EXPECT_TRUE(peers.takers(start, service).empty());
  peers.taken(start, service, node_id{"b"});
  EXPECT_EQ(peers.takers(start + 1s, service), std::vector{node_id{"b"}});
  EXPECT_TRUE(peers.takers(start + 2s, service).empty());
  peers.declined(start + 2s, service, node_id{"b"}, {decline_reason::cut_off, {}}, nodes);
  EXPECT_TRUE(peers.takers(start + 2s, service).empty());
}

TEST(RelayPeers, NodesOfEarlierReleasesAndTriedOnesAreNotChosen) {
  relay_peers peers;
  rng random(3);
  std::vector<node_record> nodes = {peer("b", "a", 250)};
  const std::vector<node_id> tried = {node_id{"b"}};
  EXPECT_FALSE(peers.choose(start, service, nodes, home, tried, random));
  nodes[0].relay = {};
  EXPECT_FALSE(peers.choose(start, service, nodes, home, {}, random));
}

// Guards against streams that hang at a peer that lost power, and against needless checks.
TEST(RelayPeers, OnlySilentPeersWithCallsAreChecked) {
  relay_peers peers;
  peers.sent(start, node_id{"b"});
  peers.heard(start + 300ms, node_id{"b"});
  EXPECT_TRUE(peers.take_silent(start + 600ms).empty());
  EXPECT_EQ(peers.take_silent(start + 800ms).size(), 1U);
  EXPECT_TRUE(peers.take_silent(start + 900ms).empty());
  peers.ended(node_id{"b"});
  EXPECT_TRUE(peers.take_silent(start + 5s).empty());
}

TEST(RelayHeader, IsReadAsWritten) {
  const auto call = read_relayed_call(to_text(relayed_call{node_id{"edge-1"}, 2, 51}));
  ASSERT_TRUE(call);
  EXPECT_EQ(call->from, node_id{"edge-1"});
  EXPECT_EQ(call->possible_runs, 2U);
  EXPECT_EQ(call->version, 51U);
  for (const char* target : {"", "i-1~17"}) {
    const auto report =
        read_relay_report(to_text(relay_report{relay_result::answered, 1, 51, target_id{target}}));
    ASSERT_TRUE(report);
    EXPECT_EQ(report->result, relay_result::answered);
    EXPECT_EQ(report->possible_runs, 1U);
    EXPECT_EQ(report->version, 51U);
    EXPECT_EQ(report->target, target_id{target});
  }
}

TEST(RelayHeader, DeclineIsReadAsWrittenAndBounded) {
  const relay_decline full{decline_reason::full, {node_id{"a"}, node_id{"b"}}};
  const relay_decline read = read_relay_decline(to_text(full));
  EXPECT_EQ(read.reason, decline_reason::full);
  EXPECT_EQ(read.takers, full.takers);
  EXPECT_EQ(read_relay_decline("").reason, decline_reason::unfit);
  EXPECT_EQ(read_relay_decline("later-word a").reason, decline_reason::unfit);
  EXPECT_EQ(read_relay_decline("cut-off a b c d e f").takers.size(), max_named_takers);
}

// Guards against a damaged header that is taken for the proof that a call did not run.
TEST(RelayHeader, DamagedTextIsNoReport) {
  for (const char* text :
       {"", "not-taken", "not-taken x 1 ", "not-taken -1 1 ", "not-taken 1 1 t more",
        "not-taken 1 ", "lost 0 1 ", "not-taken 99999999999 1 "}) {
    EXPECT_FALSE(read_relay_report(text)) << text;
  }
  for (const char* text :
       {"", "1", "1 1", "x 1 edge", "-1 1 edge", "1 1 edge more", "2000 1 edge"}) {
    EXPECT_FALSE(read_relayed_call(text)) << text;
  }
}

}  // namespace
}  // namespace arbutus
