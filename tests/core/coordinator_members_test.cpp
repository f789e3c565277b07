// Members that die, pause, restart and return, and fabric domains that fail.
// The simulated cluster checks the invariants after every event.
#include "coordination_fixture.h"

namespace arbutus::testing {
namespace {

TEST_F(coordination, brings_replicas_up_from_nothing) {
  bring_up();
  EXPECT_EQ(cluster_->table.writes_refused, 0U);
  EXPECT_EQ(cluster_->table.writes_won, 1U);
}

TEST_F(coordination, keeps_the_row_unchanged_while_nothing_changes) {
  bring_up();
  cluster_->run_for(60s);
  EXPECT_EQ(cluster_->row_in_table(), row_);
}

// Guards against sending requests to a replica that has lost a VM. No connection is refused and
// probes just get no answer, so nodes can notice the loss only by the age of their newest
// observation of the VM.
TEST_F(coordination, member_dies) {
  bring_up();
  const replica_plan& r = row_.replicas.front();
  cluster_->kill(r.members.back());
  EXPECT_LT(time_to_no_route(r.id), 2500ms);
  EXPECT_TRUE(serve_within(test_timeout));
  EXPECT_EQ(activations(), 0U);
}

// Guards against every node sending one more request to a dead VM: one node's connection breaks,
// and the others would learn of the loss from their own probes only.
TEST_F(coordination, broken_connection_is_reported_to_all_nodes) {
  bring_up();
  const replica_plan& r = row_.replicas.front();
  cluster_->kill(r.members.back());
  cluster_->connection_error(0, r.members.back());
  EXPECT_LT(time_to_no_route(r.id), 50ms);
}

// Guards against a replica that stays down after a member's death until the table is available
// again, because a new composition would need a row, which cannot be written.
TEST_F(coordination, member_dies_while_the_table_is_down) {
  bring_up();
  cluster_->table.up = false;
  cluster_->run_for(5s);
  const replica_plan& r = row_.replicas.front();
  cluster_->kill(r.members.back());
  EXPECT_LT(time_to_no_route(r.id), 2500ms);
  EXPECT_TRUE(serve_within(test_timeout));
  EXPECT_GT(activations(), 0U);

  // Once the table is available again, the row records the activated composition without
  // interrupting it.
  cluster_->table.up = true;
  const bool entered = cluster_->run_until(
      [&] {
        const assignment now = cluster_->row_in_table();
        return now.version > row_.version && now.find(r.id)->members != r.members;
      },
      test_timeout);
  EXPECT_TRUE(entered);
  EXPECT_TRUE(all_serve());
  cluster_->run_for(5s);
  EXPECT_TRUE(all_serve());
}

// Guards against a replaced member that works for its replica again beside its successor. The
// member was cut off while a standby replaced it, so no order could reach it. The table is down.
TEST_F(coordination, replaced_member_returns) {
  bring_up();
  cluster_->table.up = false;
  cluster_->run_for(5s);
  const replica_plan& r = row_.replicas.front();
  const vm_id replaced = r.members.back();
  for (std::size_t i = 0; i < cluster_->node_count(); ++i) {
    cluster_->cut_target(i, replaced);
  }
  EXPECT_TRUE(loses_route_and_recovers());
  for (std::size_t i = 0; i < cluster_->node_count(); ++i) {
    cluster_->cut_target(i, replaced, false);
  }
  EXPECT_TRUE(cluster_->run_until([&] { return cluster_->engine(replaced).report.replica.empty(); },
                                  test_timeout));
  EXPECT_TRUE(all_serve());
}

// Guards against a replica that serves with a member that has lost its state: the engine process
// restarts between two probes and answers the next one, so the VM never appears lost.
TEST_F(coordination, member_restarts_between_probes) {
  bring_up();
  const replica_plan& r = row_.replicas.front();
  cluster_->restart(r.members.back());
  EXPECT_LT(time_to_no_route(r.id), 2500ms);
  EXPECT_TRUE(serve_within(test_timeout));
}

// Guards against requests piling up at a paused replica. A member is paused for ten seconds and
// then resumes with its old state, because its process did not die.
TEST_F(coordination, member_pauses) {
  bring_up();
  const replica_plan& r = row_.replicas.front();
  cluster_->pause(r.members.front(), 10s);
  EXPECT_LT(time_to_no_route(r.id), 2500ms);
  cluster_->run_for(12s);
  EXPECT_TRUE(serve_within(test_timeout));
}

// Guards against activating a standby for a working member. While the table is down, one node after
// the other briefly fails to reach the member, which makes it suspect but not lost.
TEST_F(coordination, suspect_member_activates_no_standby) {
  bring_up();
  cluster_->table.up = false;
  cluster_->run_for(5s);
  const vm_id member = row_.replicas.front().members.front();
  for (std::size_t i = 0; i < cluster_->node_count(); ++i) {
    cluster_->cut_target(i, member);
    cluster_->run_for(1500ms);
    cluster_->cut_target(i, member, false);
    cluster_->run_for(5s);
  }
  EXPECT_EQ(activations(), 0U);
  EXPECT_TRUE(all_serve());
}

// Guards against moving a whole replica because of one slow probe: a member that is paused for less
// than a second is not lost.
TEST_F(coordination, short_pause_of_a_member_changes_no_row) {
  bring_up();
  cluster_->pause(row_.replicas.front().members.front(), 600ms);
  cluster_->run_for(10s);
  EXPECT_EQ(cluster_->row_in_table(), row_);
  EXPECT_TRUE(all_serve());
}

// Guards against replicas that stay down after their whole fabric domain has failed, although
// another domain has room. Losses detected one by one must not be planned one by one.
TEST_F(coordination, fabric_domain_fails) {
  bring_up({.vms = 8, .standbys_per_replica = 0, .spare_vms = 2});
  for (std::size_t i = 0; i < 4; ++i) {
    cluster_->kill(cluster_->vms()[i]);
  }
  EXPECT_TRUE(loses_route_and_recovers());
}

// Guards against a repair that waits for a slow table. Each call to the table takes three seconds,
// so no call fails early; then a member dies.
TEST_F(coordination, member_dies_while_the_table_is_slow) {
  bring_up();
  cluster_->table.latency = 3s;
  cluster_->run_for(5s);
  cluster_->kill(row_.replicas.front().members.back());
  EXPECT_TRUE(loses_route_and_recovers());
  cluster_->table.latency = 4ms;
  cluster_->run_for(10s);
  EXPECT_TRUE(all_serve());
}

}  // namespace
}  // namespace arbutus::testing
