// Planned stops of replicas: a draining replica gets no new requests, finishes the running ones
// and is only then removed from the row.
//
// No request may be cut off, and one may be in transit from a node that has not yet received the
// assignment row that drains the replica. So a replica counts as empty only when every node that
// may still act has acknowledged this row and has no request at the replica, and every member has
// afterwards reported that it is draining (so it refuses late arrivals) and runs no request.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "process/report.h"
#include "process/status_view.h"
#include "version/assignment.h"

namespace arbutus {

struct drain_context {
  const assignment& row;
  std::uint64_t min_acknowledged_version{};  // row version that all of `nodes` have acknowledged
  std::vector<node_id> nodes;  // nodes whose right to act has not expired, this one included
  std::function<std::uint64_t(const node_id&)>
      acknowledged_version_of;  // newest row version that the node has acknowledged
  // Whether the node has requests at the replica, as the node last reported.
  std::function<bool(const node_id&, const replica_id&)> node_has_requests;
  std::function<composition(const replica_plan&)> composition_in_force;
  std::function<const observation*(const vm_id&)> latest_observation_of;  // of the VM; null: none
  std::function<bool(const vm_id&)> is_lost;  // whether the VM is lost and so runs no request
};

class drain_tracker {
 public:
  // Call on every change of the assignment row: follows which replicas are draining.
  void rebase(const assignment& row);
  // Drained replicas (without any request) that may be removed from the assignment row.
  [[nodiscard]] std::set<replica_id> removable_replicas(time_point now,
                                                        const drain_context& context);
  [[nodiscard]] std::vector<drain_status> status(const drain_context& context) const;

 private:
  struct drain {
    std::uint64_t
        draining_since_version{};  // the first row version known to have the replica draining
    // Since when all nodes have acknowledged the draining row and have no request at the replica.
    std::optional<time_point> acknowledged_at;
  };
  [[nodiscard]] std::vector<node_id> pending_nodes(const replica_id& id, const drain& d,
                                                   const drain_context& context) const;
  std::map<replica_id, drain> drains_;
};

}  // namespace arbutus
