// Chooses the VMs of replicas: repairs broken replicas and creates missing ones.
#pragma once

#include <cstdint>

#include "version/plan_draft.h"

namespace arbutus {

// Repairs broken replicas and creates missing ones, by rank of their models. VMs are taken from, in
// order: own standbys, free VMs of the same fabric domain, another domain that can hold the
// complete replica, VMs that are about to become free, standbys of other replicas, other domains if
// the rule allows crossing, broken replicas later in the order of repair, and serving replicas of
// models later in that order, which are drained. `desired[i]` is the number of replicas of
// `draft.models()[i]`.
void repair_and_fill(plan_draft& draft, const std::vector<std::uint32_t>& desired);

// Creates one more replica on free VMs of one domain, if at least `min_free_vms` free VMs remain in
// the data centre. False if none fits.
bool create_replica(plan_draft& draft, const model_rule& rule, std::size_t min_free_vms);

// Like create_replica(), but if no domain has enough free VMs, frees VMs from the sources that
// repair_and_fill() uses. True if the replica was created or its VMs are becoming free.
bool create_replica_or_wait(plan_draft& draft, const model_rule& rule);

}  // namespace arbutus
