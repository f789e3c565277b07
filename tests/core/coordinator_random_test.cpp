// Tests with random faults in a limited time: the invariants hold throughout, and all replicas
// serve again after the faults have ended.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "fake_cluster.h"

namespace arbutus::testing {
namespace {

constexpr int faults = 14;
constexpr duration heal_limit = 90s;

class random_faults : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  void inject(fake_cluster& w, rng& r) {
    const auto vms = w.vms();
    const vm_id& vm = vms[r.below(vms.size())];
    const auto node = static_cast<std::size_t>(r.below(w.node_count()));
    const duration some_time = 500ms + r.jitter(12s);
    switch (r.below(14)) {
      case 0:
        return w.kill(vm);
      case 1:
        return w.engine(vm).up ? w.restart(vm) : w.start(vm);
      case 2:
        return w.pause(vm, some_time);
      case 3:
        return w.pause_node(node, some_time);
      case 4:
        return w.isolate(node, r.below(2) == 0);
      case 5:
        return w.cut(node, (node + 1) % w.node_count(), r.below(2) == 0);
      case 6:
        return w.cut_table(node, r.below(2) == 0);
      case 7:
        return w.cut_target(node, vm, r.below(2) == 0);
      case 8:
        w.table.up = r.below(2) == 0;
        return;
      case 9:
        w.table.latency = r.below(2) == 0 ? duration{4ms} : r.jitter(4s);
        return;
      case 10:
        w.table.lose_write_replies += 1 + r.below(2);
        return;
      case 11:
        w.kill_node(node);
        return w.start_node(node);
      case 12:
        for (std::size_t i = 0; i < vms.size() / 2; ++i) {
          w.kill(vms[i]);
        }
        return;
      default:
        w.drop_probability = r.below(2) == 0 ? 0.0 : 0.2;
        return;
    }
  }

  void heal(fake_cluster& w) {
    w.table.up = true;
    w.table.latency = 4ms;
    w.table.lose_write_replies = 0;
    w.drop_probability = 0;
    for (std::size_t i = 0; i < w.node_count(); ++i) {
      w.isolate(i, false);
      w.cut_table(i, false);
      w.cut_targets(i, false);
    }
    for (const vm_id& vm : w.vms()) {
      if (!w.engine(vm).up) {
        w.start(vm);
      }
    }
  }
};

// Guards against conflicts between overlapping faults: two repairs, or a repair and the return of a
// member, that do not know of each other. The seed, which is in the test's name, gives the faults.
TEST_P(random_faults, keep_invariants_and_recover) {
  const std::uint64_t seed = GetParam();
  rng r{seed};
  cluster_options o;
  o.nodes = 3 + r.below(3);
  o.vms = 8;
  o.fabric_domains = 1 + r.below(2);
  o.standbys_per_replica = static_cast<std::uint32_t>(r.below(3));
  o.checks_fencing_tokens = r.below(3) != 0;
  o.seed = seed;
  fake_cluster w(o);
  ASSERT_TRUE(w.run_until([&] { return w.all_serve(2); }, 30s));
  for (int i = 0; i < faults; ++i) {
    inject(w, r);
    w.run_for(r.jitter(8s));
  }
  heal(w);
  EXPECT_TRUE(w.run_until([&] { return w.all_serve(2); }, heal_limit));
  EXPECT_THAT(w.violations, ::testing::IsEmpty());
}

INSTANTIATE_TEST_SUITE_P(seeds, random_faults, ::testing::Range<std::uint64_t>(1, 61));

}  // namespace
}  // namespace arbutus::testing
