// The coordinator's public interface: start(), tick() and on() return the effects that the parts of
// the coordinator emitted during the call.
#include "process/coordinator.h"

#include <algorithm>
#include <utility>

#include "process/coordinator_parts.h"

namespace arbutus {

namespace {

// Gives each part of the coordinator its own random seed, so that their jitters are independent.
std::uint64_t derive_seed(std::uint64_t seed, std::uint64_t part) {
  return rng{seed + part}();
}

// Lower bound for next_tick(), so that callers that sleep until then never busy-loop.
constexpr duration min_sleep = 1ms;

}  // namespace

coordinator::parts::parts(coordinator_settings s)
    : settings(std::move(s)),
      random(derive_seed(settings.seed, 1)),
      observations(settings.self, timing),
      config_sync(settings.self, derive_seed(settings.seed, 2), timing),
      row_writer(settings.self, settings.data_centre, derive_seed(settings.seed, 3)),
      activations(settings.self),
      dispatcher(derive_seed(settings.seed, 4)),
      peer_summaries(settings.self, settings.data_centre) {}

void coordinator::parts::emit(effects list) {
  std::move(list.begin(), list.end(), std::back_inserter(pending_effects));
}

coordinator::coordinator(coordinator_settings settings)
    : parts_(std::make_unique<parts>(std::move(settings))) {}
coordinator::coordinator(coordinator&&) noexcept = default;
coordinator& coordinator::operator=(coordinator&&) noexcept = default;
coordinator::~coordinator() = default;

effects coordinator::start(time_point now) {
  parts& p = *parts_;
  p.started_at = now;
  p.last_tick = now;
  p.table_reachability_since = now;
  p.peers.emplace(p.settings.self, p.settings.incarnation, derive_seed(p.settings.seed, 5), now,
                  p.timing);
  std::vector<node_id> nodes{p.settings.self};
  for (const node_record& n : p.settings.bootstrap_peers) {
    if (n.data_centre == p.settings.data_centre) {
      nodes.push_back(n.id);
    }
  }
  p.peers->set_nodes(nodes, now);
  return tick(now);
}

effects coordinator::tick(time_point now) {
  parts_->tick(now);
  return std::exchange(parts_->pending_effects, {});
}

effects coordinator::on(time_point now, const input& in) {
  parts& p = *parts_;
  std::visit([&](const auto& event) { p.on(now, event); }, in);
  p.apply_condition_changes(now);
  p.decide(now);
  p.send_heartbeats(now);  // includes heartbeats that this input made due early
  return std::exchange(p.pending_effects, {});
}

time_point coordinator::next_tick() const {
  const parts& p = *parts_;
  const time_point next =
      std::min({p.last_tick + tick_interval, p.row_writer.next_tick(), p.dispatcher.next_tick(),
                p.activations.next_tick(), p.early_plan_at});
  return std::max(next, p.last_tick + min_sleep);
}

bool coordinator::may_send(time_point now, const order& o) {
  parts& p = *parts_;
  // The state of a process that was paused since its last tick may be out of date.
  const bool awake = now - p.last_tick <= p.timing.pause_threshold;
  const auto desired = p.desired_vm_states();
  const auto found = desired.find(o.vm);
  const bool same =
      found != desired.end() && found->second.kind == o.kind && found->second.target == o.target;
  const bool allowed = awake && same && p.order_allowed(now, o.vm);
  p.withheld_orders += allowed ? 0 : 1;
  return allowed;
}

std::uint64_t coordinator::routes_revision() const {
  return parts_->current_routes_revision;
}

routing_snapshot coordinator::routes(time_point now) const {
  return parts_->routes(now);
}

const configuration* coordinator::config() const {
  return parts_->config ? &*parts_->config : nullptr;
}

const assignment& coordinator::row() const {
  return parts_->row_writer.row();
}

status_view coordinator::status(time_point now) const {
  return parts_->status(now);
}

void coordinator::begin_drain(time_point now) {
  parts_->node_leaving = true;
  if (parts_->peers) {
    parts_->peers->expedite_heartbeats(now);
  }
}

void coordinator::report_in_flight(const replica_id& replica, generation fencing_generation,
                                   std::uint32_t count) {
  auto& counts = parts_->requests_in_flight[replica];
  counts[fencing_generation] = count;
  std::erase_if(counts, [](const auto& entry) { return entry.second == 0; });
  if (counts.empty()) {
    parts_->requests_in_flight.erase(replica);
  }
}

void coordinator::report_usage(const workspace_id& workspace, double requests_per_second) {
  if (requests_per_second > 0) {
    parts_->own_usage[workspace] = requests_per_second;
  } else {
    parts_->own_usage.erase(workspace);
  }
}

double coordinator::usage_elsewhere(time_point now, const workspace_id& workspace) const {
  double sum = 0;
  for (const auto& [node, u] : parts_->usage_by_node) {
    const auto found = u.rate_by_workspace.find(workspace);
    const bool recent = now - u.at <= peer_usage_max_age;
    sum += recent && found != u.rate_by_workspace.end() ? found->second : 0.0;
  }
  return sum;
}

}  // namespace arbutus
