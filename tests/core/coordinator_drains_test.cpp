// Planned stops of replicas, and targets that leave.
// The simulated cluster checks the invariants after every event.
#include "coordination_fixture.h"

namespace arbutus::testing {
namespace {

// Guards against new requests to a VM that is about to be removed. The target reports that it is
// leaving, but only the node that probes it receives the report.
TEST_F(coordination, target_leaves_by_its_own_report) {
  bring_up();
  const replica_plan& r = row_.replicas.front();
  cluster_->set_leaving(r.members.back());
  EXPECT_LT(time_to_no_route(r.id), 2s);
}

// Guards against new requests to a VM that is about to be removed, when only the platform's VM list
// marks it as leaving.
TEST_F(coordination, target_leaves_by_the_list) {
  bring_up();
  const replica_plan& r = row_.replicas.front();
  for (const vm_id& vm : cluster_->vms()) {
    cluster_->vm_list.push_back({vm, vm == r.members.back()});
  }
  // Once one node knows that the VM leaves, the other nodes must learn it without waiting for a
  // regular heartbeat or a new row.
  const auto known = [&] {
    for (std::size_t i = 0; i < cluster_->node_count(); ++i) {
      if (cluster_->usable_routes(i).size() < replicas_) {
        return true;
      }
    }
    return false;
  };
  ASSERT_TRUE(cluster_->run_until(known, test_timeout));
  EXPECT_LT(time_to_no_route(r.id), 50ms);
}

// Guards against a planned stop that cuts off answers: the rules ask for one replica fewer while
// both run requests, so the replica must not be removed from the row immediately.
TEST_F(coordination, drain_waits_for_running_requests) {
  bring_up();
  for (const replica_plan& r : row_.replicas) {
    cluster_->engine(r.members.front()).report.running = 3;
  }
  cluster_->apply_rules([](rules& r) { r.models.front().placements.front().replicas = 1; });
  replica_id stopping;
  const bool draining = cluster_->run_until(
      [&] {
        for (const replica_plan& r : cluster_->row_in_table().replicas) {
          if (r.phase == replica_phase::draining) {
            stopping = r.id;
          }
        }
        return !stopping.empty();
      },
      test_timeout);
  ASSERT_TRUE(draining);
  EXPECT_LT(time_to_no_route(stopping), 2s);
  cluster_->run_for(20s);
  EXPECT_NE(cluster_->row_in_table().find(stopping), nullptr) << "still runs three requests";
  cluster_->engine(row_.find(stopping)->members.front()).report.running = 0;
  EXPECT_TRUE(cluster_->run_until(
      [&] { return cluster_->row_in_table().find(stopping) == nullptr; }, test_timeout));
}

// Guards against cutting off an answer that a node is still forwarding when the replica is stopped.
// The engine has finished and reports no running requests, so only that node knows of the answer.
TEST_F(coordination, drain_waits_for_every_node) {
  bring_up();
  for (const replica_plan& r : row_.replicas) {
    cluster_->node(2).report_in_flight(r.id, r.fencing_generation, 1);
  }
  cluster_->apply_rules([](rules& r) { r.models.front().placements.front().replicas = 1; });
  cluster_->run_for(20s);
  EXPECT_EQ(cluster_->row_in_table().replicas.size(), 2U);
  for (const replica_plan& r : row_.replicas) {
    cluster_->node(2).report_in_flight(r.id, r.fencing_generation, 0);
  }
  EXPECT_TRUE(cluster_->run_until([&] { return cluster_->row_in_table().replicas.size() == 1; },
                                  test_timeout));
}

}  // namespace
}  // namespace arbutus::testing
