// Tests the planner's repairs, handover of VMs between replicas, drains and rolling updates, one
// scenario per test.
#include <gtest/gtest.h>

#include <algorithm>

#include "core/planner_simulation.h"

namespace arbutus {
namespace {

using testing::planner_simulation;

// One fabric domain with two replicas of three VMs each, and two further VMs.
planner_simulation small_simulation() {
  planner_simulation w;
  w.add_domain(8);
  w.add_model("llm", 3, 2);
  w.settle();
  return w;
}

std::size_t count_new_members(const assignment& before, const assignment& after) {
  std::size_t count = 0;
  for (const replica_plan& r : after.replicas) {
    const replica_plan* old = before.find(r.id);
    for (const vm_id& vm : r.members) {
      count += old == nullptr || std::ranges::count(old->members, vm) == 0 ? 1 : 0;
    }
  }
  return count;
}

TEST(planner_repair, creates_the_placed_replicas) {
  const planner_simulation w = small_simulation();
  EXPECT_EQ(w.count_serving_replicas(), 2U);
  EXPECT_FALSE(make_plan(w.input()).changed);
}

TEST(planner_repair, suspect_member_changes_nothing) {
  planner_simulation w = small_simulation();
  w.set_condition(w.row.replicas[0].members[1], vm_condition::suspect);
  EXPECT_FALSE(w.step()) << w.text();
}

// Guards against a replica that lost a member and stays down although a VM is free.
TEST(planner_repair, lost_member_is_replaced_by_one_vm) {
  planner_simulation w = small_simulation();
  const assignment before = w.row;
  const vm_id lost = before.replicas[0].members[1];
  w.set_condition(lost, vm_condition::lost);
  ASSERT_TRUE(w.step());
  EXPECT_EQ(w.count_serving_replicas(), 2U) << w.text();
  EXPECT_EQ(count_new_members(before, w.row), 1U);
  EXPECT_EQ(w.row.replicas[0].members[0], before.replicas[0].members[0]);
  EXPECT_EQ(w.row.replicas[0].fencing_generation, (generation{w.row.version, 0, 0}));
  EXPECT_EQ(w.row.replicas[1], before.replicas[1]);
}

// Guards against a repaired replica that stops serving again because it is given back the lost VM
// when that returns.
TEST(planner_repair, returned_vm_stays_free) {
  planner_simulation w = small_simulation();
  const vm_id lost = w.row.replicas[0].members[1];
  w.set_condition(lost, vm_condition::lost);
  w.settle();
  const auto members = w.row.replicas[0].members;
  w.set_condition(lost, vm_condition::working);
  w.settle();
  EXPECT_EQ(w.row.replicas[0].members, members);
}

TEST(planner_repair, own_standby_is_used_first) {
  planner_simulation w = small_simulation();
  w.config.desired.standbys_per_replica = 1;
  w.settle();
  const replica_plan before = w.row.replicas[0];
  ASSERT_EQ(before.standbys.size(), 1U) << w.text();
  w.set_condition(before.members[2], vm_condition::lost);
  ASSERT_TRUE(w.step());
  EXPECT_EQ(w.row.replicas[0].members[2], before.standbys[0]);
}

// Guards against a replica that serves with an activated standby and is interrupted when the table
// is reachable again, because the planner rebuilds it with a token that its members do not accept
// yet.
TEST(planner_repair, activation_is_recorded_with_its_own_token) {
  planner_simulation w = small_simulation();
  w.config.desired.standbys_per_replica = 1;
  w.settle();
  const replica_plan before = w.row.replicas[1];
  w.set_condition(before.members[0], vm_condition::lost);
  const auto c = activate(before, w.row.version, 1);
  ASSERT_TRUE(c);
  w.activated_compositions = {*c};
  ASSERT_TRUE(w.step());
  EXPECT_EQ(planned_composition(w.row.replicas[1]), *c) << w.text();
  EXPECT_FALSE(w.step()) << w.text();
}

// Guards against a replica that never forms because its members refuse the token of the row as old.
// A node that missed a withdrawal activates the standby, which belongs to another replica by then;
// the members obey its higher token, of a composition that can no longer form.
TEST(planner_repair, late_activation_is_fenced) {
  planner_simulation w = small_simulation();
  const replica_plan before = w.row.replicas[0];
  composition late = planned_composition(before);
  late.members[1] = w.row.replicas[1].members[0];
  late.fencing_generation = {w.row.version - 1, 1, 2};
  w.row.replicas[0].fencing_generation = {1, 0, 0};
  w.activated_compositions = {late};
  ASSERT_TRUE(w.step());
  EXPECT_EQ(w.row.replicas[0].members, before.members);
  EXPECT_GT(w.row.replicas[0].fencing_generation, late.fencing_generation);
  EXPECT_FALSE(w.step()) << w.text();
}

// Guards against one VM that is ordered into two replicas. The row gives a standby of A to B, while
// a node that has not received that row and cannot read the table activates it for A. B must not
// use the VM before every live node knows that it was withdrawn.
TEST(planner_repair, standby_of_another_waits_for_acknowledgement) {
  planner_simulation w;
  w.add_domain(8);
  w.add_model("llm", 3, 2);
  w.config.desired.standbys_per_replica = 1;
  w.settle();
  const vm_id desired = w.row.replicas[1].standbys[0];
  w.set_condition(w.row.replicas[0].members[0], vm_condition::lost);
  w.set_condition(w.row.replicas[0].standbys[0], vm_condition::lost);
  w.nodes_acknowledge = false;
  w.settle();
  ASSERT_EQ(w.row.withdrawals.size(), 1U) << w.text();
  EXPECT_EQ(w.row.withdrawals[0].vm, desired);
  EXPECT_EQ(w.row.withdrawals[0].since, w.row.version);
  EXPECT_EQ(w.count_serving_replicas(), 1U);
  w.nodes_acknowledge = true;
  w.settle();
  EXPECT_EQ(w.count_serving_replicas(), 2U) << w.text();
  EXPECT_EQ(w.row.replicas[0].members[0], desired);
}

TEST(planner_repair, broken_replicas_are_merged_into_fewer_complete_ones) {
  planner_simulation w;
  w.add_domain(6);
  w.add_model("llm", 3, 2);
  w.settle();
  w.set_condition(w.row.replicas[0].members[0], vm_condition::lost);
  w.set_condition(w.row.replicas[1].members[0], vm_condition::lost);
  w.settle();
  EXPECT_EQ(w.count_serving_replicas(), 1U) << w.text();
}

TEST(planner_repair, higher_rank_drains_a_replica_of_lower_rank) {
  planner_simulation w;
  w.add_domain(6);
  w.add_model("dispatch", 3, 1, 0);
  w.add_model("batch", 3, 1, 1);
  w.settle();
  const auto dispatch = std::ranges::find(w.row.replicas, "dispatch",
                                          [](const replica_plan& r) { return r.model.str(); });
  w.set_condition(dispatch->members[0], vm_condition::lost);
  w.drains_finish = false;
  w.settle();
  EXPECT_EQ(w.count_serving_replicas("dispatch"), 0U) << w.text();
  EXPECT_EQ(std::ranges::count(w.row.replicas, replica_phase::draining, &replica_plan::phase), 1);
  w.drains_finish = true;
  w.settle();
  EXPECT_EQ(w.count_serving_replicas("dispatch"), 1U) << w.text();
  EXPECT_EQ(w.count_serving_replicas("batch"), 0U) << w.text();
}

TEST(planner_repair, crosses_domains_only_if_allowed_and_returns) {
  planner_simulation w;
  w.add_domain(3);
  w.add_domain(6);
  w.add_model("llm", 3, 3);
  w.settle();
  const vm_id lost{planner_simulation::vm_name(0, 1)};
  w.add_domain(1);
  w.set_condition(lost, vm_condition::lost);
  w.settle();
  EXPECT_EQ(w.count_serving_replicas(), 2U) << w.text();
  w.config.desired.models[0].may_cross_fabric_domains = true;
  w.settle();
  EXPECT_EQ(w.count_serving_replicas(), 3U) << w.text();
  EXPECT_EQ(std::ranges::count(w.row.replicas, true, &replica_plan::crosses_fabric_domains), 1);
  w.set_condition(lost, vm_condition::working);
  w.settle();
  EXPECT_EQ(w.count_serving_replicas(), 3U) << w.text();
  EXPECT_EQ(std::ranges::count(w.row.replicas, true, &replica_plan::crosses_fabric_domains), 0);
}

TEST(planner_repair, leaving_member_is_drained_then_replaced) {
  planner_simulation w = small_simulation();
  const vm_id leaving = w.row.replicas[0].members[1];
  w.set_condition(leaving, vm_condition::leaving);
  w.drains_finish = false;
  w.settle();
  EXPECT_EQ(w.row.replicas[0].phase, replica_phase::draining) << w.text();
  EXPECT_EQ(w.row.replicas[0].members[1], leaving);
  w.drains_finish = true;
  w.settle();
  EXPECT_EQ(w.count_serving_replicas(), 2U) << w.text();
  for (const replica_plan& r : w.row.replicas) {
    EXPECT_EQ(std::ranges::count(r.members, leaving), 0);
  }
}

// Guards against a replica across domains that waits for VMs that are free already.
TEST(planner_repair, replica_across_domains_takes_a_free_vm_of_its_main_domain) {
  planner_simulation w;
  w.add_domain(4);
  w.add_domain(2);
  const vm_id returning{planner_simulation::vm_name(0, 3)};
  w.set_condition(returning, vm_condition::lost);
  w.add_model("llm", 5, 1).may_cross_fabric_domains = true;
  w.settle();
  ASSERT_EQ(w.count_serving_replicas(), 1U) << w.text();
  w.set_condition(returning, vm_condition::working);
  w.set_condition(vm_id{planner_simulation::vm_name(1, 1)}, vm_condition::lost);
  w.settle();
  EXPECT_EQ(w.count_serving_replicas(), 1U) << w.text();
}

// Guards against replicas that stay down while one that cannot be repaired keeps their VMs.
TEST(planner_repair, replica_that_cannot_be_repaired_gives_its_vms_to_others_of_its_rank) {
  planner_simulation w;
  w.add_domain(5);
  w.add_model("a", 3, 1);
  w.add_model("b", 1, 2);
  w.settle();
  w.set_condition(vm_id{planner_simulation::vm_name(0, 2)}, vm_condition::lost);
  w.set_condition(vm_id{planner_simulation::vm_name(0, 3)}, vm_condition::lost);
  w.set_condition(vm_id{planner_simulation::vm_name(0, 4)}, vm_condition::lost);
  w.settle();
  EXPECT_EQ(w.count_serving_replicas("b"), 2U) << w.text();
}

// Guards against a model that is unavailable during a change of its version because all its
// replicas load simultaneously.
TEST(planner_rolling_update, one_replica_at_a_time_and_only_when_others_serve) {
  planner_simulation w;
  w.add_domain(9);
  w.add_model("llm", 3, 3);
  w.settle();
  w.config.desired.models[0].version = "v2";
  std::size_t fewest = 3;
  while (w.step()) {
    fewest = std::min(fewest, w.count_serving_replicas());
    EXPECT_LE(std::ranges::count(w.row.replicas, replica_phase::draining, &replica_plan::phase), 1);
  }
  EXPECT_EQ(fewest, 2U);
  EXPECT_EQ(std::ranges::count(w.row.replicas, "v2", &replica_plan::model_version), 3) << w.text();

  w.config.desired.models[0].version = "v3";
  planner_input in = w.input();
  in.serving.pop_back();  // one replica still loads
  EXPECT_FALSE(make_plan(in).changed);
}

TEST(planner_rolling_update, only_replica_is_replaced_before_it_is_removed) {
  planner_simulation w;
  w.add_domain(6);
  w.add_model("llm", 3, 1);
  w.settle();
  w.config.desired.models[0].version = "v2";
  while (w.step()) {
    EXPECT_GE(w.count_serving_replicas(), 1U);
  }
  ASSERT_EQ(w.row.replicas.size(), 1U);
  EXPECT_EQ(w.row.replicas[0].model_version, "v2");
}

// Guards against a model that is unavailable while the successor of its only replica loads. If the
// new replica counts as serving, the old one is surplus and is drained too early.
TEST(planner_rolling_update, predecessor_stays_until_its_successor_serves) {
  planner_simulation w;
  w.add_domain(6);
  w.add_model("llm", 3, 1);
  w.settle();
  const replica_id old = w.row.replicas[0].id;
  w.config.desired.models[0].version = "v2";
  ASSERT_TRUE(w.step());
  ASSERT_EQ(w.row.replicas.size(), 2U);
  planner_input in = w.input();
  in.serving = {old};
  EXPECT_FALSE(make_plan(in).changed);
  const plan p = make_plan(w.input());
  const replica_plan* after = p.next.find(old);
  ASSERT_NE(after, nullptr);
  EXPECT_EQ(after->phase, replica_phase::draining);
}

TEST(planner_rolling_update, surplus_replica_drains_and_is_removed_when_empty) {
  planner_simulation w = small_simulation();
  w.config.desired.models[0].placements[0].replicas = 1;
  w.drains_finish = false;
  w.settle();
  EXPECT_EQ(w.row.replicas.size(), 2U);
  EXPECT_EQ(w.count_serving_replicas(), 1U);
  w.drains_finish = true;
  w.settle();
  EXPECT_EQ(w.row.replicas.size(), 1U);
}

TEST(planner_demand, moves_a_replica_without_oscillating) {
  planner_simulation w;
  w.add_domain(12);
  w.add_model("a", 3, 2);
  w.add_model("b", 3, 2);
  w.settle();
  w.demand = {{model_id{"a"}, 2.5}, {model_id{"b"}, 0.4}};
  w.settle();
  EXPECT_EQ(w.count_serving_replicas("a"), 3U) << w.text();
  EXPECT_EQ(w.count_serving_replicas("b"), 1U);
  w.demand = {{model_id{"a"}, 1.7}, {model_id{"b"}, 0.7}};
  EXPECT_FALSE(w.step()) << w.text();
  w.demand = {{model_id{"a"}, 1.0}, {model_id{"b"}, 0.9}};
  w.settle();
  EXPECT_EQ(w.count_serving_replicas("a"), 2U) << w.text();
  EXPECT_EQ(w.count_serving_replicas("b"), 2U);
}

TEST(planner_guard, older_configuration_or_row_plans_nothing) {
  planner_simulation w = small_simulation();
  w.set_condition(w.row.replicas[0].members[0], vm_condition::lost);
  w.row.config_version = 2;
  EXPECT_FALSE(make_plan(w.input()).changed);
  w.config.version = 2;
  EXPECT_TRUE(make_plan(w.input()).changed);
  w.activated_compositions = {
      {w.row.replicas[0].id, {w.row.version + 1, 0, 0}, w.row.replicas[0].members}};
  EXPECT_FALSE(make_plan(w.input()).changed);
}

TEST(planner_guard, order_of_inputs_does_not_matter) {
  planner_simulation w = small_simulation();
  w.set_condition(w.row.replicas[0].members[0], vm_condition::lost);
  planner_input a = w.input();
  planner_input b = a;
  std::ranges::reverse(b.health);
  std::ranges::reverse(b.serving);
  EXPECT_EQ(make_plan(a).next, make_plan(b).next);
}

}  // namespace
}  // namespace arbutus
