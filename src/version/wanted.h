// How many replicas each model should have here: the placements, shifted by demand.
#pragma once

#include <cstdint>
#include <vector>

#include "version/plan_draft.h"

namespace arbutus {

// For each of `draft.models()`. Differs from the placements only where demand has shifted, or is
// about to shift, a replica from a model with little load to one with too much.
[[nodiscard]] std::vector<std::uint32_t> wanted_replicas(const plan_draft& draft);

// All replicas of the model serve, and are too few for its load.
[[nodiscard]] bool has_too_few(const plan_draft& draft, const model_rule& rule);

// Removes or drains replicas beyond the desired number, and those of models without a rule.
void shed_surplus(plan_draft& draft, const std::vector<std::uint32_t>& desired);

// Lays down one more replica for an overloaded model: on free VMs, else on idle standbys, else by
// draining a replica of a model with little load. `standbys_kept` stay with each replica.
void follow_demand(plan_draft& draft, const std::vector<std::uint32_t>& desired,
                   std::size_t standbys_kept);

}  // namespace arbutus
