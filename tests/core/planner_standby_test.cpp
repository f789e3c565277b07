// Tests how many standbys are worthwhile, by their cost and the downtime that they save, and which
// VMs are reserved as standbys.
#include <gtest/gtest.h>

#include "core/planner_simulation.h"
#include "version/standby.h"

namespace arbutus {
namespace {

using testing::planner_simulation;

// Replicas of 16 VMs, with the failure rate of a fleet of 1,300 VMs in which 29 VMs fail per day.
standby_inputs large_replicas() {
  return {16, 29.0 / 1300 / 24, 4, 2, 0, {1, 1}};
}

TEST(standby_price, each_standby_saves_less_than_the_one_before) {
  const standby_inputs q = large_replicas();
  const double saved_by_first = expected_downtime(q, 0) - expected_downtime(q, 1);
  const double saved_by_second = expected_downtime(q, 1) - expected_downtime(q, 2);
  EXPECT_GT(saved_by_first, 10 * saved_by_second);
  EXPECT_GT(saved_by_second, 0);
}

TEST(standby_price, costly_downtime_justifies_more_standbys) {
  standby_inputs q = large_replicas();
  q.preference = {4, 1};
  EXPECT_EQ(worthwhile_standbys(q).worthwhile_count, 1U);
  q.preference = {50, 1};
  EXPECT_EQ(worthwhile_standbys(q).worthwhile_count, 2U);
  q.preference = {0.1, 1};
  EXPECT_EQ(worthwhile_standbys(q).worthwhile_count, 0U);
}

TEST(standby_price, shared_spares_make_reservations_worth_less) {
  standby_inputs q = large_replicas();
  q.preference = {4, 1};
  q.spares_per_domain = 2;
  EXPECT_EQ(worthwhile_standbys(q).worthwhile_count, 0U);
  EXPECT_GE(worthwhile_standbys(q).worthwhile_count_when_idle, 1U);
}

TEST(standby_price, no_failures_no_reservations) {
  standby_inputs q = large_replicas();
  q.failures_per_hour = 0;
  EXPECT_EQ(worthwhile_standbys(q).worthwhile_count_when_idle, 0U);
}

planner_simulation simulation_with_idle_vms(std::size_t idle) {
  planner_simulation w;
  w.add_domain(6 + idle);
  w.add_model("llm", 3, 2);
  w.config.desired.vm_failures_per_day = 1;
  w.settle();
  return w;
}

TEST(standbys, idle_vms_are_reserved_one_each_first) {
  const planner_simulation w = simulation_with_idle_vms(2);
  for (const replica_plan& r : w.row.replicas) {
    EXPECT_EQ(r.standbys.size(), 1U) << w.text();
  }
}

TEST(standbys, shared_spares_stay_free) {
  planner_simulation w;
  w.add_domain(8);
  w.add_model("llm", 3, 2);
  w.config.desired.vm_failures_per_day = 1;
  w.config.desired.spare_vms_per_data_centre = 2;
  w.settle();
  for (const replica_plan& r : w.row.replicas) {
    EXPECT_TRUE(r.standbys.empty()) << w.text();
  }
}

TEST(standbys, are_in_the_replicas_own_domain) {
  planner_simulation w;
  w.add_domain(3);
  w.add_domain(5);
  w.add_model("llm", 3, 2);
  w.config.desired.standbys_per_replica = 1;
  w.settle();
  for (const replica_plan& r : w.row.replicas) {
    for (const vm_id& vm : r.standbys) {
      EXPECT_EQ(vm.str()[3], r.members[0].str()[3]) << w.text();
    }
  }
  EXPECT_EQ(w.row.replicas[0].standbys.size() + w.row.replicas[1].standbys.size(), 1U);
}

TEST(standbys, lost_one_is_replaced_and_surplus_taken_back) {
  planner_simulation w = simulation_with_idle_vms(3);
  w.config.desired.standbys_per_replica = 1;
  w.settle();
  const vm_id lost = w.row.replicas[0].standbys[0];
  const generation fencing_generation = w.row.replicas[0].fencing_generation;
  w.set_condition(lost, vm_condition::lost);
  w.settle();
  ASSERT_EQ(w.row.replicas[0].standbys.size(), 1U) << w.text();
  EXPECT_NE(w.row.replicas[0].standbys[0], lost);
  EXPECT_EQ(w.row.replicas[0].fencing_generation, fencing_generation);
}

TEST(standbys, members_and_standbys_fit_the_mask) {
  planner_simulation w;
  w.add_domain(60);
  w.add_model("llm", 30, 1);
  w.config.desired.standbys_per_replica = 8;
  w.settle();
  EXPECT_EQ(w.row.replicas[0].standbys.size(), 2U);
}

}  // namespace
}  // namespace arbutus
