// VMs that are not free yet: where to get those that a replica still lacks. What is taken here is
// not used in the same plan, since its present owner has to let go of it first.
#pragma once

#include <cstdint>

#include "version/plan_draft.h"

namespace arbutus {

struct shortage {
  const model_rule* rule = nullptr;
  domain_index domain = any_domain;
  std::size_t free = 0;  // free VMs there that the replica will use; set aside while it waits
  std::size_t lacking = 0;
  const draft_replica* self = nullptr;  // the broken replica; null: one to be laid down
  std::size_t standbys_kept = 0;        // each other replica keeps so many
};

enum class sources {
  standbys,  // what is pending already, and standbys reserved for others
  all,       // also broken replicas, and serving ones of a lower rank or beyond the placements
};

// Sees to it that `lacking` VMs become free; false, and nothing done, when there are not enough.
[[nodiscard]] bool obtain(plan_draft& draft, const shortage& need, sources allowed);

// Order of repair: by rank, fewest missing members, name.
[[nodiscard]] bool comes_before(const draft_replica& a, const draft_replica& b);

}  // namespace arbutus
