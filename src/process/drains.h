// Planned stops of replicas: a draining replica gets nothing new, finishes what it runs, and only
// then is taken out of the row.
//
// Nothing may be cut off: a request may be on its way from a node that has not yet heard of the
// drain. So a replica counts as emptied only when every node that may still act has acknowledged
// the row that drains it and has no request there, and every member has, later than that, reported
// itself draining (it refuses what still arrives) and empty.
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
  std::uint64_t acknowledged{};  // by every node that may still act, this one included
  std::vector<node_id> nodes;    // those nodes
  std::function<std::uint64_t(const node_id&)> version_of;              // acknowledged by this node
  std::function<bool(const node_id&, const replica_id&)> has_requests;  // as it last said
  std::function<composition(const replica_plan&)> in_force;
  std::function<const observation*(const vm_id&)> seen;  // newest; null: none
  std::function<bool(const vm_id&)> lost;                // runs nothing any more
};

class drain_watch {
 public:
  // To be called on every change of the row.
  void rebase(const assignment& row);
  // Replicas that may be taken out of the row.
  [[nodiscard]] std::set<replica_id> emptied(time_point now, const drain_context& context);
  [[nodiscard]] std::vector<drain_status> status(const drain_context& context) const;

 private:
  struct drain {
    std::uint64_t since{};                      // a row version that has the replica draining
    std::optional<time_point> acknowledged_at;  // all nodes had acknowledged and had no request
  };
  [[nodiscard]] std::vector<node_id> missing(const replica_id& id, const drain& d,
                                             const drain_context& context) const;
  std::map<replica_id, drain> drains_;
};

}  // namespace arbutus
