// Views of the coordinator's state: routes for the request path, summaries for other data centres
// and status for operators.
#include <algorithm>
#include <utility>

#include "process/coordinator_parts.h"

namespace arbutus {

namespace {

// Assumed time that a request holds a slot, to estimate the queueing time reported to other data
// centres.
constexpr duration nominal_service_time = 4s;

std::string name_of(target_condition c) {
  switch (c) {
    case target_condition::unknown:
      return "unknown";
    case target_condition::working:
      return "working";
    case target_condition::suspect:
      return "suspect";
    case target_condition::lost:
      return "lost";
    case target_condition::leaving:
      return "leaving";
  }
  return "unknown";
}

}  // namespace

const vm_record* coordinator::parts::find_vm_record(const vm_id& vm) const {
  return config ? config->assets.find_vm(vm) : nullptr;
}

bool coordinator::parts::checks_fencing_tokens(const vm_id& vm) const {
  const vm_record* record = find_vm_record(vm);
  return record != nullptr && record->checks_fencing_tokens;
}

member_observation coordinator::parts::observe_member(time_point now, const vm_id& vm) const {
  return {observations.latest(vm), observations.condition(vm, now), checks_fencing_tokens(vm)};
}

permit coordinator::parts::routing_permit(time_point now, const composition& in_force) const {
  return permission_for(now, in_force, readiness,
                        [&](const vm_id& vm) { return observe_member(now, vm); });
}

routing_snapshot coordinator::parts::routes(time_point now) const {
  routing_snapshot result;
  result.assignment_version = row_writer.row().version;
  result.config_version = config ? config->version : 0;
  for (const replica_plan& replica : row_writer.row().replicas) {
    const composition in_force = activations.composition_in_force(replica);
    const permit p = routing_permit(now, in_force);
    const vm_record* head = p.granted ? find_vm_record(in_force.members.front()) : nullptr;
    if (head == nullptr) {
      continue;
    }
    const observation& load = *observations.latest(head->id);
    replica_route route;
    route.id = replica.id;
    route.model = replica.model;
    route.model_version = replica.model_version;
    route.fencing_generation = in_force.fencing_generation;
    route.head = head->id;
    route.head_incarnation = load.report.incarnation;
    route.address = head->address;
    route.members = in_force.members;
    route.valid_until = p.valid_until;
    route.crosses_fabric_domains = replica.crosses_fabric_domains;
    route.draining = replica.phase == replica_phase::draining;
    route.running = load.report.running;
    route.queued = load.report.queued;
    route.slots = load.report.slots;
    route.tokens_per_second = load.report.tokens_per_second;
    route.kv_used = load.report.kv_used;
    route.load_reported_at = load.at;
    route.serving_since = p.serving_since;
    result.replicas.push_back(std::move(route));
  }
  std::sort(result.replicas.begin(), result.replicas.end(),
            [](const replica_route& a, const replica_route& b) { return a.id < b.id; });
  if (config) {
    result.remote_capacities = peer_summaries.remote_capacities(now, config->assets);
  }
  return result;
}

std::vector<model_summary> coordinator::parts::model_summaries(time_point now) const {
  struct sum {
    std::uint32_t free{};
    std::uint32_t slots{};
    std::uint32_t queued{};
  };
  std::map<model_id, sum> sums;
  for (const replica_route& r : routes(now).replicas) {
    if (r.draining) {
      continue;
    }
    sum& s = sums[r.model];
    const std::uint32_t busy = r.running + r.queued;
    s.free += r.slots > busy ? r.slots - busy : 0;
    s.slots += r.slots;
    s.queued += r.queued;
  }
  std::vector<model_summary> result;
  for (const auto& [model, s] : sums) {
    const double turns = s.slots == 0 ? 0.0 : static_cast<double>(s.queued) / s.slots;
    const double wait = s.free > 0 ? 0.0 : turns * to_milliseconds(nominal_service_time);
    result.push_back({model, s.free, std::chrono::milliseconds{static_cast<std::int64_t>(wait)}});
  }
  return result;
}

namespace {

coordination_counters counters_of(const row_counters& rows, const order_counters& orders) {
  coordination_counters c;
  c.row_reads = rows.reads;
  c.writes_won = rows.writes_won;
  c.writes_lost = rows.writes_lost;
  c.writes_unknown = rows.unknown_write_replies;
  c.restored_copies = rows.restored_copies;
  c.orders_sent = orders.sent;
  c.orders_refused = orders.refused;
  c.orders_unknown = orders.unknown_replies;
  return c;
}

}  // namespace

namespace {

// Standbys of a replica that do not already replace a lost member. The others are left out, because
// an operator would otherwise count them twice.
std::vector<vm_id> unused_standbys(const replica_plan& replica, const composition& in_force) {
  std::vector<vm_id> unused = replica.standbys;
  std::erase_if(unused, [&](const vm_id& vm) {
    return std::find(in_force.members.begin(), in_force.members.end(), vm) !=
           in_force.members.end();
  });
  return unused;
}

}  // namespace

status_view coordinator::parts::status(time_point now) const {
  status_view s;
  s.self = settings.self;
  s.table_reachable = !row_writer.unwritable(now);
  s.table_reachability_since = table_reachability_since;
  s.assignment_version = row_writer.row().version;
  s.config_version = config ? config->version : 0;
  s.unmet_requirements = plan_reasons;
  s.counters = counters_of(row_writer.counters(), dispatcher.counters());
  s.counters.activations = activations.started_count();
  s.counters.orders_withheld = withheld_orders;

  std::map<vm_id, std::string> idle_because;
  for (const replica_plan& replica : row_writer.row().replicas) {
    const composition in_force = activations.composition_in_force(replica);
    const permit p = routing_permit(now, in_force);
    s.replicas.push_back({replica.id, replica.model, replica.phase, in_force.fencing_generation,
                          in_force.members, unused_standbys(replica, in_force), p.granted,
                          p.why_not});
    for (const vm_id& vm : replica.standbys) {
      idle_because[vm] = "reserved for " + replica.id.str();
    }
    for (const vm_id& vm : replica.members) {
      idle_because[vm] = "replaced in " + replica.id.str();
    }
    for (const vm_id& vm : in_force.members) {
      idle_because[vm] = p.granted ? "" : replica.id.str() + " does not serve: " + p.why_not;
    }
  }
  for (const withdrawal& w : row_writer.row().withdrawals) {
    idle_because[w.vm] = "withdrawn from " + w.from.str() + ", waits for acknowledgement";
  }
  if (!config) {
    return s;
  }
  for (const vm_record* vm : config->assets.vms_of(settings.data_centre)) {
    const target_condition c = observations.condition(vm->id, now);
    const auto since = vm_condition_since.find(vm->id);
    vm_status v{vm->id, name_of(c), since == vm_condition_since.end() ? started_at : since->second,
                {},     {},         engine_state::idle};
    if (const observation* newest = observations.latest(vm->id)) {
      v.reported_replica = newest->report.replica;
      v.reported_gen = newest->report.fencing_generation;
      v.reported_state = newest->report.state;
    }
    s.vms.push_back(std::move(v));
    const auto reason = idle_because.find(vm->id);
    const bool powered = c != target_condition::lost;
    if (powered && reason == idle_because.end()) {
      s.stranded.push_back({vm->id, "in no replica"});
    } else if (powered && !reason->second.empty()) {
      s.stranded.push_back({vm->id, reason->second});
    }
  }
  if (!peers) {
    return s;
  }
  for (const node_record* node : config->assets.nodes_of(settings.data_centre)) {
    const bool self = node->id == settings.self;
    const peer_status* last_status = peers->last_status(node->id);
    node_status n;
    n.id = node->id;
    n.data_centre = node->data_centre;
    n.live = self || peers->state(node->id, now) == peer_state::alive;
    n.leaving = self ? node_leaving : last_status != nullptr && last_status->draining;
    n.assignment_version = self ? row_writer.row().version
                                : (last_status != nullptr ? last_status->assignment_version : 0);
    n.config_version =
        self ? s.config_version : (last_status != nullptr ? last_status->config_version : 0);
    const auto since = peer_config_since.find(node->id);
    n.config_since = since == peer_config_since.end() ? config_sync.in_force().in_force_since
                                                      : since->second.second;
    s.nodes.push_back(n);
  }
  s.drains = drains.status(make_drain_context(now));
  return s;
}

}  // namespace arbutus
