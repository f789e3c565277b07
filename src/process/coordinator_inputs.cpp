// Handles the coordinator's inputs: each input updates the state. Decisions follow in decide().
#include <algorithm>
#include <utility>

#include "process/coordinator_parts.h"

namespace arbutus {

// ---- results from the platform's services ----

void coordinator::parts::on(time_point now, const table_read_result& r) {
  if (r.request.key == config_head_key) {
    const auto head = match(
        r.result,
        [](const table_row& row) -> outcome<head_row> {
          if (row.version == 0) {
            return head_row{};
          }
          const auto decoded = decode_head(row.value);
          if (const auto* h = std::get_if<config_head>(&decoded)) {
            return head_row{*h, row.version};
          }
          return refused{"the head row cannot be decoded"};
        },
        [](const refused& f) -> outcome<head_row> { return f; },
        [](const unknown& u) -> outcome<head_row> { return u; });
    apply_config_effects(now, config_sync.head_read(head, now));
    return;
  }
  emit(row_writer.on(now, r));
  if (std::holds_alternative<table_row>(r.result) && !row_writer.newer_version_known()) {
    peers->on_row_read();
  }
  apply_row_change(now);
}

void coordinator::parts::on(time_point now, const table_write_result& r) {
  if (r.request.key == config_head_key) {
    const auto version = match(
        r.result, [](const table_written& w) -> outcome<std::uint64_t> { return w.version; },
        [](const refused& f) -> outcome<std::uint64_t> { return f; },
        [](const unknown& u) -> outcome<std::uint64_t> { return u; });
    apply_config_effects(now, config_sync.head_written(version, now));
    return;
  }
  emit(row_writer.on(now, r));
  if (row_writer.row().version != applied_row_version) {
    peers->expedite_heartbeats(now);  // peers read the row when a heartbeat reports the new version
  }
  apply_row_change(now);
}

void coordinator::parts::on(time_point now, const object_get_result& r) {
  apply_config_effects(now, config_sync.object_read(r.request.name, r.result, now));
}

void coordinator::parts::on(time_point now, const object_put_result& r) {
  apply_config_effects(now, config_sync.object_stored(r.result, now));
}

void coordinator::parts::on(time_point now, const vm_list_result& r) {
  const auto* list = std::get_if<std::vector<vm_list_entry>>(&r.result);
  if (list == nullptr) {
    return;
  }
  for (const vm_list_entry& e : *list) {
    if (e.leaving) {
      vms_listed_as_leaving.insert(e.vm);
      note_leaving(now, e.vm, 0);
    } else if (vms_listed_as_leaving.erase(e.vm) > 0) {
      // Clears the leaving mark of a VM only if an earlier VM list set it: the list lags behind a
      // target that reports itself as leaving.
      observations.clear_leaving(e.vm);
    }
  }
}

// ---- results from targets ----

void coordinator::parts::on(time_point now, const probe_result& r) {
  const auto* report = std::get_if<engine_report>(&r.result);
  if (report != nullptr && report->leaving) {
    note_leaving(now, r.vm, report->incarnation);
  }
  const bool notify_peers = observations.on_probe_result(r, now);
  if (report != nullptr) {
    note_observation(now, r.vm);
  }
  if (notify_peers) {
    announce_failure(now, r.vm);
  }
}

void coordinator::parts::on(time_point now, const order_result& r) {
  const auto sent_at = dispatcher.on_result(now, r);
  const auto* report = std::get_if<engine_report>(&r.result);
  if (!sent_at || report == nullptr) {
    return;
  }
  // A target's answer to an order counts as an observation like a probe's report, and other nodes
  // wait for it.
  observations.on_probe_result({r.request.vm, *sent_at, *report}, now);
  note_observation(now, r.request.vm);
  peers->expedite_heartbeats(now);
}

void coordinator::parts::on(time_point now, const target_connection_error& e) {
  if (observations.on_connection_error(e.vm, now)) {
    announce_failure(now, e.vm);
  }
  note_routes_changed();
}

void coordinator::parts::announce_failure(time_point now, const vm_id& vm) {
  const auto failure = observations.failure_of(vm, now);
  if (!failure) {
    return;
  }
  for (const node_id& peer : peers->live_peers(now)) {
    const lost_notice notice{peers->stamp_for(peer, now), *failure};
    emit(peer_send{peer, encode(gossip_message{notice}), true});
  }
}

void coordinator::parts::note_leaving(time_point now, const vm_id& vm, std::uint64_t incarnation) {
  if (observations.mark_leaving(vm, incarnation)) {
    broadcast(now, leaving_notice{vm, incarnation});
    note_routes_changed();
  }
}

void coordinator::parts::note_observation(time_point now, const vm_id& vm) {
  const observation* newest = observations.latest(vm);
  if (newest == nullptr) {
    return;
  }
  const auto [noted, first] = processed_observation_at.try_emplace(vm, newest->at);
  if (!first && newest->at <= noted->second) {
    return;
  }
  noted->second = newest->at;
  const engine_report& r = newest->report;
  const auto ready_before = readiness.ready_since(vm);
  readiness.observe(*newest);
  if (ready_before != readiness.ready_since(vm)) {
    note_routes_changed();
    peers->expedite_heartbeats(now);
  }
  row_writer.note_target_version(now, r.fencing_generation.row);
  if (!r.replica.empty() && activations.adopt(row_writer.row(), r.replica, r.fencing_generation)) {
    note_routes_changed();
  }
}

void coordinator::parts::apply_condition_changes(time_point now) {
  for (const condition_change& c : observations.take_changes(now)) {
    vm_condition_since[c.vm] = now;
    note_routes_changed();
    early_plan_at = std::min(early_plan_at, now + plan_debounce);
    if (c.to == target_condition::lost) {
      row_writer.request_read(now);  // the kind of repair depends on whether the table is reachable
    }
  }
}

void coordinator::parts::apply_row_change(time_point now) {
  const bool readable = !row_writer.unreadable_since();
  if (readable != table_readable) {
    table_readable = readable;
    table_reachability_since = now;
  }
  if (row_writer.row().version == applied_row_version) {
    return;
  }
  applied_row_version = row_writer.row().version;
  activations.rebase(row_writer.row());
  drains.rebase(row_writer.row());
  change_needed_since.reset();
  early_plan_at = std::min(early_plan_at, now + plan_debounce);
  note_routes_changed();
}

// ---- messages from peers ----

void coordinator::parts::on(time_point now, const peer_message& m) {
  const auto decoded = decode_gossip(m.from, m.bytes);
  if (const auto* message = std::get_if<gossip_message>(&decoded)) {
    std::visit([&](const auto& content) { receive(now, m.from, content); }, *message);
    return;
  }
  emit(notice{"gossip", "a message of " + m.from.str() + " cannot be decoded"});
}

// Forgets what a restarted peer has acknowledged. The peer may have acknowledged (echoed) messages
// with short forms that it could not decode, because the short forms refer to messages sent to its
// previous process.
void coordinator::parts::handle_peer_restart(const node_id& from, const struct receive_result& h) {
  if (h.restarted) {
    observations.forget_peer(from);
  }
}

void coordinator::parts::receive(time_point now, const node_id& from, const heartbeat& m) {
  const auto h = peers->receive(m, row_writer.row().version, now);
  if (!h) {
    return;
  }
  handle_peer_restart(from, *h);
  observations.merge(m, *h, now);
  for (const vm_record* vm :
       config ? config->assets.vms_of(settings.data_centre) : std::vector<const vm_record*>{}) {
    note_observation(now, vm->id);
  }
  row_writer.note_peer_version(now, m.assignment_version);
  for (const composition& c : m.activations) {
    if (activations.adopt(row_writer.row(), c.replica, c.fencing_generation)) {
      note_routes_changed();
    }
  }
  if (!m.table_reachable && !row_writer.unreadable_since()) {
    // The peer cannot reach the table. Checks the table from this node before a repair depends on
    // it.
    row_writer.request_read(now);
  }
  draining_in_use_by[from] = {m.draining_replicas_in_use.begin(), m.draining_replicas_in_use.end()};
  peer_usage& u = usage_by_node[from];
  u = {{}, now};
  for (const workspace_usage& w : m.usage) {
    u.rate_by_workspace[w.workspace] = w.requests_per_second;
  }
  auto& [version, since] = peer_config_since[from];
  if (version != m.config_version) {
    version = m.config_version;
    since = now;
  }
  const std::string hash = peers->last_status(from)->config_hash;
  apply_config_effects(now, config_sync.peer_reported(from, m.config_version, hash, now));
}

void coordinator::parts::receive(time_point now, const node_id& from, const config_request& m) {
  apply_config_effects(now, config_sync.peer_requested(from, m));
}

void coordinator::parts::receive(time_point now, const node_id& from, const config_content& m) {
  apply_config_effects(now, config_sync.peer_sent(from, m, now));
}

void coordinator::parts::receive(time_point now, const node_id&, const assignment_push& m) {
  const auto decoded = decode_assignment(m.bytes);
  const auto* copy = std::get_if<assignment>(&decoded);
  if (copy != nullptr && row_writer.adopt(now, *copy)) {
    apply_row_change(now);
  }
}

void coordinator::parts::receive(time_point now, const node_id& from, const lost_notice& m) {
  if (const auto h = peers->receive(from, m.stamp, now)) {
    handle_peer_restart(from, *h);
    observations.merge(from, m, *h, now);
    note_routes_changed();
  }
}

void coordinator::parts::receive(time_point, const node_id&, const leaving_notice& m) {
  // The node that noticed that the VM is leaving has sent this notice to all peers, so it is not
  // forwarded.
  if (observations.mark_leaving(m.vm, m.incarnation)) {
    note_routes_changed();
  }
}

void coordinator::parts::receive(time_point now, const node_id& from, const summary& m) {
  peer_summaries.receive(now, m);
  apply_config_effects(now, config_sync.peer_reported(from, m.config_version, m.config_hash, now));
}

void coordinator::parts::broadcast(time_point now, const gossip_message& m) {
  const std::string bytes = encode(m);
  for (const node_id& peer : peers->live_peers(now)) {
    emit(peer_send{peer, bytes, true});
  }
}

// ---- configuration ----

void coordinator::parts::apply_config_effects(time_point now, const config_effects& requested) {
  for (const config_effect& requested_effect : requested) {
    match(
        requested_effect, [&](const fetch_config_head&) { emit(table_read{config_head_key}); },
        [&](const fetch_object& w) { emit(object_get{w.name}); },
        [&](const restore_object& w) {
          emit(object_put{w.name, w.content});
        },
        [&](const repair_head& w) {
          emit(table_write{config_head_key, encode(w.head), w.expected_row_version});
        },
        [&](const send_peer_message& w) {
          const auto bytes = std::visit(
              [](const auto& message) { return encode(gossip_message{message}); }, w.message);
          emit(peer_send{w.to, bytes, true});
        },
        [&](const operator_notice& w) {
          emit(notice{"config", w.text});
        },
        [&](const publish_configuration&) { adopt_configuration(now); });
  }
}

void coordinator::parts::adopt_configuration(time_point now) {
  const auto decoded = decode_content(config_sync.content(), config_sync.in_force().version);
  const auto* content = std::get_if<configuration>(&decoded);
  if (content == nullptr) {
    emit(notice{"config", "the accepted configuration cannot be decoded"});
    return;
  }
  config = *content;
  std::vector<node_id> nodes;
  for (const node_record* n : config->assets.nodes_of(settings.data_centre)) {
    nodes.push_back(n->id);
  }
  peers->set_nodes(nodes, now);
  std::vector<vm_id> vms;
  for (const vm_record* v : config->assets.vms_of(settings.data_centre)) {
    vms.push_back(v->id);
  }
  peers->set_targets(vms);
  observations.set_targets(vms);
  peers->expedite_heartbeats(now);
  early_plan_at = std::min(early_plan_at, now + plan_debounce);
  note_routes_changed();
}

}  // namespace arbutus
