// Tests properties that hold for every plan of the planner, over seeded random histories of a data
// centre.
#include <gtest/gtest.h>

#include <algorithm>

#include "core/planner_simulation.h"

namespace arbutus {
namespace {

using testing::planner_simulation;

planner_simulation random_simulation(rng& random) {
  planner_simulation w;
  const std::uint64_t domains = 1 + random.below(3);
  for (std::uint64_t d = 0; d < domains; ++d) {
    // Drawn one by one: compilers differ in the order in which they evaluate arguments.
    const std::size_t vms = 2 + random.below(7);
    const auto accelerators = 1 + static_cast<std::uint32_t>(random.below(2));
    w.add_domain(vms, accelerators);
  }
  const std::uint64_t models = 1 + random.below(3);
  for (std::uint64_t m = 0; m < models; ++m) {
    const auto vms = 1 + static_cast<std::uint32_t>(random.below(4));
    const auto replicas = static_cast<std::uint32_t>(random.below(4));
    const auto rank = static_cast<std::uint32_t>(random.below(2));
    model_rule& rule = w.add_model("llm-" + std::to_string(m), vms, replicas, rank);
    rule.may_cross_fabric_domains = random.below(3) == 0;
    w.demand.push_back({rule.id, 0.0});
  }
  w.config.desired.spare_vms_per_data_centre = static_cast<std::uint32_t>(random.below(3));
  w.config.desired.standbys_per_replica = static_cast<std::uint32_t>(random.below(2));
  w.config.desired.vm_failures_per_day = 1;
  return w;
}

// Activates standbys of broken replicas, as nodes do while the table is unreachable.
void activate_broken_replicas(planner_simulation& w) {
  w.activated_compositions.clear();
  for (const replica_plan& r : w.row.replicas) {
    lost_vm_mask lost = 0;
    std::size_t i = 0;
    for (const auto* list : {&r.members, &r.standbys}) {
      for (const vm_id& vm : *list) {
        lost |= w.conditions.at(vm) == vm_condition::lost ? lost_vm_mask{1} << i : 0;
        ++i;
      }
    }
    if (const auto c = activate(r, w.row.version, lost); c && lost != 0) {
      w.activated_compositions.push_back(*c);
    }
  }
}

void apply_random_change(planner_simulation& w, rng& random) {
  auto vm = std::next(w.conditions.begin(),
                      static_cast<std::ptrdiff_t>(random.below(w.conditions.size())));
  model_rule& rule = w.config.desired.models[random.below(w.config.desired.models.size())];
  switch (random.below(9)) {
    case 0:
    case 1:
      vm->second = vm_condition::lost;
      break;
    case 2:
    case 3:
      vm->second = vm_condition::working;
      break;
    case 4:
      vm->second = random.below(2) == 0 ? vm_condition::suspect : vm_condition::leaving;
      break;
    case 5:
      w.demand[random.below(w.demand.size())].load_in_replicas = random.unit() * 4;
      break;
    case 6:
      rule.version = "v" + std::to_string(1 + random.below(2));
      rule.placements[0].replicas = static_cast<std::uint32_t>(random.below(4));
      ++w.config.version;
      break;
    case 7:
      w.nodes_acknowledge = !w.nodes_acknowledge;
      break;
    default:
      w.drains_finish = !w.drains_finish;
      break;
  }
}

std::map<vm_id, replica_id> owners(const assignment& a) {
  std::map<vm_id, replica_id> list;
  for (const replica_plan& r : a.replicas) {
    for (const auto* vms : {&r.members, &r.standbys}) {
      for (const vm_id& vm : *vms) {
        list[vm] = r.id;
      }
    }
  }
  return list;
}

// A VM may move to another replica only after its withdrawal was acknowledged, or after its replica
// was drained completely.
void expect_proper_handover(const planner_input& in, const assignment& next) {
  const auto before = owners(*in.current);
  for (const auto& [vm, owner] : owners(next)) {
    const auto found = before.find(vm);
    if (found != before.end() && found->second != owner) {
      EXPECT_TRUE(std::ranges::count(in.drained_replicas, found->second) > 0)
          << vm << " passes from " << found->second << " to " << owner << " undrained";
    }
    for (const withdrawal& w : in.current->withdrawals) {
      // The replica's own activation of this VM is recorded late.
      const bool back = w.from == owner;
      EXPECT_TRUE(w.vm != vm || back || w.since <= in.acknowledged)
          << vm << " reused before its withdrawal was acknowledged";
    }
  }
}

void expect_serving_unchanged(const planner_simulation& w, const assignment& next) {
  for (const replica_plan& r : w.row.replicas) {
    const replica_plan* after = next.find(r.id);
    const auto activated = std::ranges::find(w.activated_compositions, r.id, &composition::replica);
    if (after != nullptr && activated != w.activated_compositions.end() && w.is_complete(*after)) {
      const bool kept = after->fencing_generation == activated->fencing_generation &&
                        after->members == activated->members;
      EXPECT_TRUE(kept) << r.id << " was activated, serves, and is taken down and rebuilt";
      continue;
    }
    if (!w.is_complete(r)) {
      continue;
    }
    if (r.phase == replica_phase::draining) {
      const bool drained_replicas = w.drains_finish;
      EXPECT_TRUE(after != nullptr || drained_replicas) << r.id << " removed before it was empty";
    } else {
      ASSERT_NE(after, nullptr) << r.id << " removed while it served";
      EXPECT_EQ(after->members, r.members) << r.id;
      EXPECT_EQ(after->fencing_generation, r.fencing_generation) << r.id;
    }
  }
}

class planner_history : public ::testing::TestWithParam<std::uint64_t> {};

// Guards against planner actions that skip a step of the handover, which would put a VM into two
// replicas, stop a serving replica, or write rows endlessly. Combines losses, returns, leaving VMs,
// activations without the table, and changes of rules and load in random order, with delayed
// acknowledgements and drains.
TEST_P(planner_history, every_plan_keeps_the_invariants) {
  rng random(GetParam());
  for (int history = 0; history < 20; ++history) {
    planner_simulation w = random_simulation(random);
    for (int i = 0; i < 100; ++i) {
      apply_random_change(w, random);
      if (random.below(4) == 0) {
        activate_broken_replicas(w);
      }
      const planner_input in = w.input();
      const plan p = make_plan(in);
      const findings violations = check_invariants(p.next);
      ASSERT_TRUE(violations.empty()) << violations.front() << '\n' << w.text();
      expect_proper_handover(in, p.next);
      expect_serving_unchanged(w, p.next);
      ASSERT_EQ(p.changed, !p.reasons.empty());
      if (p.changed) {
        ASSERT_EQ(p.next.version, w.row.version + 1);
        planner_input again = in;
        again.current = &p.next;
        const plan second = make_plan(again);
        std::string why;
        for (const std::string& reason : second.reasons) {
          why += "  second: " + reason + '\n';
        }
        w.reasons = p.reasons;
        const std::string before = w.text();
        w.row = p.next;
        ASSERT_FALSE(second.changed)
            << "seed " << GetParam() << " history " << history << " step " << i << '\n'
            << before << "->\n"
            << w.text() << why;
      }
      ASSERT_FALSE(HasFailure()) << w.text();
      w.activated_compositions.clear();
    }
  }
}

// Guards against a planner that writes new rows endlessly although nothing changes.
TEST_P(planner_history, stops_writing_rows) {
  rng random(GetParam() + 1000);
  for (int history = 0; history < 40; ++history) {
    planner_simulation w = random_simulation(random);
    for (int i = 0; i < 20; ++i) {
      apply_random_change(w, random);
      w.step();
    }
    w.nodes_acknowledge = true;
    w.drains_finish = true;
    EXPECT_LT(w.settle(60), 60) << w.text();
  }
}

// Seeds of histories in which a faulty planner lends VMs from one model to another and takes them
// back endlessly.
INSTANTIATE_TEST_SUITE_P(endless_lending, planner_history,
                         ::testing::Values<std::uint64_t>(150, 323, 468, 613));
INSTANTIATE_TEST_SUITE_P(seeds, planner_history, ::testing::Range<std::uint64_t>(1, 41));

}  // namespace
}  // namespace arbutus
