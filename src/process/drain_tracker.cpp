// Detects when a draining replica has no more requests and may be removed.
#include "process/drain_tracker.h"

#include <algorithm>

namespace arbutus {

namespace {

bool empty_since(const observation* seen, const replica_id& id, time_point since) {
  if (seen == nullptr || seen->at < since) {
    return false;
  }
  const engine_report& r = seen->report;
  const bool refuses_new = r.replica != id || r.state != engine_state::ready;
  return refuses_new && r.running == 0 && r.queued == 0;
}

}  // namespace

void drain_tracker::rebase(const assignment& row) {
  std::erase_if(drains_, [&](const auto& entry) {
    const replica_plan* replica = row.find(entry.first);
    return replica == nullptr || replica->phase != replica_phase::draining;
  });
  for (const replica_plan& replica : row.replicas) {
    if (replica.phase == replica_phase::draining) {
      drains_.try_emplace(replica.id,
                          drain{.draining_since_version = row.version, .acknowledged_at = {}});
    }
  }
}

std::vector<node_id> drain_tracker::pending_nodes(const replica_id& id, const drain& d,
                                                  const drain_context& context) const {
  std::vector<node_id> found;
  for (const node_id& node : context.nodes) {
    if (context.acknowledged_version_of(node) < d.draining_since_version ||
        context.node_has_requests(node, id)) {
      found.push_back(node);
    }
  }
  return found;
}

std::set<replica_id> drain_tracker::removable_replicas(time_point now,
                                                       const drain_context& context) {
  std::set<replica_id> result;
  for (auto& [id, d] : drains_) {
    const replica_plan* replica = context.row.find(id);
    if (replica == nullptr) {
      continue;
    }
    if (context.min_acknowledged_version < d.draining_since_version ||
        !pending_nodes(id, d, context).empty()) {
      d.acknowledged_at.reset();
      continue;
    }
    const time_point since = d.acknowledged_at.value_or(now);
    d.acknowledged_at = since;
    const auto members = context.composition_in_force(*replica).members;
    const auto is_empty = [&context, since, name = replica->id](const vm_id& vm) {
      return context.is_lost(vm) || empty_since(context.latest_observation_of(vm), name, since);
    };
    const bool empty = std::all_of(members.begin(), members.end(), is_empty);
    if (empty) {
      result.insert(id);
    }
  }
  return result;
}

std::vector<drain_status> drain_tracker::status(const drain_context& context) const {
  std::vector<drain_status> result;
  for (const auto& [id, d] : drains_) {
    const replica_plan* replica = context.row.find(id);
    if (replica == nullptr) {
      continue;
    }
    drain_status s{.id = id, .waiting_for = pending_nodes(id, d, context), .running = 0};
    for (const vm_id& vm : context.composition_in_force(*replica).members) {
      const observation* seen = context.latest_observation_of(vm);
      s.running += seen != nullptr ? seen->report.running + seen->report.queued : 0;
    }
    result.push_back(std::move(s));
  }
  return result;
}

}  // namespace arbutus
