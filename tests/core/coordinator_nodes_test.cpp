// Nodes that are cut off, paused, replaced or outdated.
// The simulated cluster checks the invariants after every event.
#include "coordination_fixture.h"

namespace arbutus::testing {
namespace {

// Guards against a node that keeps routing to a dissolved composition. It has lost its peers, the
// table and the targets while a member died and was replaced, so it gets no update.
TEST_F(coordination, node_is_cut_off) {
  bring_up();
  cluster_->isolate(0);
  cluster_->cut_table(0);
  cluster_->cut_targets(0);
  cluster_->run_for(2500ms);
  EXPECT_THAT(cluster_->usable_routes(0), IsEmpty());
  const replica_plan& r = row_.replicas.front();
  cluster_->kill(r.members.back());
  cluster_->run_for(20s);
  EXPECT_THAT(cluster_->usable_routes(1).size(), replicas_);
  EXPECT_THAT(cluster_->usable_routes(2).size(), replicas_);
  cluster_->isolate(0, false);
  cluster_->cut_table(0, false);
  cluster_->cut_targets(0, false);
  EXPECT_TRUE(serve_within(test_timeout));
}

// Guards against a node that dissolves every replica after it has lost its peers and its targets
// but not the table: its plan matches its own view, and the table would accept the write.
TEST_F(coordination, node_without_targets_proposes_nothing) {
  bring_up();
  cluster_->isolate(0);
  cluster_->cut_targets(0);
  cluster_->run_for(20s);
  EXPECT_EQ(cluster_->row_in_table(), row_);
}

// Guards against a node that dissolves a replica after it has lost its peers and one member of the
// replica, although it still reaches the table and most targets.
TEST_F(coordination, node_without_a_majority_waits) {
  bring_up();
  cluster_->isolate(0);
  cluster_->cut_target(0, row_.replicas.front().members.back());
  cluster_->run_for(9s);
  EXPECT_EQ(cluster_->row_in_table(), row_);
}

// Guards against a data centre that stops repairing when two of its three nodes have died and the
// last one waits for a majority that no longer exists.
TEST_F(coordination, last_node_repairs_through_the_table) {
  bring_up();
  cluster_->kill_node(1);
  cluster_->kill_node(2);
  cluster_->run_for(1s);
  cluster_->kill(row_.replicas.front().members.back());
  EXPECT_TRUE(loses_route_and_recovers(60s));
}

// Guards against reverting an accepted configuration. A node is cut off while new rules are
// accepted; it reaches the table again but cannot get the new rules, and by its old rules the new
// row looks wrong.
TEST_F(coordination, node_with_old_rules_proposes_nothing) {
  bring_up();
  cluster_->isolate(0);
  cluster_->cut_table(0);
  cluster_->apply_rules([](rules& r) { r.models.front().placements.front().replicas = 1; });
  cluster_->run_for(20s);
  const assignment newer = cluster_->row_in_table();
  ASSERT_EQ(newer.replicas.size(), 1U);
  cluster_->table.objects.clear();
  cluster_->cut_table(0, false);
  cluster_->run_for(40s);
  EXPECT_EQ(cluster_->row_in_table(), newer);
}

// Guards against a data centre that no longer repairs anything. The configuration's head is
// restored from an old copy while all nodes are replaced, so the row belongs to rules that no node
// has; then a member dies.
TEST_F(coordination, lost_configuration_does_not_stop_repair) {
  bring_up();
  const table_row head = cluster_->table.rows.at(config_head_key);
  cluster_->apply_rules([](rules& r) { r.vm_repair_hours = 5; });
  cluster_->apply_rules([](rules& r) { r.standbys_per_replica = 0; });
  cluster_->run_for(10s);
  ASSERT_EQ(cluster_->row_in_table().config_version, 3U);
  cluster_->table.rows.at(config_head_key) = head;
  for (std::size_t i = 0; i < cluster_->node_count(); ++i) {
    cluster_->kill_node(i);
    cluster_->start_node(i);
  }
  EXPECT_TRUE(serve_within(test_timeout));
  cluster_->kill(row_.replicas.front().members.back());
  EXPECT_TRUE(loses_route_and_recovers(90s));
}

// Guards against ordering a replaced member to form again. A node is cut off from peers and table
// while the row changes; then the replaced VM restarts without a token, and to that node it looks
// like a member that needs its order.
TEST_F(coordination, node_with_an_unconfirmed_row_orders_nothing) {
  bring_up();
  cluster_->isolate(0);
  cluster_->cut_table(0);
  const vm_id replaced = row_.replicas.front().members.back();
  cluster_->kill(replaced);
  cluster_->run_for(15s);
  const auto orders = [&] {
    return cluster_->node(0).status(cluster_->now()).counters.orders_sent;
  };
  const std::uint64_t before = orders();
  cluster_->start(replaced);
  cluster_->run_for(15s);
  EXPECT_EQ(orders(), before);
}

// Guards against two competing compositions of one replica. The table is down; a node is cut off
// from its peers and from one member that the others still reach, and must not activate a standby
// on its own.
TEST_F(coordination, minority_node_activates_no_standby) {
  bring_up();
  cluster_->table.up = false;
  cluster_->run_for(5s);
  cluster_->isolate(0);
  cluster_->cut_target(0, row_.replicas.front().members.back());
  cluster_->run_for(20s);
  EXPECT_EQ(activations(), 0U);
  EXPECT_EQ(cluster_->usable_routes(1).size(), replicas_);
}

// The table is restored from an old copy while all nodes are replaced, so only the targets know
// that newer orders were sent. The row must get a newer version than theirs.
TEST_F(coordination, table_is_restored_while_all_nodes_restart) {
  bring_up();
  const auto old_copy = cluster_->table.rows;
  const vm_id dead = row_.replicas.front().members.back();
  cluster_->kill(dead);
  cluster_->run_for(15s);
  const std::uint64_t newest = cluster_->row_in_table().version;
  cluster_->table.rows = old_copy;
  for (std::size_t i = 0; i < cluster_->node_count(); ++i) {
    cluster_->kill_node(i);
    cluster_->start_node(i);
  }
  EXPECT_TRUE(
      cluster_->run_until([&] { return cluster_->row_in_table().version > newest; }, test_timeout));
  EXPECT_TRUE(loses_route_and_recovers());
}

// Guards against outdated orders from a node that was paused right after a member died and resumes
// after the others have repaired. A process does not know that it was paused.
TEST_F(coordination, deciding_node_is_paused) {
  for (std::size_t paused = 0; paused < 3; ++paused) {
    SCOPED_TRACE(paused);
    bring_up({.checks_fencing_tokens = false});
    cluster_->kill(row_.replicas.front().members.back());
    cluster_->run_for(1700ms);  // until about the time at which nodes detect the loss
    cluster_->pause_node(paused, 15s);
    cluster_->run_for(18s);
    EXPECT_TRUE(serve_within(test_timeout));
    EXPECT_THAT(cluster_->violations, IsEmpty());
  }
}

// Guards against an outdated order to a target that ignores fencing tokens. A node decides on an
// order and is paused before its connection is set up; meanwhile the VM gets a newer order; then
// the node resumes, and the target does not compare the two orders.
class paused_order : public coordination, public ::testing::WithParamInterface<duration> {};

TEST_P(paused_order, is_withheld) {
  bring_up({.checks_fencing_tokens = false});
  cluster_->order_connect_time = 50ms;
  const auto counters = [&](std::size_t i) {
    return cluster_->node(i).status(cluster_->now()).counters;
  };
  const replica_plan& r = row_.replicas.front();
  const std::vector<std::uint64_t> before{counters(0).orders_sent, counters(1).orders_sent,
                                          counters(2).orders_sent};
  cluster_->restart(r.members.front());  // so that its replica has to be formed again
  std::size_t sender = 0;
  const auto ordered = [&] {
    for (sender = 0; sender < before.size(); ++sender) {
      if (counters(sender).orders_sent > before[sender]) {
        return true;
      }
    }
    return false;
  };
  ASSERT_TRUE(cluster_->run_until(ordered, test_timeout));
  cluster_->pause_node(sender, GetParam());
  cluster_->kill(r.members.back());  // so that the replica gets a newer composition
  cluster_->run_for(GetParam() + 5s);
  EXPECT_GT(counters(sender).orders_withheld, 0U);
  EXPECT_EQ(cluster_->stale_orders_obeyed, 0U);
  EXPECT_TRUE(serve_within(test_timeout));
}

INSTANTIATE_TEST_SUITE_P(coordination, paused_order, ::testing::Values(1500ms, 20s));

// Guards against returning targets that ignore tokens to an old row. The table is restored from an
// old copy while all nodes are replaced; new nodes must wait for the targets' reports before they
// act on the table.
TEST_F(coordination, new_nodes_wait_for_reports_before_ordering) {
  bring_up({.checks_fencing_tokens = false});
  const auto old_copy = cluster_->table.rows;
  cluster_->kill(row_.replicas.front().members.back());
  cluster_->run_for(15s);
  cluster_->table.rows = old_copy;
  for (std::size_t i = 0; i < cluster_->node_count(); ++i) {
    cluster_->kill_node(i);
    cluster_->start_node(i);
  }
  cluster_->run_for(30s);
  EXPECT_EQ(cluster_->stale_orders_obeyed, 0U);
}

// Guards against a node that cannot serve because it starts while the table is down: it can only
// get the row from its peers.
TEST_F(coordination, node_starts_while_the_table_is_down) {
  bring_up();
  cluster_->table.up = false;
  cluster_->run_for(5s);
  cluster_->kill_node(1);
  cluster_->run_for(5s);
  cluster_->start_node(1);
  EXPECT_TRUE(serve_within(test_timeout));
}

// Guards against a replaced node that never routes to some replica again. Its new process echoes a
// message that a peer composed for the old process; the peer would treat this as acknowledgement of
// everything sent to the old one and go on sending short forms that refer to it.
TEST_F(coordination, replaced_node_receives_all_observations) {
  for (const std::uint64_t seed : {4, 6, 8}) {  // the order of messages depends on the seed
    SCOPED_TRACE(seed);
    bring_up({.vms = 8, .standbys_per_replica = 0, .seed = seed});
    rng random{seed};
    for (int i = 0; i < 6; ++i) {
      cluster_->isolate(0);
      cluster_->run_for(12s);
      cluster_->kill_node(0);
      cluster_->start_node(0);
      cluster_->run_for(1s + random.jitter(5s));
      cluster_->isolate(0, false);
      cluster_->run_for(10s);  // until its own observations from before the restart expire
      EXPECT_TRUE(all_serve()) << "restart " << i;
    }
  }
}

}  // namespace
}  // namespace arbutus::testing
