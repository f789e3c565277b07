// Which VMs make a replica: repairs of broken ones, and new ones that are missing.
#pragma once

#include <cstdint>

#include "version/plan_draft.h"

namespace arbutus {

// Repairs broken replicas and lays down missing ones, by rank of their models. Sources of a VM, in
// order: own standby, a free VM of the same fabric domain, another domain that holds the replica
// whole, VMs that will be free anyway, standbys of others, other domains if the rule allows, broken
// replicas that come later in the order, serving replicas of a lower rank, which are drained.
// `desired[i]` is the number of replicas for `draft.models()[i]`.
void repair_and_fill(plan_draft& draft, const std::vector<std::uint32_t>& desired);

// Lays down one more replica on free VMs of one domain, leaving `keep_free` of them; false when
// none fits.
bool lay_down(plan_draft& draft, const model_rule& rule, std::size_t keep_free);

// Like lay_down, but when no domain has the VMs free, sees to it that they will be, from the
// sources above. True when it was laid down or its VMs are on their way.
bool lay_down_or_wait(plan_draft& draft, const model_rule& rule);

}  // namespace arbutus
