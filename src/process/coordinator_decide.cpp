// The coordinator's decisions: which standbys to activate, which orders to send and which row to
// propose.
#include <algorithm>
#include <utility>

#include "process/coordinator_parts.h"

namespace arbutus {

void coordinator::parts::decide(time_point now) {
  if (now < started_at + start_settle_time || !config) {
    return;
  }
  if (row_writer.row_known()) {
    activate_standbys(now);
    send_orders(now);
  }
  plan_next(now);
}

// ---- repair while the table service is unavailable ----

// Finds generations from older assignment rows that members of this replica still obey and that are
// greater than the replica's generation in force. Returns the union of their lost masks; empty if
// there are none.
std::optional<lost_vm_mask> coordinator::parts::superseding_mask(
    const replica_plan& replica) const {
  const composition in_force = activations.composition_in_force(replica);
  std::optional<lost_vm_mask> found;
  for (const vm_id& vm : in_force.members) {
    const observation* newest = observations.latest(vm);
    if (newest == nullptr || newest->report.replica != replica.id) {
      continue;
    }
    const generation& fencing_generation = newest->report.fencing_generation;
    const bool from_older_row = fencing_generation.row < row_writer.row().version;
    if (from_older_row && fencing_generation > in_force.fencing_generation) {
      found = found.value_or(0) | fencing_generation.lost;
    }
  }
  return found;
}

void coordinator::parts::activate_standbys(time_point now) {
  const bool table_unavailable = row_writer.unwritable(now) && !row_writer.newer_version_known();
  const activation_context context{
      .row = row_writer.row(),
      .live_nodes = peers->live_nodes(now),
      .is_lost =
          [&](const vm_id& vm) {
            return observations.condition(vm, now) == target_condition::lost;
          },
      .superseding_mask = [&](const replica_plan& r) { return superseding_mask(r); },
      .activation_allowed =
          table_unavailable && peers->may_act_without_table(row_writer.row().version, now),
  };
  for (const replica_id& id : activations.tick(now, context)) {
    emit(notice{"repair", "replica " + id.str() + " brought back by standbys, table unavailable"});
    peers->expedite_heartbeats(now);
    note_routes_changed();
  }
}

// ---- orders ----

std::map<vm_id, desired_state> coordinator::parts::desired_vm_states() const {
  std::map<vm_id, engine_report> reports;
  if (!config) {
    return {};
  }
  for (const vm_record* vm : config->assets.vms_of(settings.data_centre)) {
    if (const observation* newest = observations.latest(vm->id)) {
      reports.emplace(vm->id, newest->report);
    }
  }
  const auto in_force = [&](const replica_plan& r) { return activations.composition_in_force(r); };
  return desired_states(row_writer.row(), in_force, reports);
}

// Whether the table or a majority of the nodes recently confirmed that this node's assignment row
// is the newest.
bool coordinator::parts::row_confirmed(time_point now) const {
  const auto at = row_writer.confirmed_at();
  const bool by_table = at && now - *at <= row_confirmation_max_age;
  return by_table || peers->may_act_without_table(row_writer.row().version, now);
}

bool coordinator::parts::order_allowed(time_point now, const vm_id& vm) const {
  // An order may lag behind the newest row by the age of the row's last confirmation. A target that
  // has received a newer order refuses the outdated one by its fencing token. A target that has
  // restarted since obeys the outdated order until the newer one arrives; until then no replica
  // that needs the target serves.
  const bool current =
      row_writer.row_known() && !row_writer.newer_version_known() && row_confirmed(now);
  const observation* newest = observations.latest(vm);
  const bool observed = newest != nullptr && now - newest->at <= order_max_observation_age;
  return current && observed;
}

// This node's rank among the nodes that may send an order to the VM; higher ranks wait longer. The
// nodes that probe the VM come first: they gossip the observations of it, and the VM's answer to an
// order is an observation.
std::size_t coordinator::parts::order_rank(time_point now, const vm_id& vm) {
  const auto probers = peers->probers_of(vm, now);
  const auto own = std::find(probers.begin(), probers.end(), settings.self);
  if (own != probers.end()) {
    return static_cast<std::size_t>(own - probers.begin());
  }
  return probers.size() + peers->rank_of(settings.self, "order/" + vm.str(), now);
}

void coordinator::parts::send_orders(time_point now) {
  const auto states = desired_vm_states();
  const order_context context{
      .desired = states,
      .rank = [&](const vm_id& vm) { return order_rank(now, vm); },
      .reachable = [&](const vm_id& vm) -> const observation* {
        const target_condition c = observations.condition(vm, now);
        const bool finishes =
            c == target_condition::leaving && states.at(vm).kind != order_kind::form;
        const bool usable = c == target_condition::working || finishes;
        return usable && order_allowed(now, vm) ? observations.latest(vm) : nullptr;
      },
  };
  for (order& o : dispatcher.tick(now, context)) {
    emit(std::move(o));
  }
}

// ---- planning ----

// Whether this node may plan a new assignment from its own view of the targets. A node that reaches
// few peers is more likely cut off than the last one alive: replicas that it does not reach may
// serve, and the table would accept a plan that dissolves them. Such a node waits, and plans only
// if it reaches at least half of the targets.
bool coordinator::parts::may_plan(time_point now) {
  if (peers->may_act_without_table(row_writer.row().version, now)) {
    minority_since.reset();
    return true;
  }
  minority_since = minority_since.value_or(now);
  if (now - *minority_since < minority_timeout) {
    return false;
  }
  const auto vms = config->assets.vms_of(settings.data_centre);
  const auto reached = std::count_if(vms.begin(), vms.end(), [&](const vm_record* vm) {
    const target_condition c = observations.condition(vm->id, now);
    return c == target_condition::working || c == target_condition::leaving;
  });
  return 2 * static_cast<std::size_t>(reached) >= vms.size();
}

// Whether this node's configuration may be used to plan. Planning with an older configuration than
// the row was made for would revert an accepted configuration. Only after a timeout, when the newer
// configuration appears to be lost for good, repair takes precedence.
bool coordinator::parts::config_usable_for_row(time_point now) {
  if (config->version >= row_writer.row().config_version) {
    outdated_config_since.reset();
    return true;
  }
  outdated_config_since = outdated_config_since.value_or(now);
  return now - *outdated_config_since >= outdated_config_timeout;
}

std::set<replica_id> coordinator::parts::superseded_replicas(time_point now) {
  std::set<replica_id> result;
  for (const replica_plan& replica : row_writer.row().replicas) {
    if (!superseding_mask(replica)) {
      superseded_since.erase(replica.id);
      continue;
    }
    const auto since = superseded_since.try_emplace(replica.id, now).first->second;
    if (now - since >= superseded_generation_timeout) {
      result.insert(replica.id);
    }
  }
  return result;
}

drain_context coordinator::parts::make_drain_context(time_point now) const {
  return {
      .row = row_writer.row(),
      .min_acknowledged_version = peers->acknowledged_by_all(row_writer.row().version, now),
      .nodes = peers->required_acknowledgers(row_writer.row().version, now),
      .acknowledged_version_of =
          [this](const node_id& node) {
            const peer_status* last_status = peers->last_status(node);
            const std::uint64_t theirs =
                last_status != nullptr ? last_status->assignment_version : 0;
            return node == settings.self ? row_writer.row().version : theirs;
          },
      .node_has_requests =
          [this](const node_id& node, const replica_id& id) {
            if (node == settings.self) {
              return requests_in_flight.contains(id);
            }
            const auto theirs = draining_in_use_by.find(node);
            return theirs != draining_in_use_by.end() && theirs->second.contains(id);
          },
      .composition_in_force =
          [this](const replica_plan& r) { return activations.composition_in_force(r); },
      .latest_observation_of = [this](const vm_id& vm) { return observations.latest(vm); },
      .is_lost =
          [this, now](const vm_id& vm) {
            return observations.condition(vm, now) == target_condition::lost;
          },
  };
}

namespace {

vm_condition planner_condition(target_condition c) {
  switch (c) {
    case target_condition::working:
      return vm_condition::working;
    case target_condition::lost:
      return vm_condition::lost;
    case target_condition::leaving:
      return vm_condition::leaving;
    case target_condition::suspect:
    case target_condition::unknown:  // the target may still run, so it stays in its replica
      break;
  }
  return vm_condition::suspect;
}

}  // namespace

plan coordinator::parts::next_plan(time_point now) {
  // The configuration may be older than the row's; config_usable_for_row() has already decided that
  // it may be used.
  assignment current = row_writer.row();
  current.config_version = std::min(current.config_version, config->version);
  planner_input in;
  in.config = &*config;
  in.current = &current;
  in.data_centre = settings.data_centre;
  for (const vm_record* vm : config->assets.vms_of(settings.data_centre)) {
    in.health.push_back({vm->id, planner_condition(observations.condition(vm->id, now))});
  }
  for (const auto& [id, fencing_generation] : activations.active_generations()) {
    if (const replica_plan* replica = row_writer.row().find(id)) {
      in.in_force.push_back(activations.composition_in_force(*replica));
    }
  }
  const auto empty = drains.removable_replicas(now, make_drain_context(now));
  in.drained_replicas.assign(empty.begin(), empty.end());
  in.acknowledged = peers->acknowledged_by_all(row_writer.row().version, now);
  for (const auto& [model, busy] : demand_by_model) {
    in.demand.push_back({model, busy});
  }
  for (const replica_plan& replica : row_writer.row().replicas) {
    if (routing_permit(now, activations.composition_in_force(replica)).granted) {
      in.serving.push_back(replica.id);
    }
  }
  plan p = make_plan(in);
  for (const replica_id& id : superseded_replicas(now)) {
    for (replica_plan& replica : p.next.replicas) {
      if (replica.id == id && replica.fencing_generation.row <= row_writer.row().version) {
        p.next.version = row_writer.row().version + 1;
        replica.fencing_generation = generation{.row = p.next.version};
        p.changed = true;
      }
    }
  }
  return p;
}

void coordinator::parts::plan_next(time_point now) {
  if (now < early_plan_at && now < next_plan_at) {
    return;
  }
  early_plan_at = time_point::max();
  next_plan_at = now + max_plan_interval;
  if (!config_usable_for_row(now) || !row_writer.may_propose(now) || !may_plan(now)) {
    return;
  }
  plan p = next_plan(now);
  plan_reasons = p.reasons;
  if (!p.changed) {
    change_needed_since.reset();
    return;
  }
  const time_point since = change_needed_since.value_or(now);
  change_needed_since = since;
  const std::string subject =
      "propose/" + settings.data_centre.str() + "/" + std::to_string(row_writer.row().version);
  const auto rank = peers->rank_of(settings.self, subject, now);
  const time_point due = since + rank_wait(rank, row_proposal_rank_delay);
  if (now < due) {
    early_plan_at = due;  // by then a node of lower rank has usually written the new row
    return;
  }
  emit(row_writer.propose(now, std::move(p.next)));
}

}  // namespace arbutus
