// Merges standby activations that nodes made while the table service was unavailable into the
// assignment row.
#pragma once

#include <vector>

#include "version/assignment.h"

namespace arbutus {

struct activation_merge {
  std::vector<replica_plan> replicas;
  std::vector<withdrawal> withdrawals;
  // Replicas whose composition in force cannot be derived from the row and has a higher generation
  // than the row gives them. Their targets refuse the row's fencing token, so that the replicas
  // need a new generation.
  std::vector<replica_id> superseded;
  bool changed = false;
};

// Returns the replicas of the row `current` with the compositions in force: lost members are
// replaced by the activated standbys, which are removed from the standbys. The generation of the
// composition is kept, so that a replica that has served since its activation is not interrupted.
// Replaced members are withdrawn as of the version after the row's.
[[nodiscard]] activation_merge merge_activations(const assignment& current,
                                                 const std::vector<composition>& in_force);

}  // namespace arbutus
