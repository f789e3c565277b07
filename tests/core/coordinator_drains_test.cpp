// Planned stops and targets that leave.
// Invariants are checked by the fake world after every step.
#include "coordination_fixture.h"

namespace arbutus::testing {
namespace {

// Symptom: a VM that is about to be taken away gets new requests until it is gone.
// Sequence: the target itself says that it is leaving.
// Cause: only its prober sees that.
TEST_F(coordination, target_leaves_by_its_own_report) {
  bring_up();
  const replica_plan& r = row_.replicas.front();
  world_->set_leaving(r.members.back());
  EXPECT_LT(time_to_no_route(r.id), 2s);
}

// Sequence: as above, by the platform's list.
TEST_F(coordination, target_leaves_by_the_list) {
  bring_up();
  const replica_plan& r = row_.replicas.front();
  for (const vm_id& vm : world_->vms()) {
    world_->listed.push_back({vm, vm == r.members.back()});
  }
  // From the moment that a node knows: the news must not wait for heartbeats or for the row.
  const auto known = [&] {
    for (std::size_t i = 0; i < world_->node_count(); ++i) {
      if (world_->usable_routes(i).size() < replicas_) {
        return true;
      }
    }
    return false;
  };
  ASSERT_TRUE(world_->run_until(known, test_timeout));
  EXPECT_LT(time_to_no_route(r.id), 50ms);
}

// Symptom: a planned stop cuts answers off.
// Sequence: the rules want one replica less while both run requests.
// Cause: the replica would be taken out of the row at once.
TEST_F(coordination, drain_waits_for_running_requests) {
  bring_up();
  for (const replica_plan& r : row_.replicas) {
    world_->engine(r.members.front()).report.running = 3;
  }
  world_->apply_rules([](rules& r) { r.models.front().placements.front().replicas = 1; });
  replica_id stopping;
  const bool draining = world_->run_until(
      [&] {
        for (const replica_plan& r : world_->row_in_table().replicas) {
          if (r.phase == replica_phase::draining) {
            stopping = r.id;
          }
        }
        return !stopping.empty();
      },
      test_timeout);
  ASSERT_TRUE(draining);
  EXPECT_LT(time_to_no_route(stopping), 2s);
  world_->run_for(20s);
  EXPECT_NE(world_->row_in_table().find(stopping), nullptr) << "still runs three requests";
  world_->engine(row_.find(stopping)->members.front()).report.running = 0;
  EXPECT_TRUE(world_->run_until([&] { return world_->row_in_table().find(stopping) == nullptr; },
                                test_timeout));
}

// Symptom: an answer that a node is still passing on breaks off when its replica is stopped.
// Sequence: as above, but the engine is done already; the node is not.
// Cause: the engine's own report cannot tell.
TEST_F(coordination, drain_waits_for_every_node) {
  bring_up();
  for (const replica_plan& r : row_.replicas) {
    world_->node(2).report_in_flight(r.id, r.gen, 1);
  }
  world_->apply_rules([](rules& r) { r.models.front().placements.front().replicas = 1; });
  world_->run_for(20s);
  EXPECT_EQ(world_->row_in_table().replicas.size(), 2U);
  for (const replica_plan& r : row_.replicas) {
    world_->node(2).report_in_flight(r.id, r.gen, 0);
  }
  EXPECT_TRUE(
      world_->run_until([&] { return world_->row_in_table().replicas.size() == 1; }, test_timeout));
}

}  // namespace
}  // namespace arbutus::testing
