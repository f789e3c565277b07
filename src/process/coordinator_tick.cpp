// The coordinator's periodic work: probes, heartbeats, reads from the platform, and summaries for
// other data centres.
#include <algorithm>
#include <utility>

#include "process/coordinator_parts.h"

namespace arbutus {

void coordinator::parts::tick(time_point now) {
  last_tick = now;
  if (peers->tick(now) > duration::zero()) {
    observations.on_resumed(now);
    note_routes_changed();
  }
  const auto live = peers->live_nodes(now);
  apply_config_effects(now, config_sync.tick(live, now));
  emit(row_writer.tick(now, live));
  apply_row_change(now);
  probe_targets(now);
  apply_condition_changes(now);
  update_demand(now);
  decide(now);
  read_vm_list(now);
  push_row(now);
  send_heartbeats(now);
  send_summaries(now);
}

void coordinator::parts::probe_targets(time_point now) {
  observations.set_own_targets(peers->own_targets(now), now);
  for (const vm_id& vm : observations.next_probes(now)) {
    emit(probe{vm});
  }
}

void coordinator::parts::send_heartbeats(time_point now) {
  for (const node_id& peer : peers->due_peers(now)) {
    heartbeat message = peers->prepare_heartbeat(peer, now);
    peers->announce_config(message, peer, config_sync.in_force().version,
                           config_sync.in_force().hash);
    message.assignment_version = row_writer.row().version;
    message.table_reachable = !row_writer.unwritable(now);
    message.draining = node_leaving;
    for (const auto& [id, fencing_generation] : activations.active_generations()) {
      if (const replica_plan* replica = row_writer.row().find(id)) {
        message.activations.push_back(activations.composition_in_force(*replica));
      }
    }
    for (const auto& [workspace, rate] : own_usage) {
      message.usage.push_back({workspace, rate});
    }
    for (const auto& [id, counts] : requests_in_flight) {
      const replica_plan* replica = row_writer.row().find(id);
      if (replica != nullptr && replica->phase == replica_phase::draining) {
        message.draining_replicas_in_use.push_back(id);
      }
    }
    observations.append_deltas(message, peer, peers->echoed(peer), now);
    emit(peer_send{peer, encode(gossip_message{message}), false});
  }
}

// Sends the assignment row to peers that cannot read the table. Without this, a node that starts
// while the table is unavailable has no row and can neither route nor repair.
void coordinator::parts::push_row(time_point now) {
  if (!row_writer.row_known()) {
    return;
  }
  for (const node_id& peer : peers->live_peers(now)) {
    const peer_status* last_status = peers->last_status(peer);
    const bool outdated =
        last_status != nullptr && last_status->assignment_version < row_writer.row().version;
    if (!outdated || last_status->table_reachable) {
      continue;
    }
    const bool responsible = peers->rank_of(settings.self, "push/" + peer.str(), now) <= 1;
    const auto [last, first] = row_pushed_at.try_emplace(peer, now);
    if (!responsible || (!first && now < last->second + row_push_interval)) {
      continue;
    }
    last->second = now;
    const assignment_push push{encode(row_writer.row())};
    emit(peer_send{peer, encode(gossip_message{push}), true});
  }
}

void coordinator::parts::read_vm_list(time_point now) {
  if (now < next_vm_list_read) {
    return;
  }
  next_vm_list_read = now + vm_list_interval + random.jitter(vm_list_interval / 10);
  if (peers->rank_of(settings.self, "vm-list", now) < vm_list_readers) {
    emit(vm_list_read{});
  }
}

void coordinator::parts::send_summaries(time_point now) {
  if (!config) {
    return;
  }
  const auto to = peer_summaries.due_recipients(now, config->assets);
  if (to.empty()) {
    return;
  }
  summary s;
  s.data_centre = settings.data_centre;
  s.config_version = config_sync.in_force().version;
  s.config_hash = config_sync.in_force().hash;
  s.models = model_summaries(now);
  const std::string bytes = encode(gossip_message{s});
  for (const node_id& node : to) {
    emit(peer_send{node, bytes, false});
  }
}

// Updates the demand of each model, measured in fully occupied replicas and smoothed so that a
// short burst does not change the assignment.
void coordinator::parts::update_demand(time_point now) {
  if (now < next_demand_update || !config) {
    return;
  }
  next_demand_update = now + demand_update_interval;
  std::map<model_id, double> busy;
  for (const replica_route& r : routes(now).replicas) {
    const double slots = std::max(1.0, static_cast<double>(r.slots));
    busy[r.model] += static_cast<double>(r.running + r.queued) / slots;
  }
  for (const model_rule& model : config->desired.models) {
    double& smoothed = demand_by_model[model.id];
    smoothed += demand_smoothing * (busy[model.id] - smoothed);
  }
}

}  // namespace arbutus
