// Reclaims VMs from other replicas for a replica that lacks VMs. Reclaimed VMs are not used in the
// same plan, since their current owner has to release them first.
#pragma once

#include <cstdint>

#include "version/plan_draft.h"

namespace arbutus {

struct shortage {
  const model_rule* rule = nullptr;
  domain_index domain = any_domain;
  std::size_t free = 0;  // free VMs of the domain to reserve while the replica waits
  std::size_t missing_vm_count = 0;
  const draft_replica* self = nullptr;  // the replica that lacks VMs; null: not created yet
  std::size_t standbys_kept = 0;        // number of standbys that each other replica keeps
};

enum class reclaim_scope {
  standbys,  // VMs that are already pending, and standbys of other replicas
  // Also broken replicas, and serving ones that are beyond the placements or of a model that is
  // repaired later by its rank.
  all,
};

// Arranges for `missing_vm_count` VMs to become free. If there are not enough, changes nothing and
// returns false.
[[nodiscard]] bool reclaim_vms(plan_draft& draft, const shortage& need, reclaim_scope allowed);

// Whether `a` is repaired before `b`: by rank of the model, then fewest missing members, then id.
[[nodiscard]] bool precedes_in_repair(const draft_replica& a, const draft_replica& b);

}  // namespace arbutus
