// A simulated data centre for planner tests: VMs, rules, the assignment row, and the other inputs
// of the planner.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "base/rng.h"
#include "version/planner.h"

namespace arbutus::testing {

struct planner_simulation {
  configuration config;
  assignment row;
  std::map<vm_id, vm_condition> conditions;
  std::vector<composition> activated_compositions;
  std::vector<replica_demand> demand;
  bool nodes_acknowledge = true;  // whether every live node acknowledges each new row
  bool drains_finish = true;
  std::vector<std::string> reasons;  // reasons of the last plan for its changes

  planner_simulation() {
    row.data_centre = data_centre_id{"hall-a"};
    row.version = 1;
    config.version = 1;
    config.assets.data_centres = {{data_centre_id{"hall-a"}, "sk-west"}};
  }

  static std::string vm_name(std::size_t domain, std::size_t i) {
    return "vm-" + std::to_string(domain) + "-" + (i < 10 ? "0" : "") + std::to_string(i);
  }

  void add_domain(std::size_t vms, std::uint32_t accelerators = 1) {
    const std::size_t domain = domains_++;
    for (std::size_t i = 0; i < vms; ++i) {
      vm_record r;
      r.id = vm_id{vm_name(domain, i)};
      r.data_centre = row.data_centre;
      r.fabric_domain = fabric_domain_id{"fd-" + std::to_string(domain)};
      r.accelerators = accelerators;
      conditions[r.id] = vm_condition::working;
      config.assets.vms.push_back(r);
    }
  }

  model_rule& add_model(const std::string& name, std::uint32_t vms, std::uint32_t replicas,
                        std::uint32_t rank = 0) {
    model_rule m;
    m.id = model_id{name};
    m.version = "v1";
    m.vms_per_replica = vms;
    m.rank = rank;
    m.placements = {{row.data_centre, replicas}};
    config.desired.models.push_back(m);
    return config.desired.models.back();
  }

  void set_condition(const vm_id& vm, vm_condition c) { conditions[vm] = c; }

  [[nodiscard]] bool is_complete(const replica_plan& r) const {
    return std::ranges::all_of(r.members, [&](const vm_id& vm) {
      const auto found = conditions.find(vm);
      return found != conditions.end() && found->second != vm_condition::lost;
    });
  }

  [[nodiscard]] std::size_t count_serving_replicas(const std::string& model = "") const {
    return static_cast<std::size_t>(std::ranges::count_if(row.replicas, [&](const auto& r) {
      return r.phase == replica_phase::active && is_complete(r) &&
             (model.empty() || r.model.str() == model);
    }));
  }

  [[nodiscard]] planner_input input() const {
    planner_input in;
    in.config = &config;
    in.current = &row;
    in.data_centre = row.data_centre;
    for (const auto& [vm, condition] : conditions) {
      in.health.push_back({vm, condition});
    }
    in.in_force = activated_compositions;
    in.demand = demand;
    in.acknowledged = nodes_acknowledge ? row.version : 0;
    for (const replica_plan& r : row.replicas) {
      if (r.phase == replica_phase::draining && drains_finish) {
        in.drained_replicas.push_back(r.id);
      }
      if (r.phase == replica_phase::active && is_complete(r)) {
        in.serving.push_back(r.id);
      }
    }
    return in;
  }

  // Makes one plan and stores its row; false if the plan changes nothing.
  bool step() {
    const plan p = make_plan(input());
    reasons = p.reasons;
    if (p.changed) {
      row = p.next;
    }
    return p.changed;
  }

  // Makes plans until one changes nothing. Returns the number of rows stored, at most `limit`.
  int settle(int limit = 50) {
    int rows = 0;
    while (rows < limit && step()) {
      ++rows;
    }
    return rows;
  }

  [[nodiscard]] std::string text() const {
    std::string s;
    for (const replica_plan& r : row.replicas) {
      s += r.id.str() + (r.phase == replica_phase::draining ? " draining" : "") + " [";
      for (const vm_id& vm : r.members) {
        s += vm.str() + " ";
      }
      s += "| ";
      for (const vm_id& vm : r.standbys) {
        s += vm.str() + " ";
      }
      s += "] " + to_string(r.fencing_generation) + "\n";
    }
    for (const withdrawal& w : row.withdrawals) {
      s += "withdrawn " + w.vm.str() + " since " + std::to_string(w.since) + "\n";
    }
    for (const std::string& why : reasons) {
      s += "  " + why + "\n";
    }
    return s;
  }

 private:
  std::size_t domains_ = 0;
};

}  // namespace arbutus::testing
