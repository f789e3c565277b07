// Merges standby activations that nodes made without the table into the assignment row.
#pragma once

#include <vector>

#include "version/assignment.h"

namespace arbutus {

struct activation_merge {
  std::vector<replica_plan> replicas;
  std::vector<withdrawal> withdrawals;
  // Replicas with a composition in force that cannot be derived from the row and whose generation
  // is above the row's. Their targets refuse the row's fencing token, so they need a new one.
  std::vector<replica_id> superseded;
  bool changed = false;
};

// Returns the row's replicas with the compositions in force: members are replaced and used standbys
// removed. The generation of the composition is kept, so that a replica that has served since its
// activation is not interrupted. Replaced members are withdrawn as of the version after the row's.
[[nodiscard]] activation_merge merge_activations(const assignment& current,
                                                 const std::vector<composition>& in_force);

}  // namespace arbutus
