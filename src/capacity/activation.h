// Repair while the table is unavailable: replaces lost members of a replica by the standbys that
// the assignment row reserves for this replica alone.
//
// No other replica may use a reserved standby, so the nodes need no agreement. Concurrent
// activations are ordered by generation (row version, step, lost mask): each node follows the
// greatest generation it has received. The composition (list of members) of a replica is a pure
// function of the row and of the lost mask, which marks its failed positions, so equal generations
// mean equal compositions. Within one row version a node adds the losses it detects to the mask it
// follows and never removes any.
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

// A node of rank r delays the activation of a standby by r times this. The delay is longer than an
// urgent message between nodes takes, so the node has learnt by then of an activation that a node
// of lower rank started.
inline constexpr duration activation_rank_delay = 300ms;

struct activation_context {
  const assignment& row;
  const std::vector<node_id>& live_nodes;     // live nodes of the data centre, this one included
  std::function<bool(const vm_id&)> is_lost;  // whether the VM is lost; false if it is only suspect
  // The lost mask of an activation from an older row that targets of this replica still obey and
  // whose generation is greater than the one in force. Unless the node starts a newer generation,
  // these targets refuse every order.
  std::function<std::optional<lost_vm_mask>(const replica_plan&)> superseding_mask;
  bool activation_allowed = false;  // the table cannot be written and this node is not isolated
};

class activation {
 public:
  explicit activation(node_id self) : self_(std::move(self)) {}

  // Call on every change of the assignment row: discards the activations of the older row version.
  void rebase(const assignment& row);

  // Follows a replica's generation reported by a peer or a target if the generation belongs to this
  // row version and is greater than the one in force. True if it was adopted.
  [[nodiscard]] bool adopt(const assignment& row, const replica_id& replica,
                           const generation& reported_generation);

  // Starts the activations of standbys that are due; returns the replicas whose members changed.
  [[nodiscard]] std::vector<replica_id> tick(time_point now, const activation_context& context);
  [[nodiscard]] time_point next_tick() const { return next_tick_; }

  // The members of the replica, with activated standbys in place of lost members; empty only if the
  // row changed without a call of rebase().
  [[nodiscard]] composition composition_in_force(const replica_plan& replica) const;
  // Generation of each replica with an activated standby, to be sent to peers.
  [[nodiscard]] const std::map<replica_id, generation>& active_generations() const {
    return active_generations_;
  }
  [[nodiscard]] std::uint64_t started_count() const { return started_count_; }

 private:
  node_id self_;
  std::uint64_t row_version_{};
  std::map<replica_id, generation>
      active_generations_;  // Invariant: fencing_generation.row == row_version_.
  std::map<replica_id, time_point> activation_needed_since_;
  time_point next_tick_ = time_point::max();
  std::uint64_t started_count_{};
};

// The smallest lost mask that contains `mask` and whose composition has no lost VM; empty if the
// replica has too few standbys.
[[nodiscard]] std::optional<lost_vm_mask> extend_mask(
    const replica_plan& replica, std::uint64_t row_version, lost_vm_mask mask,
    const std::function<bool(const vm_id&)>& is_lost);

}  // namespace arbutus
