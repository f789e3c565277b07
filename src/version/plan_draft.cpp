// The actions that make up a plan.
#include "version/plan_draft.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "version/activation.h"

namespace arbutus {

namespace {

bool contains(const std::vector<vm_id>& list, const vm_id& vm) {
  return std::ranges::find(list, vm) != list.end();
}

std::vector<const model_rule*> by_rank(const std::vector<model_rule>& models) {
  std::vector<const model_rule*> list;
  list.reserve(models.size());
  for (const model_rule& rule : models) {
    list.push_back(&rule);
  }
  std::ranges::sort(list, [](const model_rule* a, const model_rule* b) {
    return std::tie(a->rank, a->id) < std::tie(b->rank, b->id);
  });
  return list;
}

}  // namespace

plan_draft::plan_draft(const planner_input& in)
    : pool(*in.config, in.data_centre, in.health),
      input_(in),
      next_version_(in.current->version + 1),
      models_(by_rank(in.config->desired.models)),
      reported_serving_(in.serving.begin(), in.serving.end()) {
  read_replicas();
  drop_acknowledged();
  begin_round();
}

void plan_draft::read_replicas() {
  activation_merge merge_result = merge_activations(*input_.current, input_.in_force);
  withdrawals_ = std::move(merge_result.withdrawals);
  for (replica_plan& plan : merge_result.replicas) {
    draft_replica r;
    r.plan = std::move(plan);
    r.rule = desired().find_model(r.plan.model);
    const replica_plan* before = input_.current->find(r.plan.id);
    if (r.plan.members != before->members) {
      r.plan.crosses_fabric_domains = crosses_domains(r.plan.members);
    }
    if (r.plan.fencing_generation != before->fencing_generation) {
      add_reason(r.plan.id, "activation " + to_string(r.plan.fencing_generation) + " entered");
    }
    if (std::ranges::find(merge_result.superseded, r.plan.id) != merge_result.superseded.end()) {
      r.plan.fencing_generation = {next_version_, 0, 0};
      add_reason(r.plan.id, "new token, since one that the row does not know is in force");
    }
    refresh(r);
    replicas.push_back(std::move(r));
  }
  std::ranges::sort(replicas, {},
                    [](const draft_replica& r) -> const replica_id& { return r.plan.id; });
  withdrawals_changed_ = merge_result.changed;
}

void plan_draft::drop_acknowledged() {
  std::erase_if(withdrawals_, [&](const withdrawal& w) { return w.since <= input_.acknowledged; });
}

void plan_draft::begin_round() {
  pool.clear();
  std::unordered_set<vm_id> owned;
  for (draft_replica& r : replicas) {
    r.waiting = false;
    if (r.removed) {
      continue;
    }
    for (const auto* vms : {&r.plan.members, &r.plan.standbys}) {
      owned.insert(vms->begin(), vms->end());
      if (r.draining()) {
        std::ranges::for_each(*vms, [&](const vm_id& vm) { pool.add_pending(vm); });
      }
    }
  }
  for (const withdrawal& taken : withdrawals_) {
    owned.insert(taken.vm);
    pool.add_pending(taken.vm);
  }
  for (const vm_record* record : pool.vms()) {
    if (!owned.contains(record->id)) {
      pool.add_free(record->id);
    }
  }
}

// Updates the state of a replica from the condition of its members. Leaving members count as
// missing once another member is lost, since the replica is changed anyway.
void plan_draft::refresh(draft_replica& r) const {
  std::uint32_t lost = 0;
  std::uint32_t leaving = 0;
  for (const vm_id& vm : r.plan.members) {
    lost += pool.condition(vm) == vm_condition::lost ? 1 : 0;
    leaving += pool.condition(vm) == vm_condition::leaving ? 1 : 0;
  }
  r.missing = lost > 0 ? lost + leaving : 0;
  r.has_leaving = lost == 0 && leaving > 0;
  r.serving = lost == 0 && reported_serving_.contains(r.plan.id);
}

std::uint32_t plan_draft::configured_replicas(const model_rule& rule) const {
  std::uint32_t sum = 0;
  for (const model_placement& p : rule.placements) {
    sum += p.data_centre == input_.data_centre ? p.replicas : 0;
  }
  return sum;
}

double plan_draft::load_in_replicas(const model_id& model) const {
  const auto found = std::ranges::find(input_.demand, model, &replica_demand::model);
  return found == input_.demand.end() ? 0.0 : found->load_in_replicas;
}

bool plan_draft::outdated(const draft_replica& r) const {
  if (r.rule == nullptr) {
    return false;  // the model has no rule: the replica is surplus
  }
  const bool too_small = std::ranges::any_of(r.plan.members, [&](const vm_id& vm) {
    return pool.usable(vm) && !pool.usable(vm, r.rule->accelerators_per_vm);
  });
  const bool forbidden = r.plan.crosses_fabric_domains && !r.rule->may_cross_fabric_domains;
  return r.plan.model_version != r.rule->version ||
         r.plan.members.size() != r.rule->vms_per_replica || too_small || forbidden;
}

std::uint32_t plan_draft::count_active(const model_id& model) const {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      replicas, [&](const draft_replica& r) { return r.active() && r.plan.model == model; }));
}

std::uint32_t plan_draft::count_serving(const model_id& model) const {
  return static_cast<std::uint32_t>(std::ranges::count_if(replicas, [&](const draft_replica& r) {
    return r.active() && r.serving && r.plan.model == model;
  }));
}

bool plan_draft::is_changing(const model_id& model) const {
  return std::ranges::any_of(replicas, [&](const draft_replica& r) {
    return r.plan.model == model && (r.draining() || (r.active() && !r.serving));
  });
}

