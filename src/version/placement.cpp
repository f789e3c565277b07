// Chooses VMs for replicas. Working replicas are never moved to make room: if only moving one could
// give another replica enough VMs, the latter waits until a VM returns, which costs less than
// loading all model weights of the moved replica again.
#include "version/placement.h"

#include <algorithm>
#include <optional>

#include "version/shortage.h"

namespace arbutus {

namespace {

// The members, with an empty id (a gap) in place of each one that is lost or leaving.
std::vector<vm_id> with_gaps(const plan_draft& draft, const std::vector<vm_id>& members) {
  std::vector<vm_id> result;
  for (const vm_id& vm : members) {
    const vm_condition c = draft.pool.condition(vm);
    const bool stays = c == vm_condition::working || c == vm_condition::suspect;
    result.push_back(stays ? vm : vm_id{});
  }
  return result;
}

std::size_t gaps(const std::vector<vm_id>& members) {
  return static_cast<std::size_t>(std::ranges::count_if(members, &vm_id::empty));
}

void fill_gaps_from_standbys(std::vector<vm_id>& members, const std::vector<vm_id>& standbys) {
  auto next = standbys.begin();
  for (vm_id& vm : members) {
    if (vm.empty() && next != standbys.end()) {
      vm = *next++;
    }
  }
}

// Fills the places of lost members (gaps) with free VMs of domain `from`, then of `domain`. If
// `domain` is any_domain, continues with the domain of the VM just taken, so that the replica spans
// few domains.
void fill_gaps_from_pool(plan_draft& draft, std::vector<vm_id>& members, domain_index domain,
                         std::uint32_t accelerators, domain_index from) {
  for (vm_id& vm : members) {
    if (!vm.empty()) {
      continue;
    }
    auto taken = draft.pool.take_free(from, accelerators);
    if (!taken) {
      taken = draft.pool.take_free(domain, accelerators);
    }
    vm = taken.value_or(vm_id{});
    if (domain == any_domain) {
      from = draft.pool.domain_of(vm);
    }
  }
}

std::vector<vm_id> usable_standbys(const plan_draft& draft, const draft_replica& r) {
  std::vector<vm_id> list;
  for (const vm_id& vm : r.plan.standbys) {
    if (draft.pool.usable(vm, r.rule->accelerators_per_vm)) {
      list.push_back(vm);
    }
  }
  return list;
}

bool repair_from(plan_draft& draft, draft_replica& r, domain_index domain) {
  std::vector<vm_id> members = with_gaps(draft, r.plan.members);
  fill_gaps_from_standbys(members, usable_standbys(draft, r));
  const std::uint32_t accelerators = r.rule->accelerators_per_vm;
  if (gaps(members) > draft.pool.free_count(domain, accelerators)) {
    return false;
  }
  fill_gaps_from_pool(draft, members, domain, accelerators, draft.main_domain(r));
  draft.replace_members(r, members, "lost members replaced");
  return true;
}

// Of the domains that can hold all members, the one that already has most of the replica's usable
// VMs.
std::optional<domain_index> domain_with_capacity(const plan_draft& draft, const draft_replica& r) {
  const std::uint32_t accelerators = r.rule->accelerators_per_vm;
  std::optional<domain_index> best;
  std::size_t best_kept = 0;
  for (domain_index d = 0; d < draft.pool.domain_count(); ++d) {
    const std::size_t kept = draft.usable_vms_in(r, d, accelerators);
    const bool fits = kept + draft.pool.free_count(d, accelerators) >= r.rule->vms_per_replica;
    if (fits && (!best || kept > best_kept)) {
      best = d;
      best_kept = kept;
    }
  }
  return best;
}

bool relocate(plan_draft& draft, draft_replica& r) {
  const auto domain = domain_with_capacity(draft, r);
  if (!domain) {
    return false;
  }
  std::vector<vm_id> members = with_gaps(draft, r.plan.members);
  std::vector<vm_id> standbys = usable_standbys(draft, r);
  const auto elsewhere = [&](const vm_id& vm) { return draft.pool.domain_of(vm) != *domain; };
  std::ranges::replace_if(members, elsewhere, vm_id{});
  std::erase_if(standbys, elsewhere);
  fill_gaps_from_standbys(members, standbys);
  fill_gaps_from_pool(draft, members, *domain, r.rule->accelerators_per_vm, *domain);
  draft.replace_members(r, members, "moved to a domain that holds it whole");
  return true;
}

bool wait_for_repair(plan_draft& draft, draft_replica& r, domain_index domain,
                     reclaim_scope allowed) {
  std::vector<vm_id> members = with_gaps(draft, r.plan.members);
  fill_gaps_from_standbys(members, usable_standbys(draft, r));
  const std::size_t needed = gaps(members);
  const std::uint32_t accelerators = r.rule->accelerators_per_vm;
  const std::size_t free = std::min(needed, draft.pool.free_count(domain, accelerators));
  const bool has_nothing_to_wait_for = free == needed;
  if (has_nothing_to_wait_for) {
    return false;
  }
  r.waiting = reclaim_vms(draft, {r.rule, domain, free, needed - free, &r}, allowed);
  return r.waiting;
}

void repair(plan_draft& draft, draft_replica& r) {
  const bool size_changed = r.plan.members.size() != r.rule->vms_per_replica;
  if (size_changed) {
    draft.dissolve(r, "broken, and of a size that is no longer wanted");
    return;
  }
  const domain_index main_domain = draft.main_domain(r);
  const bool cross = r.rule->may_cross_fabric_domains;
  const bool in_place = !r.plan.crosses_fabric_domains || cross;
  if (!r.plan.crosses_fabric_domains && repair_from(draft, r, main_domain)) {
    return;
  }
  if (relocate(draft, r)) {
    return;
  }
  if (in_place && wait_for_repair(draft, r, main_domain, reclaim_scope::standbys)) {
    return;
  }
  if (cross && repair_from(draft, r, any_domain)) {
    return;
  }
  if (in_place && wait_for_repair(draft, r, main_domain, reclaim_scope::all)) {
    return;
  }
  if (cross) {
    wait_for_repair(draft, r, any_domain, reclaim_scope::all);
  }
}

// The drained replica that the new one replaces: it ran the same model and has a VM that is still
// free.
std::optional<replica_plan> predecessor(const plan_draft& draft, const model_rule& rule) {
  const auto still_free = [&](const replica_plan& r) {
    return r.model == rule.id &&
           std::ranges::any_of(r.members, [&](const vm_id& vm) { return draft.pool.is_free(vm); });
  };
  const auto found = std::ranges::find_if(draft.released, still_free);
  return found == draft.released.end() ? std::nullopt : std::optional(*found);
}

// The domain for a new replica: the one with the fewest free VMs that suffice, so that domains with
// many free VMs keep them. The domain of the replica's predecessor is preferred if it has room,
// since its VMs already hold the model's weights.
domain_index best_fit(const plan_draft& draft, const model_rule& rule,
                      const std::optional<replica_plan>& before) {
  const std::uint32_t accelerators = rule.accelerators_per_vm;
  domain_index best = any_domain;
  std::size_t best_free = 0;
  for (domain_index d = 0; d < draft.pool.domain_count(); ++d) {
    const std::size_t free = draft.pool.free_count(d, accelerators);
    if (free < rule.vms_per_replica) {
      continue;
    }
    if (before && d == draft.pool.domain_of(before->members.front())) {
      return d;
    }
    if (best == any_domain || free < best_free) {
      best = d;
      best_free = free;
    }
  }
  return best;
}

std::vector<vm_id> choose_members(plan_draft& draft, const model_rule& rule, domain_index domain,
                                  const std::optional<replica_plan>& before) {
  std::vector<vm_id> members(rule.vms_per_replica);
  for (std::size_t i = 0; before && i < std::min(members.size(), before->members.size()); ++i) {
    const vm_id& vm = before->members[i];
    const bool desired = domain == any_domain || draft.pool.domain_of(vm) == domain;
    if (desired && draft.pool.usable(vm, rule.accelerators_per_vm) && draft.pool.take_free(vm)) {
      members[i] = vm;
    }
  }
  fill_gaps_from_pool(draft, members, domain, rule.accelerators_per_vm, domain);
  return members;
}

// Domains by number of free and pending VMs, most first.
std::vector<domain_index> domains_by_availability(const plan_draft& draft, const model_rule& rule) {
  std::vector<domain_index> order(draft.pool.domain_count());
  for (domain_index d = 0; d < order.size(); ++d) {
    order[d] = d;
  }
  const auto soon = [&](domain_index d) {
    return draft.pool.free_count(d, rule.accelerators_per_vm) +
           draft.pool.pending_count(d, rule.accelerators_per_vm);
  };
  std::ranges::stable_sort(order, [&](auto a, auto b) { return soon(a) > soon(b); });
  return order;
}

bool wait_for_new_replica(plan_draft& draft, const model_rule& rule, domain_index domain,
                          reclaim_scope allowed) {
  const std::size_t free = draft.pool.free_count(domain, rule.accelerators_per_vm);
  const std::size_t used = std::min<std::size_t>(free, rule.vms_per_replica);
  return reclaim_vms(draft, {&rule, domain, used, rule.vms_per_replica - used, nullptr}, allowed);
}

bool wait_in_domain(plan_draft& draft, const model_rule& rule, reclaim_scope allowed) {
  return std::ranges::any_of(domains_by_availability(draft, rule), [&](domain_index d) {
    return wait_for_new_replica(draft, rule, d, allowed);
  });
}

bool create_across_domains(plan_draft& draft, const model_rule& rule) {
  const std::size_t free = draft.pool.free_count(any_domain, rule.accelerators_per_vm);
  if (!rule.may_cross_fabric_domains || free < rule.vms_per_replica) {
    return false;
  }
  const auto before = predecessor(draft, rule);
  draft.add(rule, choose_members(draft, rule, any_domain, before));
  return true;
}

void repair_rank(plan_draft& draft, std::uint32_t rank) {
  std::vector<std::size_t> broken;  // indices stay valid: reclaim_vms() adds no replicas
  for (std::size_t i = 0; i < draft.replicas.size(); ++i) {
    const draft_replica& r = draft.replicas[i];
    if (r.active() && r.broken() && r.rule != nullptr && r.rule->rank == rank) {
      broken.push_back(i);
    }
  }
  std::ranges::sort(broken, [&](std::size_t a, std::size_t b) {
    return precedes_in_repair(draft.replicas[a], draft.replicas[b]);
  });
  for (const std::size_t i : broken) {
    if (draft.replicas[i].active()) {
      repair(draft, draft.replicas[i]);
    }
  }
}

}  // namespace

bool create_replica(plan_draft& draft, const model_rule& rule, std::size_t min_free_vms) {
  const std::size_t free = draft.pool.free_count(any_domain, rule.accelerators_per_vm);
  if (rule.vms_per_replica == 0 || free < rule.vms_per_replica + min_free_vms) {
    return false;
  }
  const auto before = predecessor(draft, rule);
  const domain_index domain = best_fit(draft, rule, before);
  if (domain == any_domain) {
    return false;
  }
  draft.add(rule, choose_members(draft, rule, domain, before));
  return true;
}

bool create_replica_or_wait(plan_draft& draft, const model_rule& rule) {
  return create_replica(draft, rule, 0) || wait_in_domain(draft, rule, reclaim_scope::standbys) ||
         create_across_domains(draft, rule) || wait_in_domain(draft, rule, reclaim_scope::all) ||
         (rule.may_cross_fabric_domains &&
          wait_for_new_replica(draft, rule, any_domain, reclaim_scope::all));
}

void repair_and_fill(plan_draft& draft, const std::vector<std::uint32_t>& desired) {
  const auto& models = draft.models();
  for (std::size_t i = 0; i < models.size(); ++i) {
    const bool first_of_rank = i == 0 || models[i]->rank != models[i - 1]->rank;
    if (first_of_rank) {
      repair_rank(draft, models[i]->rank);
    }
    for (std::uint32_t n = draft.count_active(models[i]->id); n < desired[i]; ++n) {
      if (!create_replica_or_wait(draft, *models[i])) {
        break;
      }
    }
  }
}

}  // namespace arbutus
