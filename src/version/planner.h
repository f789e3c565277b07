// The planner: from the row as it is, and what is seen of the VMs, the row as it should be next.
// Deterministic, so that any node of a data centre may plan and all that know the same propose
// the same; the conditional write of the row decides between those that know different things.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "version/assignment.h"
#include "version/configuration.h"
#include "version/vm_health.h"

namespace arbutus {

// Load seen for a model in this data centre, in replicas' worth, smoothed by the caller.
struct replica_demand {
  model_id model;
  double busy_replicas{};
};

struct planner_input {
  const configuration* config = nullptr;  // not null
  const assignment* current = nullptr;    // not null; the row as known
  data_centre_id data_centre;
  std::vector<vm_health> health;      // a VM that is not listed counts as lost
  std::vector<composition> in_force;  // activations seen, newest per replica
  std::vector<replica_id> emptied;    // draining replicas proved empty and acknowledged
  std::uint64_t acknowledged{};       // lowest row version that every live node acknowledged
  std::vector<replica_demand> demand;
  // Replicas seen whole and ready by every member's own report. A planned stop needs other
  // replicas of its model in this list, so that one that is still loading is not counted on.
  std::vector<replica_id> serving;
};

struct plan {
  assignment next;  // without a proposal id: the caller gives one to each attempt
  bool changed = false;
  std::vector<std::string> reasons;  // one line per action, for people
};

// When nothing is worth a write, `changed` is false and `next` holds what the row says already.
[[nodiscard]] plan make_plan(const planner_input& in);

}  // namespace arbutus
