// Nodes that are cut off, paused, replaced, blind or behind.
// Invariants are checked by the fake world after every step.
#include "coordination_fixture.h"

namespace arbutus::testing {
namespace {

// Symptom: a node that is cut off goes on sending to a replica that was taken apart.
// Sequence: a node loses peers, table and targets; meanwhile a member dies and is replaced.
// Cause: the node hears nothing, so nothing tells it to stop.
TEST_F(coordination, node_is_cut_off) {
  bring_up();
  world_->isolate(0);
  world_->cut_table(0);
  world_->cut_targets(0);
  world_->run_for(2500ms);
  EXPECT_THAT(world_->usable_routes(0), IsEmpty());
  const replica_plan& r = row_.replicas.front();
  world_->kill(r.members.back());
  world_->run_for(20s);
  EXPECT_THAT(world_->usable_routes(1).size(), replicas_);
  EXPECT_THAT(world_->usable_routes(2).size(), replicas_);
  world_->isolate(0, false);
  world_->cut_table(0, false);
  world_->cut_targets(0, false);
  EXPECT_TRUE(serve_within(test_timeout));
}

// Symptom: a node that sees no target takes every replica apart.
// Sequence: a node loses its peers and its targets but not the table.
// Cause: its plan is right for what it sees, and the table accepts its write.
TEST_F(coordination, blind_node_with_the_table_proposes_nothing) {
  bring_up();
  world_->isolate(0);
  world_->cut_targets(0);
  world_->run_for(20s);
  EXPECT_EQ(world_->row_in_table(), row_);
}

// Symptom: a replica that serves is taken apart.
// Sequence: a node loses its peers and one member, but not the table.
// Cause: as above; here most targets are in sight.
TEST_F(coordination, node_without_a_majority_waits) {
  bring_up();
  world_->isolate(0);
  world_->cut_target(0, row_.replicas.front().members.back());
  world_->run_for(9s);
  EXPECT_EQ(world_->row_in_table(), row_);
}

// Symptom: a data centre whose entry VMs mostly died repairs nothing any more.
// Sequence: two of three nodes die, then a member.
// Cause: the last one waits for a majority that is gone.
TEST_F(coordination, last_node_goes_on_with_the_table) {
  bring_up();
  world_->kill_node(1);
  world_->kill_node(2);
  world_->run_for(1s);
  world_->kill(row_.replicas.front().members.back());
  EXPECT_TRUE(recovers(60s));
}

// Symptom: an accepted configuration is taken back.
// Sequence: a node is cut off while new rules are accepted; it comes back to the table, but the
// content of the new rules cannot be had.
// Cause: to its old rules the new row looks wrong.
TEST_F(coordination, node_with_old_rules_proposes_nothing) {
  bring_up();
  world_->isolate(0);
  world_->cut_table(0);
  world_->apply_rules([](rules& r) { r.models.front().placements.front().replicas = 1; });
  world_->run_for(20s);
  const assignment newer = world_->row_in_table();
  ASSERT_EQ(newer.replicas.size(), 1U);
  world_->table.objects.clear();
  world_->cut_table(0, false);
  world_->run_for(40s);
  EXPECT_EQ(world_->row_in_table(), newer);
}

// Symptom: nothing is repaired any more.
// Sequence: the configuration's head is restored from an old copy while all nodes are replaced;
// then a member dies.
// Cause: the row was made for rules that nobody has any more.
TEST_F(coordination, lost_rules_do_not_stop_repair) {
  bring_up();
  const table_row head = world_->table.rows.at(config_head_key);
  world_->apply_rules([](rules& r) { r.vm_repair_hours = 5; });
  world_->apply_rules([](rules& r) { r.standbys_per_replica = 0; });
  world_->run_for(10s);
  ASSERT_EQ(world_->row_in_table().config_version, 3U);
  world_->table.rows.at(config_head_key) = head;
  for (std::size_t i = 0; i < world_->node_count(); ++i) {
    world_->kill_node(i);
    world_->start_node(i);
  }
  EXPECT_TRUE(serve_within(test_timeout));
  world_->kill(row_.replicas.front().members.back());
  EXPECT_TRUE(recovers(90s));
}

// Symptom: a member that was replaced long ago is formed again.
// Sequence: a node is cut off from peers and table; the row changes; the replaced VM restarts and
// knows no token.
// Cause: to the node it is a member that has lost its order.
TEST_F(coordination, node_with_an_unconfirmed_row_orders_nothing) {
  bring_up();
  world_->isolate(0);
  world_->cut_table(0);
  const vm_id replaced = row_.replicas.front().members.back();
  world_->kill(replaced);
  world_->run_for(15s);
  const auto orders = [&] { return world_->node(0).status(world_->now()).counters.orders_sent; };
  const std::uint64_t before = orders();
  world_->start(replaced);
  world_->run_for(15s);
  EXPECT_EQ(orders(), before);
}

// Symptom: two compositions of one replica fight.
// Sequence: the table is down; a minority node is cut off from its peers, not from the targets,
// and loses sight of a member that the others still reach.
// Cause: it would activate a standby alone.
TEST_F(coordination, minority_activates_nothing) {
  bring_up();
  world_->table.up = false;
  world_->run_for(5s);
  world_->isolate(0);
  world_->cut_target(0, row_.replicas.front().members.back());
  world_->run_for(20s);
  EXPECT_EQ(activations(), 0U);
  EXPECT_EQ(world_->usable_routes(1).size(), replicas_);
}

// Symptom: as above, but nobody is left who remembers.
// Sequence: the table is restored from an old copy while all nodes are replaced.
// Cause: only the targets know that newer orders were given.
TEST_F(coordination, table_is_restored_while_all_nodes_restart) {
  bring_up();
  const auto old_copy = world_->table.rows;
  const vm_id dead = row_.replicas.front().members.back();
  world_->kill(dead);
  world_->run_for(15s);
  const std::uint64_t newest = world_->row_in_table().version;
  world_->table.rows = old_copy;
  for (std::size_t i = 0; i < world_->node_count(); ++i) {
    world_->kill_node(i);
    world_->start_node(i);
  }
  EXPECT_TRUE(
      world_->run_until([&] { return world_->row_in_table().version > newest; }, test_timeout));
  EXPECT_TRUE(recovers());
}

// Symptom: a node that was paused sends orders decided long ago.
// Sequence: a node is paused right after a member died; the others repair; it goes on.
// Cause: a paused process does not know that it was paused.
TEST_F(coordination, deciding_node_is_paused) {
  for (std::size_t paused = 0; paused < 3; ++paused) {
    SCOPED_TRACE(paused);
    bring_up({.checks_tokens = false});
    world_->kill(row_.replicas.front().members.back());
    world_->run_for(1700ms);  // found lost by about now
    world_->pause_node(paused, 15s);
    world_->run_for(18s);
    EXPECT_TRUE(serve_within(test_timeout));
    EXPECT_THAT(world_->violations, IsEmpty());
  }
}

// Symptom: a target that ignores tokens is called back to a replica that it left.
// Sequence: a node decides on an order and is paused before its connection stands; meanwhile the
// VM gets a newer order; the node goes on where it stood.
// Cause: as above; the target does not compare the two orders.
class paused_order : public coordination, public ::testing::WithParamInterface<duration> {};

TEST_P(paused_order, is_held_back) {
  bring_up({.checks_tokens = false});
  world_->connect_time = 50ms;
  const auto counters = [&](std::size_t i) {
    return world_->node(i).status(world_->now()).counters;
  };
  const replica_plan& r = row_.replicas.front();
  const std::vector<std::uint64_t> before{counters(0).orders_sent, counters(1).orders_sent,
                                          counters(2).orders_sent};
  world_->restart(r.members.front());  // to be formed again
  std::size_t sender = 0;
  const auto ordered = [&] {
    for (sender = 0; sender < before.size(); ++sender) {
      if (counters(sender).orders_sent > before[sender]) {
        return true;
      }
    }
    return false;
  };
  ASSERT_TRUE(world_->run_until(ordered, test_timeout));
  world_->pause_node(sender, GetParam());
  world_->kill(r.members.back());  // the replica gets a newer composition
  world_->run_for(GetParam() + 5s);
  EXPECT_GT(counters(sender).orders_withheld, 0U);
  EXPECT_EQ(world_->overtaken_orders, 0U);
  EXPECT_TRUE(serve_within(test_timeout));
}

INSTANTIATE_TEST_SUITE_P(coordination, paused_order, ::testing::Values(1500ms, 20s));

// Symptom: targets that ignore tokens are thrown back to an old row.
// Sequence: the table is restored from an old copy while all nodes are replaced.
// Cause: a new node would believe the table before it has heard the targets.
TEST_F(coordination, new_nodes_listen_before_they_order) {
  bring_up({.checks_tokens = false});
  const auto old_copy = world_->table.rows;
  world_->kill(row_.replicas.front().members.back());
  world_->run_for(15s);
  world_->table.rows = old_copy;
  for (std::size_t i = 0; i < world_->node_count(); ++i) {
    world_->kill_node(i);
    world_->start_node(i);
  }
  world_->run_for(30s);
  EXPECT_EQ(world_->overtaken_orders, 0U);
}

// Symptom: a node that starts during an outage can serve nobody.
// Sequence: the table is down; a node is replaced.
// Cause: the row is only in the table and in its peers.
TEST_F(coordination, node_starts_while_the_table_is_down) {
  bring_up();
  world_->table.up = false;
  world_->run_for(5s);
  world_->kill_node(1);
  world_->run_for(5s);
  world_->start_node(1);
  EXPECT_TRUE(serve_within(test_timeout));
}

// Symptom: a node that was replaced never routes to some replica again.
// Sequence: it is replaced while cut off; its new process echoes a message that a peer composed for
// the old one; the peer takes that as proof that what the old one had been told is known.
// Cause: the short form of an observation stands for an earlier message.
TEST_F(coordination, replaced_node_learns_everything_anew) {
  for (const std::uint64_t seed : {4, 6, 8}) {  // which message crosses which is chance
    SCOPED_TRACE(seed);
    bring_up({.vms = 8, .standbys_per_replica = 0, .seed = seed});
    rng random{seed};
    for (int i = 0; i < 6; ++i) {
      world_->isolate(0);
      world_->run_for(12s);
      world_->kill_node(0);
      world_->start_node(0);
      world_->run_for(1s + random.jitter(5s));
      world_->isolate(0, false);
      world_->run_for(10s);  // what it saw itself while cut off lapses
      EXPECT_TRUE(all_serve()) << "restart " << i;
    }
  }
}

}  // namespace
}  // namespace arbutus::testing
