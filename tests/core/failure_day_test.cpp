// The failure simulation is deterministic and shows the differences between standby policies.
#include "process/failure_day.h"

#include <gtest/gtest.h>

namespace arbutus {
namespace {

failure_day_result sum_of_days(failure_day_settings s) {
  failure_day_result sum;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const failure_day_result r = run_failure_day(s, seed);
    sum.group_downtime += r.group_downtime;
    sum.stranded_accelerators += r.stranded_accelerators;
    sum.wasted_writes += r.wasted_writes;
    sum.activations += r.activations;
  }
  return sum;
}

TEST(failure_day, same_seed_same_day) {
  const failure_day_result a = run_failure_day({}, 3);
  const failure_day_result b = run_failure_day({}, 3);
  EXPECT_EQ(a.group_downtime, b.group_downtime);
  EXPECT_EQ(a.stranded_accelerators, b.stranded_accelerators);
  EXPECT_EQ(a.seconds_to_write, b.seconds_to_write);
  EXPECT_NE(a.group_downtime, run_failure_day({}, 4).group_downtime);
}

TEST(failure_day, quiet_day_has_no_downtime_and_strands_only_the_spares) {
  failure_day_settings s;
  s.vm_failures_per_day = 1e-9;
  s.vm_restarts_per_day = 1e-9;
  s.domain_losses = 0;
  const failure_day_result r = run_failure_day(s, 1);
  EXPECT_EQ(r.group_downtime, 0);
  EXPECT_DOUBLE_EQ(r.stranded_accelerators, 10.0 * 24 * 3600);
  EXPECT_EQ(r.rows_written, 0U);
}

TEST(failure_day, spares_save_downtime_and_strand_accelerators) {
  failure_day_settings s;
  s.policy = standby_policy::none;
  const failure_day_result none = sum_of_days(s);
  s.policy = standby_policy::shared;
  const failure_day_result shared = sum_of_days(s);
  EXPECT_LT(shared.group_downtime, none.group_downtime);
  EXPECT_GT(shared.stranded_accelerators, none.stranded_accelerators);
}

// Guards against a replica that stays down through a table outage although a spare VM is idle:
// with shared spares only a new row can assign the VM, and the row cannot be written.
TEST(failure_day, reserved_standbys_repair_without_the_table) {
  failure_day_settings s;
  s.domain_losses = 0;
  s.table_outage = 12h;
  s.policy = standby_policy::shared;
  const failure_day_result shared = sum_of_days(s);
  s.policy = standby_policy::reserved;
  const failure_day_result reserved = sum_of_days(s);
  EXPECT_EQ(shared.activations, 0U);
  EXPECT_GT(reserved.activations, 0U);
  EXPECT_LT(reserved.group_downtime, 0.7 * shared.group_downtime);
}

}  // namespace
}  // namespace arbutus
