// Reclaims VMs, cheapest source first. Serving replicas are taken last, and only surplus ones or
// for a model that is repaired earlier by its rank.
#include "version/shortage.h"

#include <algorithm>
#include <tuple>

namespace arbutus {

namespace {

bool in_domain(const plan_draft& draft, const shortage& need, const vm_id& vm) {
  return draft.pool.usable(vm, need.rule->accelerators_per_vm) &&
         (need.domain == any_domain || draft.pool.domain_of(vm) == need.domain);
}

// Number of the replica's members that could be reclaimed. Its standbys are not counted; they are a
// separate source of VMs.
std::size_t usable_members(const plan_draft& draft, const shortage& need, const draft_replica& r) {
  return static_cast<std::size_t>(std::ranges::count_if(
      r.plan.members, [&](const vm_id& vm) { return in_domain(draft, need, vm); }));
}

struct standby_ref {
  draft_replica* owner;
  vm_id vm;
};

// Standbys in the order in which they are reclaimed: those of the replica that is repaired last
// come first, and of each replica its last standby.
std::vector<standby_ref> reclaimable_standbys(plan_draft& draft, const shortage& need) {
  std::vector<draft_replica*> owners;
  for (draft_replica& r : draft.replicas) {
    if (r.active() && &r != need.self && !r.plan.standbys.empty()) {
      owners.push_back(&r);
    }
  }
  std::ranges::sort(owners,
                    [](const auto* a, const auto* b) { return precedes_in_repair(*b, *a); });
  std::vector<standby_ref> found;
  for (draft_replica* r : owners) {
    for (std::size_t i = r->plan.standbys.size(); i > need.standbys_kept; --i) {
      const vm_id& vm = r->plan.standbys[i - 1];
      if (in_domain(draft, need, vm)) {
        found.push_back({r, vm});
      }
    }
  }
  return found;
}

// Broken replicas whose VMs may be reclaimed. A broken replica gives up its VMs to a replica that
// precedes it in the order of repair. A broken replica that could not be repaired also gives them
// up to any other replica of its own rank, since it does not serve.
std::vector<draft_replica*> broken_replicas_to_dissolve(plan_draft& draft, const shortage& need) {
  std::vector<draft_replica*> donors;
  for (draft_replica& r : draft.replicas) {
    const bool idle = r.active() && r.broken() && !r.waiting && &r != need.self;
    if (!idle) {
      continue;
    }
    // Those of the same rank that precede the replica in need were tried before it, and failed.
    const bool may_give = r.rule == nullptr || r.rule->rank >= need.rule->rank;
    if (may_give && usable_members(draft, need, r) > 0) {
      donors.push_back(&r);
    }
  }
  std::ranges::sort(donors,
                    [](const auto* a, const auto* b) { return precedes_in_repair(*b, *a); });
  return donors;
}

// Whether replica `r` may be drained for another model: for a model that is repaired earlier by its
// rank, or for any model if more replicas of r's model serve than its placements give it.
bool can_give_up_replica(const plan_draft& draft, const shortage& need, const draft_replica& r) {
  const bool lower_rank = r.rule->rank > need.rule->rank;
  const bool beyond = draft.count_serving(r.plan.model) > draft.configured_replicas(*r.rule);
  return r.plan.model != need.rule->id && (lower_rank || beyond);
}

// The serving replica that is last in the order of repair and has enough VMs by itself. At most one
// replica of a model drains at a time.
draft_replica* serving_replica_to_drain(plan_draft& draft, const shortage& need,
                                        std::size_t missing_vm_count) {
  draft_replica* best = nullptr;
  for (draft_replica& r : draft.replicas) {
    const bool candidate =
        r.active() && !r.broken() && r.rule != nullptr && can_give_up_replica(draft, need, r);
    if (!candidate ||
        draft.usable_vms_in(r, need.domain, need.rule->accelerators_per_vm) < missing_vm_count) {
      continue;
    }
    const bool draining = std::ranges::any_of(draft.replicas, [&](const draft_replica& other) {
      return other.draining() && other.plan.model == r.plan.model;
    });
    if (!draining && (best == nullptr || precedes_in_repair(*best, r))) {
      best = &r;
    }
  }
  return best;
}

}  // namespace

bool precedes_in_repair(const draft_replica& a, const draft_replica& b) {
  constexpr std::uint32_t last = ~std::uint32_t{0};
  const std::uint32_t rank_a = a.rule == nullptr ? last : a.rule->rank;
  const std::uint32_t rank_b = b.rule == nullptr ? last : b.rule->rank;
  return std::tie(rank_a, a.missing, a.plan.id) < std::tie(rank_b, b.missing, b.plan.id);
}

bool reclaim_vms(plan_draft& draft, const shortage& need, reclaim_scope allowed) {
  const std::uint32_t accelerators = need.rule->accelerators_per_vm;
  const std::size_t pending =
      std::min(need.missing_vm_count, draft.pool.pending_count(need.domain, accelerators));
  std::size_t missing_vm_count = need.missing_vm_count - pending;
  std::vector<standby_ref> standbys;
  if (missing_vm_count > 0) {
    standbys = reclaimable_standbys(draft, need);
    standbys.resize(std::min(standbys.size(), missing_vm_count), standby_ref{nullptr, {}});
    missing_vm_count -= standbys.size();
  }
  std::vector<draft_replica*> dissolved;
  draft_replica* drained = nullptr;
  if (missing_vm_count > 0 && allowed == reclaim_scope::all) {
    for (draft_replica* donor : broken_replicas_to_dissolve(draft, need)) {
      const std::size_t gives = usable_members(draft, need, *donor);
      dissolved.push_back(donor);
      missing_vm_count -= std::min(missing_vm_count, gives);
      if (missing_vm_count == 0) {
        break;
      }
    }
    if (missing_vm_count > 0) {
      dissolved.clear();
      standbys.clear();
      missing_vm_count = need.missing_vm_count - pending;
      drained = serving_replica_to_drain(draft, need, missing_vm_count);
      missing_vm_count = drained == nullptr ? missing_vm_count : 0;
    }
  }
  if (missing_vm_count > 0) {
    return false;
  }
  const std::string& name = need.rule->id.str();
  for (const standby_ref& s : standbys) {
    const bool gone = std::ranges::find(dissolved, s.owner) != dissolved.end();
    if (!gone) {
      draft.withdraw_standby(*s.owner, s.vm, "standby " + s.vm.str() + " taken back for " + name);
    }
  }
  for (draft_replica* donor : dissolved) {
    draft.dissolve(*donor, "broken, gives its VMs to " + name);
  }
  if (drained != nullptr) {
    draft.drain(*drained, "drained in favour of " + name);
  }
  draft.pool.reserve_vms(need.domain, accelerators, need.free, need.missing_vm_count);
  return true;
}

}  // namespace arbutus
