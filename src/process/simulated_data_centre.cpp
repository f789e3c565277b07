// The simulated data centre. Detection, drain and regroup times are the design's target values; all
// policies are compared with the same ones.
#include "process/simulated_data_centre.h"

#include <algorithm>

namespace arbutus {

namespace {

// A VM counts as lost after its probes were unanswered for this long, and its return is detected
// with the same delay.
constexpr duration detection_delay = 2500ms;
constexpr duration acknowledgement = 1s;
constexpr duration drain_time = 20s;
// Time to form a replica whose members have their weights loaded and only have to connect.
constexpr duration regroup_time = 5s;
// Nodes that failed with a domain still count as live for this long after the domain's failure is
// detected.
constexpr duration stale_liveness_duration = 5s;

vm_id name_vm(std::uint32_t domain, std::uint32_t index) {
  const std::string number = std::to_string(100 + index);
  return vm_id{"vm-" + std::to_string(domain) + "-" + number.substr(1)};
}

}  // namespace

simulated_data_centre::simulated_data_centre(const failure_simulation_settings& settings,
                                             std::uint64_t seed)
    : settings_(settings) {
  build_configuration(seed);
  row_.data_centre = data_centre_id{"dc"};
  plan first = make_plan(input());
  while (first.changed) {
    write(std::move(first.next));
    acknowledged_version_ = row_.version;
    recompute_counts();
    for (auto& [id, f] : formations_) {
      f.ready = now_;
    }
    recompute_counts();
    first = make_plan(input());
  }
}

void simulated_data_centre::build_configuration(std::uint64_t seed) {
  const failure_simulation_settings& s = settings_;
  const bool with_spares = s.policy != standby_policy::none;
  const std::uint32_t spares = with_spares ? s.spares_per_domain : 0;
  const std::uint32_t per_domain = s.replicas_per_domain * s.vms_per_replica + spares;
  config_.version = 1;
  config_.assets.data_centres = {{data_centre_id{"dc"}, "region"}};
  for (std::uint32_t d = 0; d < s.fabric_domains; ++d) {
    for (std::uint32_t i = 0; i < per_domain; ++i) {
      vm_record vm;
      vm.id = name_vm(d, i);
      vm.data_centre = data_centre_id{"dc"};
      vm.fabric_domain = fabric_domain_id{"domain-" + std::to_string(d)};
      vm.accelerators = 1;
      vms_[vm.id] = {};
      config_.assets.vms.push_back(vm);
    }
  }
  desired_ = s.fabric_domains * s.replicas_per_domain;
  model_rule model;
  model.id = model_id{"llm"};
  model.version = "v1";
  model.vms_per_replica = s.vms_per_replica;
  model.placements = {{data_centre_id{"dc"}, desired_}};
  config_.desired.models = {model};
  config_.desired.preference = s.preference;
  config_.desired.vm_failures_per_day = s.vm_failures_per_day;
  config_.desired.vm_repair_hours = s.vm_repair_hours;
  const bool shared = s.policy == standby_policy::shared;
  config_.desired.spare_vms_per_data_centre = shared ? spares * s.fabric_domains : 0;

  const failure_schedule schedule = make_failure_schedule(s, seed);
  table_outages_ = schedule.table_outage_spans;
  for (const vm_outage_window& o : schedule.outages) {
    const vm_id vm = name_vm(o.domain, o.index);
    if (!vms_.contains(vm)) {
      continue;
    }
    if (o.notice > duration::zero()) {
      state_changes_.push_back({o.begin - o.notice, vm, 0, true, false});
    }
    state_changes_.push_back({o.begin, vm, 1, false, o.whole_domain_fails});
    state_changes_.push_back({o.end, vm, -1, false, false});
  }
  std::ranges::stable_sort(state_changes_, {}, &state_change::at);
}

void simulated_data_centre::apply(const state_change& p) {
  counts_outdated_ = true;
  vm_state& vm = vms_[p.vm];
  vm.outages += p.outages;
  vm.leaving = p.leaving || (vm.leaving && p.outages == 0);
  const bool up = vm.outages == 0;
  if (vm.up && !up) {
    vm.model = {};
  }
  vm.up = up;
  if (p.whole_domain_fails) {
    domain_lost_at_ = now_;
  }
  const vm_condition condition = !up          ? vm_condition::lost
                                 : vm.leaving ? vm_condition::leaving
                                              : vm_condition::working;
  pending_observations_.push_back(
      {now_ + (vm.leaving ? acknowledgement : detection_delay), p.vm, condition});
}

bool simulated_data_centre::apply_due_observations() {
  bool changed = false;
  for (const pending_observation& c : pending_observations_) {
    if (c.at <= now_ && vms_[c.vm].observed != c.condition) {
      vms_[c.vm].observed = c.condition;
      changed = true;
      counts_outdated_ = true;
    }
  }
  std::erase_if(pending_observations_, [&](const pending_observation& c) { return c.at <= now_; });
  return changed;
}

bool simulated_data_centre::end_drains() {
  bool changed = false;
  for (const auto& [id, at] : drained_at_) {
    changed = (at <= now_ && drained_replicas_.insert(id).second) || changed;
  }
  return changed;
}

bool simulated_data_centre::advance(time_point now) {
  now_ = now;
  while (next_state_change_ < state_changes_.size() &&
         state_changes_[next_state_change_].at <= now) {
    apply(state_changes_[next_state_change_++]);
  }
  bool changed = apply_due_observations();
  changed = end_drains() || changed;
  if (acknowledged_version_ < row_.version && row_acknowledged_at_ <= now) {
    acknowledged_version_ = row_.version;
    changed = true;
  }
  const std::uint32_t before = serving_;
  if (counts_outdated_ || next_ready_ <= now) {
    recompute_counts();
  }
  return serving_ != before || changed;
}

bool simulated_data_centre::is_table_writable() const {
  return std::ranges::none_of(table_outages_, [&](const time_span& s) { return s.contains(now_); });
}

bool simulated_data_centre::domain_recently_lost() const {
  return now_ < domain_lost_at_ + detection_delay + stale_liveness_duration;
}

planner_input simulated_data_centre::input() const {
  planner_input in;
  in.config = &config_;
  in.current = &row_;
  in.data_centre = row_.data_centre;
  for (const auto& [id, vm] : vms_) {
    in.health.push_back({id, vm.observed});
  }
  for (const auto& [id, c] : activated_) {
    in.in_force.push_back(c);
  }
  in.drained_replicas.assign(drained_replicas_.begin(), drained_replicas_.end());
  in.acknowledged = acknowledged_version_;
  for (const auto& [id, f] : formations_) {
    if (f.weights_loaded && f.complete) {
      in.serving.push_back(id);
    }
  }
  return in;
}

void simulated_data_centre::write(assignment next) {
  counts_outdated_ = true;
  row_ = std::move(next);
  row_acknowledged_at_ = now_ + acknowledgement;
  for (const replica_plan& r : row_.replicas) {
    if (r.phase == replica_phase::draining) {
      drained_at_.try_emplace(r.id, now_ + acknowledgement + drain_time);
    }
  }
  const auto removed = [&](const auto& entry) { return row_.find(entry.first) == nullptr; };
  std::erase_if(drained_at_, removed);
  std::erase_if(activated_, removed);
  std::erase_if(formations_, removed);
  std::erase_if(drained_replicas_, [&](const replica_id& id) { return row_.find(id) == nullptr; });
}

composition simulated_data_centre::in_force(const replica_plan& r) const {
  const auto own = activated_.find(r.id);
  return own != activated_.end() && own->second.fencing_generation > r.fencing_generation
             ? own->second
             : planned_composition(r);
}

bool simulated_data_centre::all_up(const std::vector<vm_id>& vms) const {
  return std::ranges::all_of(vms, [&](const vm_id& vm) { return vms_.at(vm).up; });
}

std::uint32_t simulated_data_centre::activate_standbys() {
  std::uint32_t count = 0;
  const auto lost = [&](const vm_id& vm) { return vms_.at(vm).observed == vm_condition::lost; };
  for (const replica_plan& r : row_.replicas) {
    const composition present = in_force(r);
    if (r.phase != replica_phase::active || std::ranges::none_of(present.members, lost)) {
      continue;
    }
    // The mask of lost members only grows within a row: a token with fewer losses would be older
    // than the one in force.
    lost_vm_mask mask =
        present.fencing_generation.row == row_.version ? present.fencing_generation.lost : 0;
    std::size_t position = 0;
    for (const auto* vms : {&r.members, &r.standbys}) {
      for (const vm_id& vm : *vms) {
        mask |= lost(vm) ? lost_vm_mask{1} << position : 0;
        ++position;
      }
    }
    const auto next = activate(r, row_.version, mask);
    if (next && next->fencing_generation > present.fencing_generation) {
      activated_[r.id] = *next;
      counts_outdated_ = true;
      ++count;
    }
  }
  return count;
}

void simulated_data_centre::recompute_counts() {
  counts_outdated_ = false;
  next_ready_ = time_point::max();
  serving_ = 0;
  for (const replica_plan& r : row_.replicas) {
    form(r);
    serving_ += serves(r) ? 1 : 0;
    const formation& f = formations_[r.id];
    if (f.complete && !f.weights_loaded) {
      next_ready_ = std::min(next_ready_, f.ready);
    }
  }
  const auto up = std::ranges::count_if(vms_, [](const auto& entry) { return entry.second.up; });
  powered_ = static_cast<std::uint32_t>(up);
}

void simulated_data_centre::form(const replica_plan& r) {
  const composition c = in_force(r);
  formation& f = formations_[r.id];
  const bool up = all_up(c.members);
  const auto has_weights = [&](std::size_t i) {
    const vm_state& vm = vms_.at(c.members[i]);
    return vm.model == r.model && vm.rank == i;
  };
  if (!up) {
    f = {c.fencing_generation, false, {}, false};
    return;
  }
  if (!f.complete || f.fencing_generation != c.fencing_generation) {
    bool all_loaded = true;
    for (std::size_t i = 0; i < c.members.size(); ++i) {
      all_loaded = all_loaded && has_weights(i);
    }
    f = {c.fencing_generation, true,
         now_ + (all_loaded ? regroup_time : settings_.weights_load_time), false};
  }
  if (f.weights_loaded || now_ < f.ready) {
    return;
  }
  f.weights_loaded = true;
  for (std::size_t i = 0; i < c.members.size(); ++i) {
    vms_[c.members[i]].model = r.model;
    vms_[c.members[i]].rank = i;
  }
}

bool simulated_data_centre::serves(const replica_plan& r) const {
  const auto f = formations_.find(r.id);
  const bool formed = f != formations_.end() && f->second.complete && f->second.weights_loaded;
  // No new requests are routed to a replica with a member that is known to be leaving.
  const bool leaving = std::ranges::any_of(in_force(r).members, [&](const vm_id& vm) {
    return vms_.at(vm).observed == vm_condition::leaving;
  });
  return formed && !leaving && r.phase == replica_phase::active;
}

}  // namespace arbutus
