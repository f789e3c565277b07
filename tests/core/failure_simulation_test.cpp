// The failure simulation is deterministic and shows the differences between standby policies.
#include "process/failure_simulation.h"

#include <gtest/gtest.h>

namespace arbutus {
namespace {

failure_simulation_result sum_of_runs(failure_simulation_settings s) {
  failure_simulation_result sum;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const failure_simulation_result r = run_failure_simulation(s, seed);
    sum.group_downtime += r.group_downtime;
    sum.stranded_accelerators += r.stranded_accelerators;
    sum.wasted_writes += r.wasted_writes;
    sum.activations += r.activations;
  }
  return sum;
}

TEST(failure_simulation, same_seed_gives_same_result) {
  const failure_simulation_result a = run_failure_simulation({}, 3);
  const failure_simulation_result b = run_failure_simulation({}, 3);
  EXPECT_EQ(a.group_downtime, b.group_downtime);
  EXPECT_EQ(a.stranded_accelerators, b.stranded_accelerators);
  EXPECT_EQ(a.row_write_delays_s, b.row_write_delays_s);
  EXPECT_NE(a.group_downtime, run_failure_simulation({}, 4).group_downtime);
}

TEST(failure_simulation, without_failures_no_downtime_and_only_spares_are_stranded) {
  failure_simulation_settings s;
  s.vm_failures_per_day = 1e-9;
  s.vm_restarts_per_day = 1e-9;
  s.domain_outages = 0;
  const failure_simulation_result r = run_failure_simulation(s, 1);
  EXPECT_EQ(r.group_downtime, 0);
  EXPECT_DOUBLE_EQ(r.stranded_accelerators, 10.0 * 24 * 3600);
  EXPECT_EQ(r.rows_written, 0U);
}

TEST(failure_simulation, spares_reduce_downtime_and_strand_accelerators) {
  failure_simulation_settings s;
  s.policy = standby_policy::none;
  const failure_simulation_result none = sum_of_runs(s);
  s.policy = standby_policy::shared;
  const failure_simulation_result shared = sum_of_runs(s);
  EXPECT_LT(shared.group_downtime, none.group_downtime);
  EXPECT_GT(shared.stranded_accelerators, none.stranded_accelerators);
}

// Guards against a replica that stays down through a table outage although a spare VM is idle:
// with shared spares only a new row can assign the VM, and the row cannot be written.
TEST(failure_simulation, reserved_standbys_repair_without_the_table) {
  failure_simulation_settings s;
  s.domain_outages = 0;
  s.table_outage_duration = 12h;
  s.policy = standby_policy::shared;
  const failure_simulation_result shared = sum_of_runs(s);
  s.policy = standby_policy::reserved;
  const failure_simulation_result reserved = sum_of_runs(s);
  EXPECT_EQ(shared.activations, 0U);
  EXPECT_GT(reserved.activations, 0U);
  EXPECT_LT(reserved.group_downtime, 0.7 * shared.group_downtime);
}

}  // namespace
}  // namespace arbutus
