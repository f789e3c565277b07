// Faults of the table: lost replies, restored copies, and rows written without recent activations.
// The simulated cluster checks the invariants after every event.
#include "coordination_fixture.h"

namespace arbutus::testing {
namespace {

// Guards against targets that refuse every order of a valid row. Two nodes without the table
// replace a member that only they have lost; the third, unaware of it, writes a row for another
// reason. The targets then obey a newer generation than the row's.
TEST_F(coordination, row_that_missed_an_activation_supersedes_it) {
  bring_up();
  const vm_id member = row_.replicas.front().members.back();
  for (const std::size_t i : {1U, 2U}) {
    world_->cut_table(i);
    world_->cut_target(i, member);
    world_->cut(0, i);
    world_->cut(i, 0);
  }
  world_->apply_rules([](rules& r) { r.models.front().placements.front().replicas = 1; });
  world_->run_for(14s);
  EXPECT_GT(activations(), 0U);
  EXPECT_GT(world_->row_in_table().version, row_.version);
  for (const std::size_t i : {1U, 2U}) {
    world_->cut_table(i, false);
    world_->cut_target(i, member, false);
    world_->cut(0, i, false);
    world_->cut(i, 0, false);
  }
  replicas_ = 1;
  world_->run_for(10s);
  EXPECT_TRUE(serve_within(patience));
}

// Guards against writing one change twice, where the second write undoes work of the first. A write
// takes effect but its reply is lost; the proposer must not treat a missing answer as a failure.
TEST_F(coordination, reply_to_a_write_is_lost) {
  bring_up();
  const std::uint64_t before = world_->table.writes_won;
  world_->table.lose_write_replies = 1;
  world_->kill(row_.replicas.front().members.back());
  EXPECT_TRUE(recovers());
  world_->run_for(5s);
  // One write for the repair; others may follow to reserve a new standby or return a withdrawn VM.
  EXPECT_LE(world_->table.writes_won - before, 3U);
}

// Guards against a return to an older row, in which VMs belong to replicas they left, under tokens
// used before. A member dies and is replaced, then the platform restores the table from an old
// copy, whose row looks valid to any reader.
TEST_F(coordination, table_is_restored_from_an_old_copy) {
  bring_up();
  const auto old_copy = world_->table.rows;
  world_->kill(row_.replicas.front().members.back());
  world_->run_for(15s);
  const assignment newest = world_->row_in_table();
  ASSERT_GT(newest.version, row_.version);
  world_->table.rows = old_copy;
  EXPECT_TRUE(
      world_->run_until([&] { return world_->row_in_table().version > newest.version; }, patience));
  EXPECT_EQ(world_->row_in_table().replicas, newest.replicas);
  EXPECT_TRUE(all_serve());
}

}  // namespace
}  // namespace arbutus::testing
