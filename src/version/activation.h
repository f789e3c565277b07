// Enters into the row what nodes activated without it.
#pragma once

#include <vector>

#include "version/assignment.h"

namespace arbutus {

struct bake_result {
  std::vector<replica_plan> replicas;
  std::vector<withdrawal> withdrawals;
  // Replicas whose targets were given a token above the row's by a composition that does not
  // follow from the row. Their targets would refuse the row's token: they need a new one.
  std::vector<replica_id> overtaken;
  bool changed = false;
};

// The row's replicas with the compositions in force: members replaced, used standbys consumed,
// generation kept, so that a replica that serves since its activation is not disturbed. Members
// that were replaced are withdrawn with the version after the row's.
[[nodiscard]] bake_result bake_activations(const assignment& current,
                                           const std::vector<composition>& in_force);

}  // namespace arbutus
