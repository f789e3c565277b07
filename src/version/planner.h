// The planner computes the next row from the current row and the observed state of the VMs. It is
// deterministic: any node of a data centre may plan, and nodes with the same inputs propose the
// same row. Between nodes with different inputs the conditional write of the row decides.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "version/assignment.h"
#include "version/configuration.h"
#include "version/vm_health.h"

namespace arbutus {

// Load of a model in this data centre, in units of one replica's capacity, smoothed by the caller.
struct replica_demand {
  model_id model;
  double load_in_replicas{};
};

struct planner_input {
  const configuration* config = nullptr;  // must not be null
  const assignment* current = nullptr;    // the last known row; must not be null
  data_centre_id data_centre;
  std::vector<vm_health> health;             // VMs that are not listed count as lost
  std::vector<composition> in_force;         // known activations, the newest of each replica
  std::vector<replica_id> drained_replicas;  // draining replicas that provably run no requests
  std::uint64_t acknowledged{};              // highest row version acknowledged by every live node
  std::vector<replica_demand> demand;
  // Replicas of which every member reports that it is ready. A planned stop requires other replicas
  // of the model in this list, so that one that is still loading does not count.
  std::vector<replica_id> serving;
};

struct plan {
  assignment next;  // has no proposal id: the caller sets one for each attempt to write the row
  bool changed = false;
  std::vector<std::string> reasons;  // one readable line per action
};

// Computes the next row. If no change justifies a write, `changed` is false and `next` equals the
// current row.
[[nodiscard]] plan make_plan(const planner_input& in);

}  // namespace arbutus
