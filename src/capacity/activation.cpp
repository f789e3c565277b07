// Decides which standbys replace lost members of a replica, and when a node starts this repair.
#include "capacity/activation.h"

#include <algorithm>
#include <string>

namespace arbutus {

namespace {

std::optional<std::size_t> position_of(const replica_plan& replica, const vm_id& vm) {
  const auto member = std::find(replica.members.begin(), replica.members.end(), vm);
  if (member != replica.members.end()) {
    return static_cast<std::size_t>(member - replica.members.begin());
  }
  const auto standby = std::find(replica.standbys.begin(), replica.standbys.end(), vm);
  if (standby == replica.standbys.end()) {
    return std::nullopt;
  }
  return replica.members.size() + static_cast<std::size_t>(standby - replica.standbys.begin());
}

bool any_lost(const std::vector<vm_id>& vms, const std::function<bool(const vm_id&)>& lost) {
  return std::any_of(vms.begin(), vms.end(), lost);
}

}  // namespace

std::optional<lost_vm_mask> extend_mask(const replica_plan& replica, std::uint64_t row_version,
                                        lost_vm_mask mask,
                                        const std::function<bool(const vm_id&)>& lost) {
  // Terminates because each iteration marks at least one more position of the replica as lost.
  while (true) {
    const auto candidate = activate(replica, row_version, mask);
    if (!candidate) {
      return std::nullopt;
    }
    const lost_vm_mask before = mask;
    for (const vm_id& vm : candidate->members) {
      const auto position = position_of(replica, vm);
      if (lost(vm) && position && *position < max_positions) {
        mask |= lost_vm_mask{1} << *position;
      }
    }
    if (mask == before) {
      return mask;
    }
  }
}

void activation::rebase(const assignment& row) {
  if (row.version == row_version_) {
    return;
  }
  row_version_ = row.version;
  active_generations_.clear();
  activation_needed_since_.clear();
}

bool activation::adopt(const assignment& row, const replica_id& replica,
                       const generation& reported_generation) {
  const replica_plan* plan = row.find(replica);
  const bool of_this_row = reported_generation.row == row.version && row.version == row_version_;
  if (plan == nullptr || !of_this_row ||
      reported_generation <= composition_in_force(*plan).fencing_generation) {
    return false;
  }
  const auto seen = activate(*plan, row.version, reported_generation.lost);
  if (!seen || seen->fencing_generation != reported_generation) {
    // The row and this lost mask yield no such generation, so no correct node sent it.
    return false;
  }
  active_generations_[replica] = reported_generation;
  return true;
}

composition activation::composition_in_force(const replica_plan& replica) const {
  const auto active = active_generations_.find(replica.id);
  if (active == active_generations_.end()) {
    return planned_composition(replica);
  }
  const auto activated = activate(replica, row_version_, active->second.lost);
  return activated ? *activated : planned_composition(replica);
}

std::vector<replica_id> activation::tick(time_point now, const activation_context& context) {
  std::vector<replica_id> changed;
  next_tick_ = time_point::max();
  for (const replica_plan& replica : context.row.replicas) {
    const composition current = composition_in_force(replica);
    const lost_vm_mask superseding = context.superseding_mask(replica).value_or(0);
    const bool needed = any_lost(current.members, context.is_lost) || superseding != 0;
    const bool serves = replica.phase == replica_phase::active;
    if (!needed || !serves || !context.activation_allowed) {
      activation_needed_since_.erase(replica.id);
      continue;
    }
    const time_point since = activation_needed_since_.try_emplace(replica.id, now).first->second;
    const auto rank = rank_of("activate/" + replica.id.str(), self_, context.live_nodes);
    const time_point due = since + rank_wait(rank, activation_rank_delay);
    if (now < due) {
      next_tick_ = std::min(next_tick_, due);
      continue;
    }
    const bool active = active_generations_.contains(replica.id);
    const lost_vm_mask mask = active ? current.fencing_generation.lost : lost_vm_mask{0};
    const auto desired =
        extend_mask(replica, context.row.version, mask | superseding, context.is_lost);
    if (!desired || (active && *desired == mask)) {
      continue;  // no standby left, or the mask is already in force
    }
    active_generations_[replica.id] =
        activate(replica, context.row.version, *desired)->fencing_generation;
    activation_needed_since_.erase(replica.id);
    ++started_count_;
    changed.push_back(replica.id);
  }
  return changed;
}

}  // namespace arbutus
