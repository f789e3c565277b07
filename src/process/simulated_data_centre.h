// The data centre of a failure simulation: which VMs work, which of their changes have been
// detected, and which replicas serve.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "process/failure_schedule.h"
#include "process/failure_simulation.h"
#include "version/planner.h"

namespace arbutus {

class simulated_data_centre {
 public:
  simulated_data_centre(const failure_simulation_settings& settings, std::uint64_t seed);

  // Advances to `now`; true if a change was detected that may require a new row.
  bool advance(time_point now);

  [[nodiscard]] bool is_table_writable() const;
  [[nodiscard]] planner_input input() const;
  [[nodiscard]] const assignment& row() const { return row_; }
  // Whether an entire fabric domain has just failed, and with it some of the nodes.
  [[nodiscard]] bool domain_recently_lost() const;

  void write(assignment next);
  // Does what nodes do on their own while the row cannot be written. Returns the number of
  // activations.
  std::uint32_t activate_standbys();

  [[nodiscard]] std::uint32_t desired() const { return desired_; }
  [[nodiscard]] std::uint32_t serving() const { return serving_; }
  [[nodiscard]] std::uint32_t powered_accelerators() const { return powered_; }

 private:
  struct vm_state {
    int outages = 0;
    bool up = true;
    bool leaving = false;
    vm_condition observed = vm_condition::working;
    model_id model;      // model whose weights are loaded
    std::size_t rank{};  // member rank that the loaded weights are for
  };
  struct pending_observation {
    time_point at;
    vm_id vm;
    vm_condition condition;
  };
  struct formation {
    generation fencing_generation;
    bool complete = false;
    time_point ready;
    bool weights_loaded = false;  // all members have loaded their weights
  };
  struct state_change {
    time_point at;
    vm_id vm;
    int outages;  // added to the VM's count
    bool leaving;
    bool whole_domain_fails;
  };

  void build_configuration(std::uint64_t seed);
  void apply(const state_change& p);
  bool apply_due_observations();
  bool end_drains();
  void recompute_counts();
  void form(const replica_plan& r);
  [[nodiscard]] bool serves(const replica_plan& r) const;
  [[nodiscard]] composition in_force(const replica_plan& r) const;
  [[nodiscard]] bool all_up(const std::vector<vm_id>& vms) const;

  failure_simulation_settings settings_;
  configuration config_;
  std::uint32_t desired_ = 0;
  std::vector<state_change> state_changes_;  // sorted by time
  std::size_t next_state_change_ = 0;
  std::vector<time_span> table_outages_;
  std::vector<pending_observation> pending_observations_;
  std::map<vm_id, vm_state> vms_;
  assignment row_;
  time_point row_acknowledged_at_;
  std::uint64_t acknowledged_version_ = 0;
  std::map<replica_id, composition> activated_;
  std::map<replica_id, formation> formations_;
  std::map<replica_id, time_point> drained_at_;
  std::set<replica_id> drained_replicas_;
  // serving_ and powered_ are recomputed only when something changed or a replica gets ready, which
  // happens in few of the simulation's steps.
  bool counts_outdated_ = true;
  time_point next_ready_;
  std::uint32_t serving_ = 0;
  std::uint32_t powered_ = 0;
  time_point now_;
  time_point domain_lost_at_{-simulation_length};
};

}  // namespace arbutus
