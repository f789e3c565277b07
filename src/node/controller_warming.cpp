// Warming targets in heartbeats: what peers report of them, and the grants to send to them.
#include "node/controller_loop.h"
#include "node/warming_watch.h"

namespace arbutus {

// Issues this hub's share of the grants for warming targets of its data centre.
void controller_loop::grant_warming_sends(time_point now) {
  const node_id& self = node_.settings.id;
  followers_.heard(now, now, self, followed_hub_.named(now) == self);
  const double share =
      followers_.share(send_grants_.warming_round_at(), now, node_.peers.node_count_here(now));
  const hosted_bounds& bounds = node_.settings.bounds;
  std::map<target_id, warming_issue> issued;
  for (const auto& warming : node_.warming.all_warming(now)) {
    if (warming.data_centre == node_.settings.data_centre && !node_.stopping) {
      issued.emplace(warming.target,
                     issue_for_warming(warming.requests_per_second, bounds.warmup_overage,
                                       bounds.warmup_tolerance, share));
    }
  }
  send_grants_.distribute_warming_round(now, random_, issued);
}

void controller_loop::add_warming(time_point now, const node_id& peer, node_heartbeat& message) {
  if (!limits_warming_targets(node_)) {
    return;
  }
  const data_centre_id& home = node_.settings.data_centre;
  warming_report& report = message.warming.emplace();
  report.follows = followed_hub_.named(now);
  report.known_nodes_here = node_.peers.known_nodes_here();
  using recipient = warming_targets::recipient;
  if (message.hub) {
    const bool same = node_.peers.data_centre_of(peer) == home;
    report.targets =
        node_.warming.updates_for(now, same ? recipient::own_node : recipient::other_hub);
  } else if (node_.peers.hub_of(now, home) == peer) {
    report.targets = node_.warming.updates_for(now, recipient::own_hub);
  }
}

// `valid_from`: the content of the message is not older than this.
void controller_loop::take_warming(time_point now, const node_id& peer, time_point valid_from,
                                   const node_heartbeat& message) {
  if (!message.warming) {
    return;
  }
  update_warming_targets(node_, now);
  for (const warming_update& update : message.warming->targets) {
    node_.warming.received(valid_from, now, message.hub, update);
  }
  if (message.data_centre != node_.settings.data_centre) {
    return;
  }
  followers_.heard(valid_from, now, peer, message.warming->follows == node_.settings.id);
  for (const auto& [target, count] : received_grants_.receive_warming(
           peer, message.incarnation, node_.incarnation, message.grants)) {
    node_.warming.granted(valid_from, target, count);
  }
}

}  // namespace arbutus
