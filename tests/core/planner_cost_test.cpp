// Limits the processor time of making a plan for one data centre of the fleet, and for one of ten
// times the size.
#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>
#include <iostream>

#include "core/planner_simulation.h"

namespace arbutus {
namespace {

using testing::planner_simulation;

double processor_ms() {
  timespec t{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) * 1e3 + static_cast<double>(t.tv_nsec) * 1e-6;
}

double median_ms(const planner_input& in) {
  std::vector<double> times;
  for (int i = 0; i < 15; ++i) {
    const double begin = processor_ms();
    EXPECT_TRUE(make_plan(in).next.version > 0);
    times.push_back(processor_ms() - begin);
  }
  std::ranges::sort(times);
  return times[times.size() / 2];
}

struct cost {
  double steady_ms;
  double one_lost_ms;
  double domain_lost_ms;
};

cost measure(std::size_t domains, std::uint32_t vms_per_replica) {
  planner_simulation w;
  for (std::size_t d = 0; d < domains; ++d) {
    w.add_domain(34);
  }
  const auto replicas = static_cast<std::uint32_t>(domains * (32 / vms_per_replica));
  w.add_model("llm", vms_per_replica, replicas);
  w.config.desired.vm_failures_per_day = 2;
  w.settle();
  EXPECT_EQ(w.count_serving_replicas(), replicas);
  cost c{};
  c.steady_ms = median_ms(w.input());
  w.set_condition(w.row.replicas[0].members[0], vm_condition::lost);
  c.one_lost_ms = median_ms(w.input());
  for (std::size_t i = 0; i < 34; ++i) {
    w.set_condition(vm_id{planner_simulation::vm_name(0, i)}, vm_condition::lost);
  }
  c.domain_lost_ms = median_ms(w.input());
  return c;
}

// The bounds on the planner's processor time are far above the usual times: they detect a higher
// complexity, not a slowdown by a constant factor.
TEST(planner_cost, milliseconds_and_near_linear) {
  for (const std::uint32_t vms_per_replica : {16U, 2U}) {
    const cost one = measure(5, vms_per_replica);
    const cost ten = measure(50, vms_per_replica);
    std::cout << "replicas of " << vms_per_replica << ": steady, one VM lost, domain lost (ms): "
              << "170 VMs " << one.steady_ms << ' ' << one.one_lost_ms << ' ' << one.domain_lost_ms
              << "; 1,700 VMs " << ten.steady_ms << ' ' << ten.one_lost_ms << ' '
              << ten.domain_lost_ms << '\n';
    EXPECT_LT(ten.steady_ms, 50 * one.steady_ms);
    EXPECT_LT(ten.one_lost_ms, 50 * one.one_lost_ms);
    EXPECT_LT(ten.domain_lost_ms, 50 * one.domain_lost_ms);
#ifdef NDEBUG  // absolute times are meaningful only in an optimised build
    EXPECT_LT(ten.domain_lost_ms, 100);
#endif
  }
}

}  // namespace
}  // namespace arbutus
