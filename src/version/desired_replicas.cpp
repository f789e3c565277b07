// Demand moves a replica between models only with a wide hysteresis between the thresholds. A move
// costs a drain and a load of weights, which take minutes; load that oscillates around a single
// threshold would cause that cost repeatedly without a gain.
#include "version/desired_replicas.h"

#include <algorithm>
#include <optional>
#include <tuple>

#include "version/placement.h"
#include "version/shortage.h"

namespace arbutus {

namespace {

// Thresholds of load per replica, in units of one replica's capacity. Queueing grows steeply above
// about 0.9.
constexpr double overload_threshold = 0.9;
// A model gives up a replica to an overloaded model only if its remaining ones stay at or below
// this load.
constexpr double max_load_after_lending = 0.6;
// A model that gave up a replica gets one back above this load per replica. The difference to
// max_load_after_lending is the hysteresis.
constexpr double reclaim_threshold = 0.8;
// A replica beyond the placements is kept while the load per replica would exceed this without it.
constexpr double keep_threshold = 0.7;

bool keeps_extra(const plan_draft& draft, const model_rule& rule) {
  const std::uint32_t count = draft.count_active(rule.id);
  return count > draft.configured_replicas(rule) && count > 1 &&
         draft.load_in_replicas(rule.id) > keep_threshold * (count - 1);
}

bool any_model_borrows(const plan_draft& draft) {
  return std::ranges::any_of(draft.models(), [&](const model_rule* rule) {
    return keeps_extra(draft, *rule) || is_overloaded(draft, *rule);
  });
}

std::uint32_t desired_count(const plan_draft& draft, const model_rule& rule, bool lending) {
  const std::uint32_t base = draft.configured_replicas(rule);
  const std::uint32_t count = draft.count_active(rule.id);
  const double busy = draft.load_in_replicas(rule.id);
  if (count > base && base > 0) {
    return keeps_extra(draft, rule) ? count : base;
  }
  if (lending && count > 0 && count < base && busy <= reclaim_threshold * count) {
    return count;
  }
  return base;
}

// Active replicas of a model in the order in which they are removed.
std::vector<draft_replica*> by_removal_order(plan_draft& draft, const model_id& model) {
  std::vector<draft_replica*> list;
  for (draft_replica& r : draft.replicas) {
    if (r.active() && r.plan.model == model) {
      list.push_back(&r);
    }
  }
  const auto key = [&](const draft_replica* r) {
    return std::tuple(!r->broken(), !draft.outdated(*r), !r->plan.crosses_fabric_domains,
                      r->serving);
  };
  std::ranges::sort(list, [&](const auto* a, const auto* b) {
    return key(a) != key(b) ? key(a) < key(b) : a->plan.id > b->plan.id;
  });
  return list;
}

// Removes or drains replicas of a model beyond `desired`. A replica that is not broken is drained
// only if at least `desired` of the remaining ones serve.
void remove_surplus(plan_draft& draft, const model_id& model, std::uint32_t desired) {
  const std::vector<draft_replica*> list = by_removal_order(draft, model);
  for (std::size_t i = 0; i + desired < list.size(); ++i) {
    if (list[i]->broken()) {
      draft.dissolve(*list[i], "broken and no longer wanted");
      continue;
    }
    const auto stay = list.begin() + static_cast<std::ptrdiff_t>(i + 1);
    const auto serve = std::count_if(stay, list.end(), [](const auto* r) { return r->serving; });
    if (static_cast<std::size_t>(serve) < desired) {
      return;
    }
    draft.drain(*list[i], "no longer wanted");
  }
}

bool can_lend(const plan_draft& draft, const draft_replica& r) {
  if (!r.active() || !r.serving || r.rule == nullptr || draft.is_changing(r.plan.model)) {
    return false;
  }
  const std::uint32_t count = draft.count_active(r.plan.model);
  return count > 1 && draft.load_in_replicas(r.plan.model) <= max_load_after_lending * (count - 1);
}

// The domain in which a replica of an overloaded model (`rule`) fits once replica `r` of another
// model is removed.
std::optional<domain_index> domain_with_room(const plan_draft& draft, const model_rule& rule,
                                             const draft_replica& r, std::size_t min_free_vms) {
  const std::uint32_t accelerators = rule.accelerators_per_vm;
  const auto after = [&](domain_index d) {
    return draft.pool.free_count(d, accelerators) + draft.pool.pending_count(d, accelerators) +
           draft.usable_vms_in(r, d, accelerators);
  };
  if (after(any_domain) < rule.vms_per_replica + min_free_vms) {
    return std::nullopt;
  }
  for (domain_index d = 0; d < draft.pool.domain_count(); ++d) {
    if (after(d) >= rule.vms_per_replica) {
      return d;
    }
  }
  return std::nullopt;
}

// Drains a replica of a model with little load to make room for one of the overloaded model `rule`
// (the borrower). Also reserves the VMs that are already free. Otherwise a later pass would take
// them, the borrower would not fit after the drain, and the next plan would drain another replica.
void borrow(plan_draft& draft, const model_rule& rule, std::size_t min_free_vms) {
  draft_replica* lender = nullptr;
  domain_index domain = any_domain;
  for (draft_replica& r : draft.replicas) {
    if (r.plan.model == rule.id || !can_lend(draft, r) ||
        (lender != nullptr && !precedes_in_repair(*lender, r))) {
      continue;
    }
    if (const auto room = domain_with_room(draft, rule, r, min_free_vms)) {
      lender = &r;
      domain = *room;
    }
  }
  if (lender == nullptr) {
    return;
  }
  draft.drain(*lender, "lent to " + rule.id.str());
  const std::size_t free = std::min<std::size_t>(
      rule.vms_per_replica, draft.pool.free_count(domain, rule.accelerators_per_vm));
  draft.pool.reserve_vms(domain, rule.accelerators_per_vm, free, rule.vms_per_replica - free);
}

// Whether a model has fewer replicas than its placements give it. Such a model takes precedence
// over overloaded ones and would take the VMs that are freed for them.
bool placements_unmet(const plan_draft& draft, const std::vector<std::uint32_t>& desired) {
  for (std::size_t i = 0; i < desired.size(); ++i) {
    if (draft.count_active(draft.models()[i]->id) < desired[i]) {
      return true;
    }
  }
  return std::ranges::any_of(draft.replicas,
                             [](const draft_replica& r) { return r.active() && r.broken(); });
}

bool reclaim_for_demand(plan_draft& draft, const model_rule& rule, std::size_t standbys_kept,
                        std::size_t min_free_vms) {
  const std::uint32_t accelerators = rule.accelerators_per_vm;
  const std::size_t soon = draft.pool.free_count(any_domain, accelerators) +
                           draft.pool.pending_count(any_domain, accelerators);
  for (domain_index d = 0; d < draft.pool.domain_count(); ++d) {
    const std::size_t free =
        std::min<std::size_t>(draft.pool.free_count(d, accelerators), rule.vms_per_replica);
    const std::size_t missing_vm_count = rule.vms_per_replica - free;
    const bool spares_remain = soon >= rule.vms_per_replica + min_free_vms;
    const shortage need{&rule, d, free, missing_vm_count, nullptr, standbys_kept};
    const bool pending =
        spares_remain && draft.pool.pending_count(d, accelerators) >= missing_vm_count;
    if ((pending || min_free_vms == 0) && reclaim_vms(draft, need, reclaim_scope::standbys)) {
      return true;
    }
  }
  return false;
}

// Uses remaining free VMs to create replicas again that models gave up to overloaded models. VMs
// that an overloaded model waits for are already reserved.
void restore_lent_replicas(plan_draft& draft, std::size_t min_free_vms) {
  for (const model_rule* rule : draft.models()) {
    while (draft.count_active(rule->id) < draft.configured_replicas(*rule) &&
           create_replica(draft, *rule, min_free_vms)) {
    }
  }
}

}  // namespace

bool is_overloaded(const plan_draft& draft, const model_rule& rule) {
  const std::uint32_t count = draft.count_active(rule.id);
  return count > 0 && count >= draft.configured_replicas(rule) && !draft.is_changing(rule.id) &&
         draft.load_in_replicas(rule.id) > overload_threshold * count;
}

std::vector<std::uint32_t> desired_replicas(const plan_draft& draft) {
  const bool lending = any_model_borrows(draft);
  std::vector<std::uint32_t> desired;
  for (const model_rule* rule : draft.models()) {
    desired.push_back(desired_count(draft, *rule, lending));
  }
  return desired;
}

void remove_surplus_replicas(plan_draft& draft, const std::vector<std::uint32_t>& desired) {
  for (std::size_t i = 0; i < desired.size(); ++i) {
    remove_surplus(draft, draft.models()[i]->id, desired[i]);
  }
  for (draft_replica& r : draft.replicas) {
    if (r.active() && r.rule == nullptr) {
      remove_surplus(draft, r.plan.model, 0);
    }
  }
}

void adjust_to_demand(plan_draft& draft, const std::vector<std::uint32_t>& desired,
                      std::size_t standbys_kept) {
  const bool may_borrow = !placements_unmet(draft, desired);
  const std::size_t min_free_vms = draft.desired().spare_vms_per_data_centre;
  for (const model_rule* rule : draft.models()) {
    const bool settled = !is_overloaded(draft, *rule) ||
                         create_replica(draft, *rule, min_free_vms) ||
                         reclaim_for_demand(draft, *rule, standbys_kept, min_free_vms);
    if (!settled && may_borrow) {
      borrow(draft, *rule, min_free_vms);
    }
  }
  restore_lent_replicas(draft, min_free_vms);
}

}  // namespace arbutus
