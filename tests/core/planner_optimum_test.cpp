// Compares the number of serving replicas with the optimum, found by counting or by exhaustive
// search.
#include <gtest/gtest.h>

#include <algorithm>

#include "core/planner_simulation.h"

namespace arbutus {
namespace {

using testing::planner_simulation;

std::map<std::string, std::size_t> working_by_domain(const planner_simulation& w) {
  std::map<std::string, std::size_t> counts;
  for (const vm_record& vm : w.config.assets.vms) {
    counts[vm.fabric_domain.str()] += w.conditions.at(vm.id) == vm_condition::working ? 1 : 0;
  }
  return counts;
}

// The largest number of replicas that fit into the fabric domains, found by trying every way to
// fill them.
std::size_t max_replicas(std::vector<std::size_t> domains,
                         std::vector<std::pair<std::size_t, int>> models) {
  std::size_t most = 0;
  for (auto& [size, desired] : models) {
    for (std::size_t& room : domains) {
      if (desired > 0 && room >= size) {
        --desired;
        room -= size;
        most = std::max(most, 1 + max_replicas(domains, models));
        room += size;
        ++desired;
      }
    }
  }
  return most;
}

// A random number of 1 to `most`. Each one is drawn by a statement of its own, as compilers differ
// in the order in which they evaluate the arguments of a call, and the cases drawn would differ
// too.
std::uint32_t draw_up_to(rng& random, std::uint32_t most) {
  return 1 + static_cast<std::uint32_t>(random.below(most));
}

void fail_random_vms(planner_simulation& w, rng& random) {
  for (auto& [vm, condition] : w.conditions) {
    condition = random.below(4) == 0 ? vm_condition::lost : vm_condition::working;
  }
}

TEST(planner_optimum, one_model_reaches_the_optimum) {
  rng random(5);
  for (int i = 0; i < 3000; ++i) {
    planner_simulation w;
    for (std::uint64_t d = 1 + random.below(3); d > 0; --d) {
      w.add_domain(1 + random.below(8));
    }
    const std::uint32_t vms = draw_up_to(random, 4);
    const std::uint32_t replicas = draw_up_to(random, 5);
    model_rule& m = w.add_model("llm", vms, replicas);
    m.may_cross_fabric_domains = random.below(2) == 0;
    w.settle();
    fail_random_vms(w, random);
    w.settle();
    std::size_t fits = 0;
    std::size_t working = 0;
    for (const auto& [domain, count] : working_by_domain(w)) {
      fits += count / m.vms_per_replica;
      working += count;
    }
    fits = m.may_cross_fabric_domains ? working / m.vms_per_replica : fits;
    fits = std::min<std::size_t>(fits, m.placements[0].replicas);
    ASSERT_EQ(w.count_serving_replicas(), fits) << "case " << i << '\n' << w.text();
  }
}

// Serving replicas are not moved to make room, so models with different replica sizes can leave
// VMs unused.
TEST(planner_optimum, two_models_stay_within_one_of_the_optimum) {
  rng random(6);
  int short_of = 0;
  for (int i = 0; i < 1500; ++i) {
    planner_simulation w;
    for (std::uint64_t d = 1 + random.below(2); d > 0; --d) {
      w.add_domain(2 + random.below(6));
    }
    std::vector<std::pair<std::size_t, int>> models;
    for (const char* name : {"a", "b"}) {
      const std::uint32_t vms = draw_up_to(random, 3);
      const std::uint32_t replicas = draw_up_to(random, 2);
      const model_rule& m = w.add_model(name, vms, replicas);
      models.emplace_back(m.vms_per_replica, static_cast<int>(m.placements[0].replicas));
    }
    w.settle();
    fail_random_vms(w, random);
    w.settle();
    std::vector<std::size_t> domains;
    for (const auto& [domain, count] : working_by_domain(w)) {
      domains.push_back(count);
    }
    const std::size_t most = max_replicas(domains, models);
    ASSERT_LE(w.count_serving_replicas(), most);
    ASSERT_GE(w.count_serving_replicas() + 1, most) << "case " << i << '\n' << w.text();
    short_of += w.count_serving_replicas() < most ? 1 : 0;
  }
  RecordProperty("short_of_optimum", short_of);
  EXPECT_LT(short_of, 75);  // 5% of the cases may be below the optimum
}

}  // namespace
}  // namespace arbutus
