// Connection tests, and what follows from a cut of this node's paths.
#include "node/reach_watch.h"

#include <algorithm>
#include <vector>

#include "connection/clock.h"
#include "node/log.h"

namespace arbutus {

namespace {

// A target accepts a connection within two round trips, 6 ms; the rest is for a node that is short
// of processor time.
constexpr duration connect_test_timeout = 250ms;
// Losses that a node has found in this time before it knew that it is cut off are its own fault.
constexpr duration suspect_loss_age = 2s;
constexpr std::size_t other_targets_to_try = 2;

std::vector<target_id> listed_targets(const hosted_state& node, const service_id& service) {
  std::vector<target_id> targets;
  for (const auto& [id, view] : node.fleet.all()) {
    if (view.record.service == service && view.listed && !view.record.draining) {
      targets.push_back(id);
    }
  }
  return targets;
}

bool can_connect(hosted_state& node, const target_id& id) {
  const target_view* view = node.fleet.find(id);
  if (view == nullptr) {
    return false;
  }
  const endpoint address = view->record.address;
  node.metrics.count("arbutusworks_connection_tests");
  return node.targets_http.can_connect({address.host, address.port},
                                       monotonic_now() + connect_test_timeout);
}

void apply_change(hosted_state& node, time_point now, const service_id& service,
                  reach_change change) {
  if (change == reach_change::none) {
    return;
  }
  const bool cut_off = change == reach_change::cut_off;
  if (cut_off) {
    node.fleet.revoke_losses(now - suspect_loss_age);
  }
  node.peers.set_cut_off_from_targets(now, node.is_cut_off_from_models());
  log_line(log_level::warning, "reach", cut_off ? "cut off from targets" : "reaches targets",
           {{"service", service},
            {"unreachable", std::uint64_t{node.reach[service].unreachable_count()}},
            {"targets", std::uint64_t{listed_targets(node, service).size()}}});
  node.metrics.count("arbutusworks_reach_changes",
                     cut_off ? "to=\"cut off\"" : "to=\"reaches targets\"");
}

void test_path(hosted_state& node, const service_id& service, const target_id& id) {
  const bool works = can_connect(node, id);
  const time_point now = monotonic_now();
  target_reach& reach = node.reach[service];
  apply_change(node, now, service,
               works ? reach.connected(now, id) : reach.connect_failed(now, id));
}

void test_paths_of(hosted_state& node, time_point now, const service_id& service) {
  target_reach& reach = node.reach[service];
  const std::vector<target_id> targets = listed_targets(node, service);
  if (targets.empty()) {
    apply_change(node, now, service, reach.no_targets());
    return;
  }
  for (const target_id& id : reach.tests_due(now, targets, node.random)) {
    node.runtime.post(0, [&node, service, id] { test_path(node, service, id); });
  }
}

}  // namespace

void note_connect_failure(hosted_state& node, const service_id& service, const target_id& target) {
  const time_point now = monotonic_now();
  apply_change(node, now, service, node.reach[service].connect_failed(now, target));
}

void test_paths(hosted_state& node, time_point now) {
  if (!node.map) {
    return;
  }
  const bool all_stalled = node.replica_stalls.all_stalled(now);
  for (const service_spec& service : node.map->services()) {
    target_reach& reach = node.reach[service.id];
    if (all_stalled && service.engine) {
      reach.doubt(now);
    }
    if (reach.needs_tests()) {
      test_paths_of(node, now, service.id);
    }
  }
}

bool reaches_another_target(hosted_state& node, const target_id& except) {
  const target_view* view = node.fleet.find(except);
  if (view == nullptr) {
    return true;
  }
  std::vector<target_id> others = listed_targets(node, view->record.service);
  std::erase(others, except);
  const std::size_t tries = std::min(other_targets_to_try, others.size());
  for (std::size_t i = 0; i < tries; ++i) {
    std::swap(others[i], others[i + node.random.below(others.size() - i)]);
    if (can_connect(node, others[i])) {
      return true;
    }
  }
  return tries == 0;
}

}  // namespace arbutus
