// Repair without the table: brings a replica back with the standbys that its row reserves for it
// alone.
//
// No other replica may use a reserved standby, so no agreement is needed. What nodes do at the
// same time is ordered by the generation (row version, step, lost): each node follows the greatest
// it has seen, and since the composition is a pure function of row and mask, equal generations
// mean equal compositions. A node adds its own losses to what it follows, never takes any away
// within one row version.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "process/rank.h"
#include "version/assignment.h"

namespace arbutus {

// A node of rank r starts an activation r times this later; by then it has heard of one that a
// node before it started. More than an urgent message takes.
inline constexpr duration activation_rank_delay = 300ms;

struct activation_context {
  const assignment& row;
  const std::vector<node_id>& live;        // nodes of the data centre, this one included
  std::function<bool(const vm_id&)> lost;  // lost, not merely suspect
  // The mask of an activation from an older row that targets of this replica still obey, although
  // it is greater than the generation in force: without a newer one they refuse every order.
  std::function<std::optional<lost_mask>(const replica_plan&)> overtaken_by;
  bool allowed = false;  // the table cannot be written and this node is not alone
};

class activation {
 public:
  explicit activation(node_id self) : self_(std::move(self)) {}

  // To be called on every change of the row: what was activated from an older row is void.
  void rebase(const assignment& row);

  // Follows a generation seen at a peer or a target if it belongs to this row and is greater than
  // the one in force. True if it was taken.
  [[nodiscard]] bool adopt(const assignment& row, const replica_id& replica, const generation& gen);

  // Starts what is needed and due; returns the replicas whose composition changed.
  [[nodiscard]] std::vector<replica_id> tick(time_point now, const activation_context& context);
  [[nodiscard]] time_point next_tick() const { return next_tick_; }

  // The composition in force; empty only if the row changed without rebase.
  [[nodiscard]] composition in_force(const replica_plan& replica) const;
  // Activations in force, to be told to peers.
  [[nodiscard]] const std::map<replica_id, generation>& active() const { return active_; }
  [[nodiscard]] std::uint64_t started() const { return started_; }

 private:
  node_id self_;
  std::uint64_t row_version_{};
  std::map<replica_id, generation> active_;  // Invariant: gen.row == row_version_.
  std::map<replica_id, time_point> needed_since_;
  time_point next_tick_ = time_point::max();
  std::uint64_t started_{};
};

// The smallest mask that contains `mask` and whose composition has no lost VM; empty if the
// standbys do not suffice.
[[nodiscard]] std::optional<lost_mask> extend_mask(const replica_plan& replica,
                                                   std::uint64_t row_version, lost_mask mask,
                                                   const std::function<bool(const vm_id&)>& lost);

}  // namespace arbutus
