// Combinations of two faults.
// The simulated cluster checks the invariants after every event.
#include "coordination_fixture.h"

namespace arbutus::testing {
namespace {

// Fault: the table is down, and two members of a replica with two standbys die one after the other.
TEST_F(coordination, two_members_die_while_the_table_is_down) {
  bring_up({.vms = 8, .fabric_domains = 1, .standbys_per_replica = 2});
  cluster_->table.up = false;
  cluster_->run_for(5s);
  const replica_plan& r = row_.replicas.front();
  cluster_->kill(r.members.front());
  cluster_->run_for(4s);
  cluster_->kill(r.members.back());
  EXPECT_TRUE(loses_route_and_recovers());
}

// Fault: the table is down, a member dies, and the standby that replaces it dies while it loads.
TEST_F(coordination, standby_dies_while_it_loads) {
  bring_up({.vms = 8, .fabric_domains = 1, .standbys_per_replica = 2});
  cluster_->table.up = false;
  cluster_->run_for(5s);
  const replica_plan& r = row_.replicas.front();
  cluster_->kill(r.members.front());
  ASSERT_TRUE(cluster_->run_until(
      [&] { return !cluster_->engine(r.standbys.front()).report.replica.empty(); }, test_timeout));
  cluster_->kill(r.standbys.front());
  EXPECT_TRUE(loses_route_and_recovers());
}

// Fault: a fabric domain fails while replies to writes of the table are lost and a node is paused.
TEST_F(coordination, fabric_domain_fails_with_lost_replies_and_a_paused_node) {
  bring_up({.vms = 8, .standbys_per_replica = 0, .spare_vms = 2});
  cluster_->table.lose_write_replies = 2;
  cluster_->pause_node(0, 8s);
  for (std::size_t i = 0; i < 4; ++i) {
    cluster_->kill(cluster_->vms()[i]);
  }
  cluster_->run_for(10s);
  EXPECT_TRUE(serve_within(test_timeout));
}

// Fault: a member dies while the table is down, and then the only node that repairs the replica
// dies, too.
TEST_F(coordination, repairing_node_dies) {
  bring_up({.nodes = 5});
  cluster_->table.up = false;
  cluster_->run_for(5s);
  cluster_->kill(row_.replicas.front().members.back());
  ASSERT_TRUE(cluster_->run_until([&] { return activations() > 0; }, test_timeout));
  for (std::size_t i = 0; i < cluster_->node_count(); ++i) {
    if (cluster_->node(i).status(cluster_->now()).counters.activations > 0) {
      cluster_->kill_node(i);
      break;
    }
  }
  EXPECT_TRUE(serve_within(test_timeout));
}

// Fault: targets ignore fencing tokens; a member dies, then each node in turn is cut off from its
// peers.
TEST_F(coordination, targets_without_token_check_and_partitions) {
  bring_up({.checks_fencing_tokens = false});
  cluster_->kill(row_.replicas.front().members.back());
  for (std::size_t i = 0; i < cluster_->node_count(); ++i) {
    cluster_->isolate(i);
    cluster_->run_for(6s);
    cluster_->isolate(i, false);
    cluster_->run_for(2s);
  }
  EXPECT_TRUE(serve_within(test_timeout));
}

// Fault: messages between nodes are lost throughout, and one link works in one direction only.
TEST_F(coordination, lossy_and_one_way_links) {
  bring_up();
  cluster_->drop_probability = 0.05;
  cluster_->cut(0, 1);
  cluster_->run_for(30s);
  cluster_->kill(row_.replicas.front().members.back());
  EXPECT_TRUE(loses_route_and_recovers());
}

}  // namespace
}  // namespace arbutus::testing
