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
    changed();
  }
  const auto live = peers->live(now);
  apply_config_effects(now, configs.tick(live, now));
  emit(rows.tick(now, live));
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
  for (const node_id& peer : peers->due(now)) {
    heartbeat message = peers->prepare(peer, now);
    peers->announce_config(message, peer, configs.in_force().version, configs.in_force().hash);
    message.assignment_version = rows.row().version;
    message.table_reachable = !rows.unwritable(now);
    message.draining = leaving;
    for (const auto& [id, gen] : activations.active()) {
      if (const replica_plan* replica = rows.row().find(id)) {
        message.activations.push_back(activations.in_force(*replica));
      }
    }
    for (const auto& [workspace, rate] : usage) {
      message.usage.push_back({workspace, rate});
    }
    for (const auto& [id, counts] : in_flight) {
      const replica_plan* replica = rows.row().find(id);
      if (replica != nullptr && replica->phase == replica_phase::draining) {
        message.in_use.push_back(id);
      }
    }
    observations.append_deltas(message, peer, peers->echoed(peer), now);
    emit(peer_send{peer, encode(gossip_message{message}), false});
  }
}

// Sends the assignment row to peers that cannot read the table. Without this, a node that starts
// while the table is unavailable has no row and can neither route nor repair.
void coordinator::parts::push_row(time_point now) {
  if (!rows.known()) {
    return;
  }
  for (const node_id& peer : peers->live_peers(now)) {
    const peer_status* last_status = peers->last_status(peer);
    const bool outdated =
        last_status != nullptr && last_status->assignment_version < rows.row().version;
    if (!outdated || last_status->table_reachable) {
      continue;
    }
    const bool responsible = peers->rank_of(settings.self, "push/" + peer.str(), now) <= 1;
    const auto [last, first] = pushed_at.try_emplace(peer, now);
    if (!responsible || (!first && now < last->second + push_interval)) {
      continue;
    }
    last->second = now;
    const assignment_push push{encode(rows.row())};
    emit(peer_send{peer, encode(gossip_message{push}), true});
  }
}

void coordinator::parts::read_vm_list(time_point now) {
  if (now < next_vm_list) {
    return;
  }
  next_vm_list = now + vm_list_interval + random.jitter(vm_list_interval / 10);
  if (peers->rank_of(settings.self, "vm-list", now) < vm_list_readers) {
    emit(vm_list_read{});
  }
}

void coordinator::parts::send_summaries(time_point now) {
  if (!config) {
    return;
  }
  const auto to = board.due(now, config->assets);
  if (to.empty()) {
    return;
  }
  summary s;
  s.data_centre = settings.data_centre;
  s.config_version = configs.in_force().version;
  s.config_hash = configs.in_force().hash;
  s.models = model_summaries(now);
  const std::string bytes = encode(gossip_message{s});
  for (const node_id& node : to) {
    emit(peer_send{node, bytes, false});
  }
}

// Updates the demand of each model, measured in fully occupied replicas and smoothed so that a
// short burst does not change the assignment.
void coordinator::parts::update_demand(time_point now) {
  if (now < next_demand || !config) {
    return;
  }
  next_demand = now + demand_interval;
  std::map<model_id, double> busy;
  for (const replica_route& r : routes(now).replicas) {
    const double slots = std::max(1.0, static_cast<double>(r.slots));
    busy[r.model] += static_cast<double>(r.running + r.queued) / slots;
  }
  for (const model_rule& model : config->desired.models) {
    double& smoothed = demand[model.id];
    smoothed += demand_smoothing * (busy[model.id] - smoothed);
  }
}

}  // namespace arbutus
