// Members that die, pause, stumble and return; fabric domains that go dark.
// Invariants are checked by the fake world after every step.
#include "coordination_fixture.h"

namespace arbutus::testing {
namespace {

TEST_F(coordination, brings_replicas_up_from_nothing) {
  bring_up();
  EXPECT_EQ(world_->table.writes_refused, 0U);
  EXPECT_EQ(world_->table.writes_won, 1U);
}

TEST_F(coordination, leaves_the_row_alone_at_rest) {
  bring_up();
  world_->run_for(60s);
  EXPECT_EQ(world_->row_in_table(), row_);
}

// Symptom: requests are sent to a replica that lacks a machine and never come back.
// Sequence: a member goes dark; no connection is refused, probes just get no answer.
// Cause: nothing tells the nodes; only the age of their evidence can.
TEST_F(coordination, member_dies) {
  bring_up();
  const replica_plan& r = row_.replicas.front();
  world_->kill(r.members.back());
  EXPECT_LT(time_to_no_route(r.id), 2500ms);
  EXPECT_TRUE(serve_within(test_timeout));
  EXPECT_EQ(activations(), 0U);
}

// Symptom: each node sends one more request to a dead machine.
// Sequence: a member dies and one node's connection breaks.
// Cause: the others would find it by their own probes only.
TEST_F(coordination, broken_connection_is_news_for_all) {
  bring_up();
  const replica_plan& r = row_.replicas.front();
  world_->kill(r.members.back());
  world_->connection_error(0, r.members.back());
  EXPECT_LT(time_to_no_route(r.id), 50ms);
}

// Symptom: one dead machine keeps a replica dark for as long as the table is out.
// Sequence: the table goes down, then a member dies; later the table comes back.
// Cause: a new composition seems to need a row, which cannot be written.
TEST_F(coordination, member_dies_while_the_table_is_down) {
  bring_up();
  world_->table.up = false;
  world_->run_for(5s);
  const replica_plan& r = row_.replicas.front();
  world_->kill(r.members.back());
  EXPECT_LT(time_to_no_route(r.id), 2500ms);
  EXPECT_TRUE(serve_within(test_timeout));
  EXPECT_GT(activations(), 0U);

  // When the table is back, the row takes over what serves, without disturbing it.
  world_->table.up = true;
  const bool entered = world_->run_until(
      [&] {
        const assignment now = world_->row_in_table();
        return now.version > row_.version && now.find(r.id)->members != r.members;
      },
      test_timeout);
  EXPECT_TRUE(entered);
  EXPECT_TRUE(all_serve());
  world_->run_for(5s);
  EXPECT_TRUE(all_serve());
}

// Symptom: a machine that was thought dead works for its replica again, beside its successor.
// Sequence: table down, a member is cut off and replaced by a standby, the member comes back.
// Cause: nobody could tell the member that it was replaced.
TEST_F(coordination, replaced_member_returns) {
  bring_up();
  world_->table.up = false;
  world_->run_for(5s);
  const replica_plan& r = row_.replicas.front();
  const vm_id gone = r.members.back();
  for (std::size_t i = 0; i < world_->node_count(); ++i) {
    world_->cut_target(i, gone);
  }
  EXPECT_TRUE(recovers());
  for (std::size_t i = 0; i < world_->node_count(); ++i) {
    world_->cut_target(i, gone, false);
  }
  EXPECT_TRUE(
      world_->run_until([&] { return world_->engine(gone).report.replica.empty(); }, test_timeout));
  EXPECT_TRUE(all_serve());
}

// Symptom: a replica serves with a member whose memory is gone.
// Sequence: an engine process restarts between two probes and answers the next one.
// Cause: the VM never looked dead.
TEST_F(coordination, member_restarts_between_probes) {
  bring_up();
  const replica_plan& r = row_.replicas.front();
  world_->restart(r.members.back());
  EXPECT_LT(time_to_no_route(r.id), 2500ms);
  EXPECT_TRUE(serve_within(test_timeout));
}

// Symptom: requests pile up at a replica that stands still.
// Sequence: a member is paused for ten seconds and then goes on as if nothing had happened.
// Cause: it did not die, so nothing it holds was cleared.
TEST_F(coordination, member_pauses) {
  bring_up();
  const replica_plan& r = row_.replicas.front();
  world_->pause(r.members.front(), 10s);
  EXPECT_LT(time_to_no_route(r.id), 2500ms);
  world_->run_for(12s);
  EXPECT_TRUE(serve_within(test_timeout));
}

// Symptom: a standby is used up for a member that works.
// Sequence: the table is down; one node after the other does not reach the member for a moment.
// Cause: a suspect is not lost.
TEST_F(coordination, suspicion_activates_nothing) {
  bring_up();
  world_->table.up = false;
  world_->run_for(5s);
  const vm_id member = row_.replicas.front().members.front();
  for (std::size_t i = 0; i < world_->node_count(); ++i) {
    world_->cut_target(i, member);
    world_->run_for(1500ms);
    world_->cut_target(i, member, false);
    world_->run_for(5s);
  }
  EXPECT_EQ(activations(), 0U);
  EXPECT_TRUE(all_serve());
}

// Symptom: whole replicas are moved because one probe took long.
// Sequence: a member stands still for less than a second.
// Cause: a straggler is not a loss.
TEST_F(coordination, hiccup_of_a_member_changes_no_row) {
  bring_up();
  world_->pause(row_.replicas.front().members.front(), 600ms);
  world_->run_for(10s);
  EXPECT_EQ(world_->row_in_table(), row_);
  EXPECT_TRUE(all_serve());
}

// Symptom: all replicas of a rack stay down although another rack has room.
// Sequence: every VM of one fabric domain goes dark at once.
// Cause: losses found one by one would be planned one by one.
TEST_F(coordination, fabric_domain_goes_dark) {
  bring_up({.vms = 8, .standbys_per_replica = 0, .spare_vms = 2});
  for (std::size_t i = 0; i < 4; ++i) {
    world_->kill(world_->vms()[i]);
  }
  EXPECT_TRUE(recovers());
}

// Symptom: a repair that waits for the table takes as long as the table is slow.
// Sequence: each call to the table takes three seconds, then a member dies.
// Cause: a slow table fails no call early.
TEST_F(coordination, member_dies_while_the_table_is_slow) {
  bring_up();
  world_->table.latency = 3s;
  world_->run_for(5s);
  world_->kill(row_.replicas.front().members.back());
  EXPECT_TRUE(recovers());
  world_->table.latency = 4ms;
  world_->run_for(10s);
  EXPECT_TRUE(all_serve());
}

}  // namespace
}  // namespace arbutus::testing
