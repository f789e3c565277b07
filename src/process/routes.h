// The routing snapshot that the coordination core publishes to the request path. It is immutable.
// Permission expires on its own: each route carries the time until which the newest observations
// permit it, and the request path compares that with the clock directly before it sends, so that
// a node that was paused or cut off stops routing without being notified.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "version/assignment.h"
#include "version/inventory.h"

namespace arbutus {

struct replica_route {
  replica_id id;
  model_id model;
  std::string model_version;
  generation fencing_generation;
  vm_id head;  // the member that receives requests
  std::uint64_t head_incarnation{};
  endpoint address;
  std::vector<vm_id> members;
  time_point valid_until;  // end of the permission; no request is sent at or after this
  bool crosses_fabric_domains = false;
  bool draining = false;  // gets no new requests
  // Load as last reported by the head; lags behind the actual load.
  std::uint32_t running{};
  std::uint32_t queued{};
  std::uint32_t slots{};
  double tokens_per_second{};
  double kv_used{};
  time_point load_reported_at;
  time_point serving_since;  // when the replica started to serve; a new one gets fewer requests
};

// Free capacity for one model in another data centre, from the summaries of its nodes.
struct remote_capacity {
  data_centre_id data_centre;
  model_id model;
  std::uint32_t free_slots{};
  duration queueing_delay{};
  time_point at;
  std::vector<endpoint> caller_endpoints;  // endpoints for callers at the nodes of that data centre
};

struct routing_snapshot {
  std::uint64_t assignment_version{};
  std::uint64_t config_version{};
  std::vector<replica_route> replicas;  // ordered by id
  std::vector<remote_capacity> remote_capacities;
};

}  // namespace arbutus
