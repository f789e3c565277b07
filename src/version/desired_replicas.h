// Number of replicas that each model should have in this data centre: the placements, adjusted to
// demand.
#pragma once

#include <cstdint>
#include <vector>

#include "version/plan_draft.h"

namespace arbutus {

// The desired number of replicas for each of `draft.models()`. Differs from the placements only
// where a replica was moved, or is about to be, from a model with little load to an overloaded one.
[[nodiscard]] std::vector<std::uint32_t> desired_replicas(const plan_draft& draft);

// Whether all replicas of the model serve, but are too few for its load.
[[nodiscard]] bool is_overloaded(const plan_draft& draft, const model_rule& rule);

// Removes or drains replicas beyond the desired number, and those of models without a rule.
void remove_surplus_replicas(plan_draft& draft, const std::vector<std::uint32_t>& desired);

// Creates one more replica for each overloaded model: on free VMs, else on idle standbys, else by
// draining a replica of a model with little load. Each replica keeps `standbys_kept` standbys.
void adjust_to_demand(plan_draft& draft, const std::vector<std::uint32_t>& desired,
                      std::size_t standbys_kept);

}  // namespace arbutus
