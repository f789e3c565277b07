// Simulates one data centre whose VMs fail, leave and return in a sequence given by a seed. All
// nodes acknowledge every row immediately.
#include "version/planner_bench.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <map>
#include <string>
#include <vector>

#include "base/hash.h"
#include "base/rng.h"
#include "version/planner.h"

namespace arbutus {

namespace {

// The simulated data centre is one sixteenth of a fleet of 2,700 accelerators. Each fabric domain
// has VMs for two replicas and two spares.
constexpr std::size_t bench_domains = 5;
constexpr std::size_t vms_per_domain = 34;
constexpr std::uint32_t vms_per_replica = 16;
constexpr std::uint32_t replicas_per_domain = 2;
// After one change of a VM, a planner that still changes the row after this many rows is considered
// not to converge.
constexpr int max_rows_per_change = 20;

class bench_data_centre {
 public:
  explicit bench_data_centre(std::size_t domains) {
    row_.data_centre = data_centre_id{"dc-01"};
    row_.version = 1;
    config_.version = 1;
    config_.assets.data_centres = {{row_.data_centre, "region-1"}};
    config_.desired.vm_failures_per_day = 29;
    for (std::size_t d = 0; d < domains; ++d) {
      add_domain(d);
    }
    model_rule model;
    model.id = model_id{"dispatch-llm"};
    model.version = "v1";
    model.vms_per_replica = vms_per_replica;
    model.placements = {
        {row_.data_centre, static_cast<std::uint32_t>(domains) * replicas_per_domain}};
    config_.desired.models.push_back(std::move(model));
  }

  [[nodiscard]] std::size_t vms() const { return health_.size(); }
  [[nodiscard]] const assignment& row() const { return row_; }
  void set(std::size_t vm, vm_condition condition) { health_[vm].condition = condition; }

  // Plans until nothing changes, and counts plans and rows in `history`.
  void settle(planner_history& history) {
    for (int i = 0; i < max_rows_per_change; ++i) {
      plan next = make_plan(input());
      ++history.plans;
      if (!next.changed) {
        return;
      }
      row_ = std::move(next.next);
      ++history.rows;
      history.signature = stable_hash(encode(row_), history.signature);
    }
  }

  // Median processor time of several plans.
  [[nodiscard]] double plan_milliseconds() const {
    constexpr int runs = 15;
    const planner_input in = input();
    std::vector<double> times;
    for (int i = 0; i < runs; ++i) {
      const std::clock_t begin = std::clock();
      const plan made = make_plan(in);
      const auto ticks = static_cast<double>(std::clock() - begin);
      times.push_back(made.next.version > 0 ? 1e3 * ticks / CLOCKS_PER_SEC : 0);
    }
    std::ranges::sort(times);
    return times[times.size() / 2];
  }

 private:
  void add_domain(std::size_t domain) {
    for (std::size_t i = 0; i < vms_per_domain; ++i) {
      vm_record vm;
      vm.id = vm_id{"vm-" + std::to_string(1000 + domain * vms_per_domain + i)};
      vm.data_centre = row_.data_centre;
      vm.fabric_domain = fabric_domain_id{"fd-" + std::to_string(100 + domain)};
      vm.accelerators = 1;
      health_.push_back({vm.id, vm_condition::working});
      config_.assets.vms.push_back(std::move(vm));
    }
  }

  [[nodiscard]] bool is_complete(const replica_plan& replica) const {
    return std::ranges::all_of(replica.members, [&](const vm_id& vm) {
      const auto found = std::ranges::lower_bound(health_, vm, {}, &vm_health::vm);
      return found != health_.end() && found->vm == vm && found->condition != vm_condition::lost;
    });
  }

  [[nodiscard]] planner_input input() const {
    planner_input in;
    in.config = &config_;
    in.current = &row_;
    in.data_centre = row_.data_centre;
    in.health = health_;
    in.acknowledged = row_.version;
    for (const replica_plan& replica : row_.replicas) {
      if (replica.phase == replica_phase::draining) {
        in.drained_replicas.push_back(replica.id);
      } else if (is_complete(replica)) {
        in.serving.push_back(replica.id);
      }
    }
    return in;
  }

  configuration config_;
  assignment row_;
  std::vector<vm_health> health_;  // ordered by id
};

vm_condition random_condition(rng& random) {
  // Half of the entries are `working`, so that most VMs of the data centre work at any time.
  constexpr vm_condition choices[] = {vm_condition::working, vm_condition::working,
                                      vm_condition::working, vm_condition::suspect,
                                      vm_condition::lost,    vm_condition::leaving};
  return choices[random.below(std::size(choices))];
}

}  // namespace

planner_history run_planner_history(std::size_t changes, std::uint64_t seed) {
  bench_data_centre dc(bench_domains);
  planner_history history;
  rng random(seed);
  dc.settle(history);
  for (std::size_t i = 0; i < changes; ++i) {
    // Only every fourth VM changes, so that each of them fails and returns several times.
    const std::size_t vm = random.below(dc.vms() / 4) * 4;
    dc.set(vm, random_condition(random));
    ++history.changes;
    dc.settle(history);
  }
  return history;
}

void print_planner_cost(std::ostream& out) {
  for (const std::size_t domains : {bench_domains, 10 * bench_domains}) {
    bench_data_centre dc(domains);
    planner_history history;
    dc.settle(history);
    out << std::fixed << std::setprecision(2) << std::setw(5) << dc.vms() << " VMs: row of "
        << encode(dc.row()).size() << " bytes; plan when quiet " << dc.plan_milliseconds();
    dc.set(0, vm_condition::lost);
    out << " ms, one VM lost " << dc.plan_milliseconds();
    for (std::size_t vm = 0; vm < vms_per_domain; ++vm) {
      dc.set(vm, vm_condition::lost);
    }
    out << " ms, domain lost " << dc.plan_milliseconds() << " ms\n";
  }
}

}  // namespace arbutus