domain_index plan_draft::main_domain(const draft_replica& r) const {
  std::map<domain_index, std::size_t> counts;
  for (const vm_id& vm : r.plan.members) {
    if (pool.usable(vm)) {
      ++counts[pool.domain_of(vm)];
    }
  }
  domain_index best = r.plan.members.empty() ? any_domain : pool.domain_of(r.plan.members.front());
  std::size_t most = 0;
  for (const auto& [d, count] : counts) {
    if (count > most) {
      most = count;
      best = d;
    }
  }
  return best;
}

std::size_t plan_draft::usable_vms_in(const draft_replica& r, domain_index d,
                                      std::uint32_t accelerators) const {
  const auto fits = [&](const vm_id& vm) {
    return pool.usable(vm, accelerators) && (d == any_domain || pool.domain_of(vm) == d);
  };
  return static_cast<std::size_t>(std::ranges::count_if(r.plan.members, fits) +
                                  std::ranges::count_if(r.plan.standbys, fits));
}

bool plan_draft::crosses_domains(const std::vector<vm_id>& members) const {
  return std::ranges::any_of(members, [&](const vm_id& vm) {
    return pool.domain_of(vm) != pool.domain_of(members.front());
  });
}

void plan_draft::withdraw(const vm_id& vm, const replica_id& from) {
  withdrawals_.push_back({vm, from, next_version_});
  pool.add_pending(vm);
  withdrawals_changed_ = true;
}

void plan_draft::replace_members(draft_replica& r, const std::vector<vm_id>& members,
                                 const std::string& reason) {
  for (const vm_id& vm : r.plan.members) {
    if (!contains(members, vm)) {
      withdraw(vm, r.plan.id);
    }
  }
  const domain_index before = main_domain(r);
  r.plan.members = members;
  const bool moved = main_domain(r) != before;
  std::vector<vm_id> standbys = std::exchange(r.plan.standbys, {});
  for (const vm_id& vm : standbys) {
    if (contains(members, vm)) {
      continue;
    }
    if (moved) {
      withdraw(vm, r.plan.id);
    } else {
      r.plan.standbys.push_back(vm);
    }
  }
  r.plan.model_version = r.rule->version;
  r.plan.crosses_fabric_domains = crosses_domains(members);
  r.plan.fencing_generation = {next_version_, 0, 0};
  r.waiting = false;
  refresh(r);
  r.serving = false;
  add_reason(r.plan.id, reason);
}

void plan_draft::withdraw_standby(draft_replica& r, const vm_id& vm, const std::string& reason) {
  std::erase(r.plan.standbys, vm);
  withdraw(vm, r.plan.id);
  add_reason(r.plan.id, reason);
}

void plan_draft::dissolve(draft_replica& r, const std::string& reason) {
  for (const vm_id& vm : r.plan.members) {
    withdraw(vm, r.plan.id);
  }
  for (const vm_id& vm : r.plan.standbys) {
    withdraw(vm, r.plan.id);
  }
  r.removed = true;
  add_reason(r.plan.id, reason);
}

void plan_draft::drain(draft_replica& r, const std::string& reason) {
  r.plan.phase = replica_phase::draining;
  std::ranges::for_each(r.plan.members, [&](const vm_id& vm) { pool.add_pending(vm); });
  std::ranges::for_each(r.plan.standbys, [&](const vm_id& vm) { pool.add_pending(vm); });
  add_reason(r.plan.id, reason);
}

void plan_draft::release(draft_replica& r) {
  for (const vm_id& vm : r.plan.members) {
    pool.add_free(vm);
  }
  for (const vm_id& vm : r.plan.standbys) {
    pool.add_free(vm);
  }
  r.removed = true;
  released.push_back(r.plan);
  add_reason(r.plan.id, "drained and removed");
}

draft_replica& plan_draft::add(const model_rule& rule, const std::vector<vm_id>& members) {
  draft_replica r;
  // The id is unique, since the row version only increases.
  r.plan.id =
      replica_id{rule.id.str() + "." + input_.data_centre.str() + "." +
                 std::to_string(next_version_) + "." + std::to_string(added_replica_count_++)};
  r.plan.model = rule.id;
  r.plan.model_version = rule.version;
  r.plan.members = members;
  r.plan.crosses_fabric_domains = crosses_domains(members);
  r.plan.fencing_generation = {next_version_, 0, 0};
  r.rule = &rule;
  add_reason(r.plan.id, "laid down");
  replicas.push_back(std::move(r));
  return replicas.back();
}

void plan_draft::add_reason(const replica_id& replica, const std::string& what) {
  reasons_.push_back(replica.str() + ": " + what);
}

// Acknowledged withdrawals are removed from the row with the next other change. Removing them does
// not justify a write of its own.
plan plan_draft::finish() const {
  plan result;
  result.next = *input_.current;
  std::vector<replica_plan> next;
  for (const draft_replica& r : replicas) {
    if (!r.removed) {
      next.push_back(r.plan);
    }
  }
  std::ranges::sort(next, {}, &replica_plan::id);
  std::vector<replica_plan> before = input_.current->replicas;
  std::ranges::sort(before, {}, &replica_plan::id);
  result.changed = withdrawals_changed_ || next != before;
  if (!result.changed) {
    return result;
  }
  result.next.data_centre = input_.data_centre;
  result.next.version = next_version_;
  result.next.config_version = input_.config->version;
  result.next.proposal = {};
  result.next.replicas = std::move(next);
  result.next.withdrawals = withdrawals_;
  std::ranges::sort(result.next.withdrawals);
  result.reasons = reasons_;
  return result;
}

}  // namespace arbutus
