// Faults of the table: lost replies, restored copies, and rows written without recent activations.
// The simulated cluster checks the invariants after every event.
#include "coordination_fixture.h"

namespace arbutus::testing {
namespace {

// Guards against targets that refuse every order of a valid row. Two nodes that cannot reach the
// table replace a member that only they have lost; the third, unaware of it, writes a row for
// another reason. The targets then obey a newer generation than the row's.
TEST_F(coordination, row_that_missed_an_activation_supersedes_it) {
  bring_up();
  const vm_id member = row_.replicas.front().members.back();
  for (const std::size_t i : {1U, 2U}) {
    cluster_->cut_table(i);
    cluster_->cut_target(i, member);
    cluster_->cut(0, i);
    cluster_->cut(i, 0);
  }
  cluster_->apply_rules([](rules& r) { r.models.front().placements.front().replicas = 1; });
  cluster_->run_for(14s);
  EXPECT_GT(activations(), 0U);
  EXPECT_GT(cluster_->row_in_table().version, row_.version);
  for (const std::size_t i : {1U, 2U}) {
    cluster_->cut_table(i, false);
    cluster_->cut_target(i, member, false);
    cluster_->cut(0, i, false);
    cluster_->cut(i, 0, false);
  }
  replicas_ = 1;
  cluster_->run_for(10s);
  EXPECT_TRUE(serve_within(test_timeout));
}

// Guards against writing one change twice, where the second write undoes work of the first. A write
// takes effect but its reply is lost; the proposer must not treat a missing answer as a failure.
TEST_F(coordination, reply_to_a_write_is_lost) {
  bring_up();
  const std::uint64_t before = cluster_->table.writes_won;
  cluster_->table.lose_write_replies = 1;
  cluster_->kill(row_.replicas.front().members.back());
  EXPECT_TRUE(loses_route_and_recovers());
  cluster_->run_for(5s);
  // One write of the row is for the repair; others may follow to reserve a new standby or return a
  // withdrawn VM.
  EXPECT_LE(cluster_->table.writes_won - before, 3U);
}

// Guards against a return to an older row, in which VMs belong to replicas they left, under tokens
// used before. A member dies and is replaced, then the platform restores the table from an old
// copy, whose row looks valid to any reader.
TEST_F(coordination, table_is_restored_from_an_old_copy) {
  bring_up();
  const auto old_copy = cluster_->table.rows;
  cluster_->kill(row_.replicas.front().members.back());
  cluster_->run_for(15s);
  const assignment newest = cluster_->row_in_table();
  ASSERT_GT(newest.version, row_.version);
  cluster_->table.rows = old_copy;
  EXPECT_TRUE(cluster_->run_until([&] { return cluster_->row_in_table().version > newest.version; },
                                  test_timeout));
  EXPECT_EQ(cluster_->row_in_table().replicas, newest.replicas);
  EXPECT_TRUE(all_serve());
}

}  // namespace
}  // namespace arbutus::testing
