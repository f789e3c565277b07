// Tests the liveness of peers, bounds on the age of messages, and the majority that nodes need to
// act while the table service is unavailable.
#include "process/membership.h"

#include <gtest/gtest.h>

#include "core/fake_data_centre.h"

namespace arbutus {
namespace {

using test::fake_data_centre;
using test::fake_node;

const node_id a{"a"};
const node_id b{"b"};
constexpr time_point start{100s};

membership make(const node_id& self, std::uint64_t incarnation, time_point now = start) {
  membership m(self, incarnation, 1, now);
  m.set_nodes({a, b}, now);
  return m;
}

// ---- freshness ----

// Guards against routing to a dead target after a heartbeat with a 200 ms old observation was
// delayed in a buffer for 30 s: its age must not be calculated from its arrival.
TEST(Freshness, AMessageDelayed30SecondsRenewsNoPermission) {
  membership here = make(a, 1);
  membership there = make(b, 2);
  ASSERT_TRUE(there.receive(here.prepare_heartbeat(b, start), 0, start + 1ms));
  const heartbeat delayed = there.prepare_heartbeat(a, start + 500ms);
  const time_point late = start + 30s;
  here.tick(late);
  const auto h = here.receive(delayed, 0, late);
  ASSERT_TRUE(h && h->composed);
  EXPECT_LE(*h->composed, start + 500ms);
  EXPECT_GE(*h->composed, start + 498ms);
  EXPECT_LE(observed_after(*h->composed, 200ms, late, 0.001), start + 300ms);
}

// Guards against old observations that appear new after a restart: an echo of a message of the
// previous process may have a sequence that the new process has sent, too, as sequences start again
// with each process.
TEST(Freshness, AResponseToThePreviousProcessGivesNoBound) {
  membership before = make(a, 1);
  membership there = make(b, 2);
  ASSERT_TRUE(there.receive(before.prepare_heartbeat(b, start), 0, start + 1ms));
  const heartbeat answer = there.prepare_heartbeat(a, start + 2ms);
  membership after = make(a, 3, start + 20s);
  (void)after.prepare_heartbeat(b, start + 20s);
  const auto h = after.receive(answer, 0, start + 21s);
  ASSERT_TRUE(h);
  EXPECT_FALSE(h->composed);
}

TEST(Freshness, NeverLaterThanNow) {
  EXPECT_EQ(composed_after(start, 100s, start + 1s, 0.001), start + 1s);
  EXPECT_EQ(observed_after(start + 9s, -5s, start + 1s, 0.001), start + 1s);
  sent_log log;
  log.sent(5, start);
  EXPECT_FALSE(log.sent_at(4));
  EXPECT_FALSE(log.sent_at(6));
  EXPECT_EQ(log.sent_at(5), start);
}

// ---- receiving ----

TEST(Membership, RepeatedReorderedAndOldProcessMessagesAreIgnored) {
  membership here = make(a, 1);
  membership there = make(b, 2);
  const heartbeat first = there.prepare_heartbeat(a, start);
  const heartbeat second = there.prepare_heartbeat(a, start + 1s);
  EXPECT_TRUE(here.receive(second, 0, start + 1s));
  EXPECT_FALSE(here.receive(second, 0, start + 1s));
  EXPECT_FALSE(here.receive(first, 0, start + 1s));
  membership again = make(b, 4);
  const auto restarted = here.receive(again.prepare_heartbeat(a, start + 2s), 0, start + 2s);
  ASSERT_TRUE(restarted);
  EXPECT_TRUE(restarted->restarted);
  EXPECT_FALSE(here.receive(there.prepare_heartbeat(a, start + 2s), 0, start + 3s));
  membership unknown_peer(node_id{"c"}, 9, 1, start);
  EXPECT_FALSE(here.receive(unknown_peer.prepare_heartbeat(a, start), 0, start + 3s));
}

TEST(Membership, AnUnresponsivePeerIsSuspectThenDeadAndARestartIsSeen) {
  fake_data_centre dc(4, 0, 1);
  dc.run_for(3s);
  EXPECT_EQ(dc.node(0).peers->live_nodes(dc.now).size(), 4U);
  dc.node(3).up = false;
  dc.run_for(3s);
  EXPECT_EQ(dc.node(0).peers->state(dc.ids()[3], dc.now), peer_state::suspect);
  dc.run_for(3s);
  EXPECT_EQ(dc.node(0).peers->state(dc.ids()[3], dc.now), peer_state::dead);
  dc.start(dc.ids()[3]);
  dc.run_for(1200ms);
  EXPECT_EQ(dc.node(0).peers->state(dc.ids()[3], dc.now), peer_state::alive);
}

// Guards against a node that takes over all ranks and probes after its process was paused for 20 s,
// because it marks its peers as dead for messages missing during its own pause.
TEST(Membership, AnOwnPauseMarksNoPeerDead) {
  fake_data_centre dc(4, 0, 2);
  dc.run_for(3s);
  dc.node(0).paused = true;
  dc.run_for(20s);
  EXPECT_EQ(dc.node(0).peers->live_nodes(dc.now).size(), 4U) << "before the first tick";
  EXPECT_GE(dc.node(0).peers->tick(dc.now), 19s);
  EXPECT_EQ(dc.node(0).peers->live_nodes(dc.now).size(), 4U);
  EXPECT_EQ(dc.node(1).peers->live_nodes(dc.now).size(), 3U);
  dc.node(0).paused = false;
  dc.run_for(2s);
  EXPECT_EQ(dc.node(1).peers->live_nodes(dc.now).size(), 4U);
}

// Guards against a dead node that gets ranks and targets again when its last messages arrive late:
// the arrival of a message does not show that its sender is alive.
TEST(Membership, ADelayedMessageDoesNotMakeAPeerAlive) {
  membership here = make(a, 1);
  membership there = make(b, 2);
  ASSERT_TRUE(there.receive(here.prepare_heartbeat(b, start), 0, start));
  ASSERT_TRUE(here.receive(there.prepare_heartbeat(a, start + 1s), 0, start + 1s));
  const heartbeat delayed = there.prepare_heartbeat(a, start + 2s);
  time_point now = start + 1s;
  for (; now < start + 20s; now += 500ms) {
    here.tick(now);
  }
  ASSERT_EQ(here.state(b, now), peer_state::dead);
  ASSERT_TRUE(here.receive(delayed, 0, now));
  EXPECT_EQ(here.state(b, now), peer_state::dead);
}

TEST(Membership, AFlappingPeerIsDamped) {
  fake_data_centre dc(3, 0, 3);
  const node_id bad = dc.ids()[2];
  std::vector<duration> waits;
  for (int i = 0; i < 4; ++i) {
    dc.run_for(2s);
    dc.cut_both(bad, dc.ids()[0]);
    dc.run_for(6s);
    dc.restore_links();
    waits.push_back(dc.run_until(
        [&] { return dc.node(0).peers->state(bad, dc.now) == peer_state::alive; }, 60s));
  }
  EXPECT_LT(waits[0], 1200ms);
  EXPECT_GT(waits[2], 2s);
  EXPECT_GT(waits[3], waits[2]);
}

// Guards against a node that wrongly assumes that its updates reach a peer, when packets pass from
// the peer to it but not back.
TEST(Membership, AOneWayLinkIsNoticed) {
  fake_data_centre dc(3, 0, 4);
  dc.run_for(3s);
  EXPECT_FALSE(dc.node(0).peers->is_one_way_link(dc.ids()[1], dc.now));
  dc.cut(dc.ids()[0], dc.ids()[1]);
  dc.run_for(8s);
  EXPECT_TRUE(dc.node(0).peers->is_one_way_link(dc.ids()[1], dc.now));
  EXPECT_EQ(dc.node(0).peers->state(dc.ids()[1], dc.now), peer_state::alive);
  EXPECT_EQ(dc.node(1).peers->state(dc.ids()[0], dc.now), peer_state::dead);
  EXPECT_FALSE(dc.node(0).peers->is_one_way_link(dc.ids()[2], dc.now));
}

TEST(Membership, HeartbeatsAreSentOncePerIntervalOrExpedited) {
  fake_data_centre dc(2, 0, 5);
  dc.run_for(10s);
  EXPECT_GE(dc.messages, 20U);
  EXPECT_LE(dc.messages, 24U);
  membership here = make(a, 1);
  EXPECT_EQ(here.due_peers(start).size(), 1U);
  EXPECT_TRUE(here.due_peers(start + 10ms).empty());
  here.expedite_heartbeats(start + 10ms);
  EXPECT_TRUE(here.due_peers(start + 20ms).empty()) << "rate limit of urgent heartbeats";
  EXPECT_EQ(here.due_peers(start + 50ms).size(), 1U);
}

TEST(Membership, AHashIsRepeatedUntilThePeerHasIt) {
  membership here = make(a, 1);
  membership there = make(b, 2);
  for (int i = 0; i < 3; ++i) {
    heartbeat message = here.prepare_heartbeat(b, start + i * 1s);
    here.announce_config(message, b, 7, "beef");
    EXPECT_EQ(message.config_hash, "beef");
    ASSERT_TRUE(there.receive(message, 0, start + i * 1s));
  }
  ASSERT_TRUE(here.receive(there.prepare_heartbeat(a, start + 3s), 0, start + 3s));
  heartbeat message = here.prepare_heartbeat(b, start + 4s);
  here.announce_config(message, b, 7, "beef");
  EXPECT_TRUE(message.config_hash.empty());
  ASSERT_TRUE(there.receive(message, 0, start + 4s));
  EXPECT_EQ(there.last_status(a)->config_hash, "beef");
}

// ---- ranks and probers ----

TEST(Membership, RanksAgreeAndEachTargetHasTwoProbersWithinTheLimit) {
  fake_data_centre dc(21, 81, 6);
  dc.run_for(3s);
  std::map<node_id, std::size_t> load;
  for (const vm_id& vm : dc.vms()) {
    const auto probers = dc.node(0).peers->probers_of(vm, dc.now);
    ASSERT_EQ(probers.size(), 2U);
    EXPECT_NE(probers[0], probers[1]);
    EXPECT_EQ(probers, dc.node(7).peers->probers_of(vm, dc.now));
    ++load[probers[0]];
    ++load[probers[1]];
  }
  for (const auto& [node, count] : load) {
    EXPECT_LE(count, 11U);
  }
  std::set<std::size_t> ranks;
  for (const node_id& node : dc.ids()) {
    ranks.insert(dc.node(3).peers->rank_of(node, "row", dc.now));
  }
  EXPECT_EQ(ranks.size(), 21U);
  EXPECT_EQ(dc.node(3).peers->rank_of(a, "row", dc.now), 21U);
}

TEST(Membership, ADeadNodesTargetsPassToOthers) {
  fake_data_centre dc(6, 20, 7);
  dc.run_for(3s);
  const node_id gone = dc.ids()[2];
  dc.node(2).up = false;
  dc.run_for(6s);
  for (const vm_id& vm : dc.vms()) {
    const auto probers = dc.node(0).peers->probers_of(vm, dc.now);
    EXPECT_EQ(probers.size(), 2U);
    EXPECT_EQ(std::ranges::count(probers, gone), 0);
  }
}

// ---- acting while the table is unavailable ----

TEST(Votes, OfTwoNodesTheFirstCanActWithoutTheOther) {
  fake_data_centre dc(2, 0, 8);
  dc.run_for(12s);
  EXPECT_TRUE(dc.node(0).peers->may_act_without_table(1, dc.now));
  EXPECT_TRUE(dc.node(1).peers->may_act_without_table(1, dc.now));
  dc.cut_both(dc.ids()[0], dc.ids()[1]);
  dc.table_row = 2;
  dc.node(1).can_read_table = false;
  dc.run_for(5s);
  EXPECT_FALSE(dc.node(1).peers->may_act_without_table(1, dc.now));
  EXPECT_EQ(dc.node(0).peers->acknowledged_by_all(2, dc.now), 1U) << "too early";
  dc.run_for(5s);
  EXPECT_TRUE(dc.node(0).peers->may_act_without_table(2, dc.now));
  EXPECT_EQ(dc.node(0).peers->acknowledged_by_all(2, dc.now), 2U);
  EXPECT_EQ(dc.node(0).peers->required_acknowledgers(2, dc.now).size(), 1U);
}

// Guards against a failed node that blocks the others forever, or prevents their repairs while the
// table is unavailable.
TEST(Votes, AFailedMinorityBlocksNothing) {
  fake_data_centre dc(5, 0, 9);
  dc.run_for(12s);
  dc.node(3).up = dc.node(4).up = false;
  dc.table_row = 2;
  dc.run_for(12s);
  for (std::size_t i = 0; i < 3; ++i) {
    dc.node(i).can_read_table = false;
    EXPECT_EQ(dc.node(i).peers->acknowledged_by_all(2, dc.now), 2U);
  }
  dc.run_for(5s);
  EXPECT_TRUE(dc.node(0).peers->may_act_without_table(2, dc.now));
}

// Guards against a node that restarts while the table is unavailable and votes although it no
// longer knows which row its previous process acknowledged.
TEST(Votes, ARestartedNodeHasNoVoteUntilAMajorityInformedIt) {
  fake_data_centre dc(3, 0, 10);
  dc.run_for(3s);
  for (std::size_t i = 0; i < 3; ++i) {
    dc.node(i).can_read_table = false;
  }
  dc.cut_both(dc.ids()[2], dc.ids()[1]);
  dc.start(dc.ids()[2]);
  dc.run_for(6s);
  EXPECT_FALSE(dc.node(2).peers->informed());
  EXPECT_FALSE(dc.node(2).peers->may_act_without_table(1, dc.now));
  dc.restore_links();
  dc.run_for(4s);
  EXPECT_TRUE(dc.node(2).peers->informed());
  EXPECT_TRUE(dc.node(2).peers->may_act_without_table(1, dc.now));
}

// Guards against one VM in two replicas: A and B both reach only C; a new row replaces the old one,
// C acknowledges it, and then B loses C. A must not consider B failed on its own view alone while
// C's echoes still permit B to act.
TEST(Votes, OneNodesReportOfAnUnresponsivePeerIsNotEnough) {
  fake_data_centre dc(3, 0, 11);
  dc.run_for(12s);
  dc.node(1).can_read_table = false;
  dc.cut_both(dc.ids()[0], dc.ids()[1]);
  dc.run_for(10s);
  dc.cut_both(dc.ids()[2], dc.ids()[1]);
  dc.table_row = 2;
  dc.run_for(1500ms);
  EXPECT_TRUE(dc.node(1).peers->may_act_without_table(1, dc.now));
  EXPECT_EQ(dc.node(0).peers->acknowledged_by_all(2, dc.now), 1U);
  dc.run_for(8s);
  EXPECT_FALSE(dc.node(1).peers->may_act_without_table(1, dc.now));
  EXPECT_EQ(dc.node(0).peers->acknowledged_by_all(2, dc.now), 2U);
}

// Guards against one VM in two replicas: B and C lose each other and report that to A; then both
// lose A and the table, and reach each other again. Their earlier reports must not be used for a
// row that neither of them knows.
TEST(Votes, AReportFromBeforeTheRowDoesNotCountForIt) {
  fake_data_centre dc(3, 0, 12);
  dc.run_for(12s);
  dc.node(1).can_read_table = dc.node(2).can_read_table = false;
  dc.cut_both(dc.ids()[1], dc.ids()[2]);
  dc.run_for(10s);
  dc.restore_links(dc.ids()[1], dc.ids()[2]);
  dc.cut_both(dc.ids()[0], dc.ids()[1]);
  dc.cut_both(dc.ids()[0], dc.ids()[2]);
  dc.table_row = 2;
  dc.run_for(12s);
  EXPECT_TRUE(dc.node(1).peers->may_act_without_table(1, dc.now));
  EXPECT_EQ(dc.node(0).peers->acknowledged_by_all(2, dc.now), 1U);
}

// Guards against one VM in two replicas: A and C replace a row while B is unreachable; C restarts,
// reaches only B and gets the old row from it. C's echoes must not permit B to act, as C no longer
// knows the new row.
TEST(Votes, ResponsesOfARestartedUninformedNodeDoNotCount) {
  fake_data_centre dc(3, 0, 13);
  dc.run_for(12s);
  dc.node(1).can_read_table = false;
  dc.cut_both(dc.ids()[1], dc.ids()[0]);
  dc.cut_both(dc.ids()[1], dc.ids()[2]);
  dc.table_row = 2;
  dc.run_for(12s);
  ASSERT_EQ(dc.node(0).peers->acknowledged_by_all(2, dc.now), 2U);
  dc.cut_both(dc.ids()[2], dc.ids()[0]);
  dc.restore_links(dc.ids()[1], dc.ids()[2]);
  dc.node(2).up = false;
  dc.run_for(100ms);  // until no message to the restarted node is in transit
  dc.start(dc.ids()[2]);
  dc.node(2).can_read_table = false;
  dc.run_for(6s);
  EXPECT_EQ(dc.node(2).row, 1U);
  EXPECT_FALSE(dc.node(1).peers->may_act_without_table(1, dc.now));
}

TEST(Votes, NoNodeActsOnARowOnceItLearnsOfANewerOne) {
  fake_data_centre dc(3, 0, 14);
  dc.run_for(12s);
  EXPECT_TRUE(dc.node(1).peers->may_act_without_table(1, dc.now));
  dc.table_row = 2;
  dc.run_for(1500ms);
  EXPECT_FALSE(dc.node(1).peers->may_act_without_table(1, dc.now));
  EXPECT_TRUE(dc.node(1).peers->may_act_without_table(2, dc.now));
}

void inject_fault(fake_data_centre& dc, rng& random) {
  const auto pick = [&] { return random.below(dc.ids().size()); };
  fake_node& n = dc.node(pick());
  switch (random.below(8)) {
    case 0:
      dc.cut(dc.ids()[pick()], dc.ids()[pick()]);
      break;
    case 1:
      dc.cut_both(dc.ids()[pick()], dc.ids()[pick()]);
      break;
    case 2:
      dc.restore_links(dc.ids()[pick()], dc.ids()[pick()]);
      break;
    case 3:
      n.can_read_table = !n.can_read_table;
      break;
    case 4:
      n.paused = !n.paused;
      break;
    case 5:
      dc.start(n.id);
      break;
    case 6:
      dc.restore_links();
      break;
    default:
      ++dc.table_row;
      dc.cut_both(dc.ids()[pick()], dc.ids()[pick()]);
      break;
  }
}

struct vote_counts {
  // Some node considers rows older than this version replaced on all nodes.
  std::uint64_t replaced = 0;
  std::size_t acted = 0;
};

void check_votes(fake_data_centre& dc, vote_counts& counts) {
  for (std::size_t k = 0; k < dc.ids().size(); ++k) {
    const fake_node& n = dc.node(k);
    if (!n.paused) {
      counts.replaced = std::max(counts.replaced, n.peers->acknowledged_by_all(n.row, dc.now));
    }
  }
  for (std::size_t k = 0; k < dc.ids().size(); ++k) {
    const fake_node& n = dc.node(k);
    if (!n.paused && n.peers->may_act_without_table(n.row, dc.now)) {
      ++counts.acted;
      ASSERT_GE(n.row, counts.replaced);
    }
  }
}

// Guards against one VM in two replicas, which occurs if a node acts on a row that another node
// considers replaced everywhere. Combines one-way and two-way cuts, pauses, restarts, lost,
// repeated and late messages, and a table that only some nodes can reach.
TEST(Votes, NoNodeActsOnARowConsideredReplacedEverywhere) {
  std::uint64_t max_replaced = 0;
  std::size_t acted = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    rng random(seed);
    fake_data_centre dc(2 + random.below(4), 0, seed);
    dc.step = 50ms;
    dc.drop_probability = 0.1 * random.unit();
    dc.repeat_probability = 0.1;
    dc.jitter = from_seconds(3.0 * random.unit() * random.unit());
    vote_counts counts;
    for (int i = 0; i < 1000; ++i) {
      dc.run_for(random.jitter(400ms));
      if (random.below(20) == 0) {
        inject_fault(dc, random);
      }
      ASSERT_NO_FATAL_FAILURE(check_votes(dc, counts));
    }
    max_replaced = std::max(max_replaced, counts.replaced);
    acted += counts.acted;
  }
  EXPECT_GT(max_replaced, 2U)
      << "the property would hold for nodes that never consider a row replaced";
  EXPECT_GT(acted, 1000U) << "the property would hold for nodes that never act";
}

}  // namespace
}  // namespace arbutus
