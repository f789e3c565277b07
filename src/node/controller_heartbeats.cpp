// Heartbeats between nodes: composing, sending and handling them.
#include <algorithm>

#include "connection/clock.h"
#include "node/controller_loop.h"
#include "node/cost_timer.h"
#include "node/log.h"
#include "node/poison_watch.h"
#include "node/warming_watch.h"
#include "process/poison_wire.h"

namespace arbutus {

namespace {

// A lost engine is reported to peers for this long after it was removed from the list of targets;
// its replica has been dissolved by then.
constexpr duration unlisted_loss_report_duration = 20s;

std::size_t bytes_of(const std::vector<feed_row>& rows) {
  std::size_t bytes = 0;
  for (const feed_row& row : rows) {
    bytes += row.key.size() + row.value.size();
  }
  return bytes;
}

// A target may have a send limit and warm up: its demand is the larger of both counts.
void raise_demand(std::map<target_id, double>& demand, const target_id& target,
                  double calls_per_second) {
  if (calls_per_second > 0) {
    double& known = demand[target];
    known = std::max(known, calls_per_second);
  }
}

}  // namespace

feed_update controller_loop::configuration_update(time_point now, const feed_positions& at) {
  return {node_.configuration_rows.since(at.configuration),
          node_.configuration_rows.needs_snapshot(at.configuration),
          node_.configuration_rows.position(),
          at.configuration,
          *node_.configuration_lease.age(now),
          false};
}

void controller_loop::forward_configuration(time_point now, const node_id& peer,
                                            const feed_positions& at, node_heartbeat& message) {
  // A node of an earlier release numbers configurations otherwise, and reads them at the store.
  if (!at.configuration_version) {
    return;
  }
  const config_distributor::recipient to{
      *at.configuration_version, at.configuration_progress,
      node_.peers.is_refused_by_store(peer) || node_.store_lacks_configuration};
  auto next =
      config_distributor_.next_part_for(node_.configurations, to, node_.peers.alive_count(now) + 1);
  message.configuration = configuration_update(now, at);
  message.configuration->withheld = next.withheld;
  message.configuration_part = std::move(next.part);
}

void controller_loop::offer_configuration(time_point now, const node_id& peer,
                                          node_heartbeat& message) {
  const auto found = peer_positions_.find(peer);
  const bool may_offer = watch_.is_store_restored(now) && node_.peers.is_hub_or_next(now) &&
                         node_.peers.hub_of(now, node_.peers.data_centre_of(peer)) == peer;
  if (!may_offer || found == peer_positions_.end() || !found->second.configuration_version) {
    return;
  }
  const feed_positions& at = found->second;
  constexpr bool cannot_read_store = true;
  message.configuration_part =
      config_distributor_
          .next_part_for(node_.configurations,
                         {*at.configuration_version, at.configuration_progress, cannot_read_store},
                         1)
          .part;
}

// Removes the rows of an update that contains a complete list, if it exceeds the byte budget of
// this round of heartbeats. The list is sent in a later round.
void controller_loop::withhold_beyond_budget(feed_update& update) {
  update.withheld = update.complete && !list_budget_.try_spend(bytes_of(update.rows));
  if (update.withheld) {
    update.rows.clear();
  }
}

feed_update controller_loop::targets_update(time_point now, std::uint64_t after) {
  feed_update update{node_.target_rows.since(after),      node_.target_rows.needs_snapshot(after),
                     node_.target_rows.position(),        after,
                     now - node_.fleet_list_requested_at, false};
  withhold_beyond_budget(update);
  return update;
}

feed_update controller_loop::serving_update(time_point now,
                                            const serving_follower::position& after) {
  const feed_log& rows = node_.forwarded_serving.rows();
  const std::uint64_t from = after.incarnation == node_.incarnation ? after.at : 0;
  feed_update update{rows.since(from),
                     rows.needs_snapshot(from),
                     rows.position(),
                     from,
                     now - node_.fleet_list_requested_at,
                     false};
  withhold_beyond_budget(update);
  return update;
}

// Adds the store's rows that `peer` lacks; `peer` is a node of this hub's data centre that has
// reported its positions.
void controller_loop::forward_updates(time_point now, const node_id& peer,
                                      node_heartbeat& message) {
  const auto found = peer_positions_.find(peer);
  if (found == peer_positions_.end()) {
    return;
  }
  const feed_positions& at = found->second;
  if (node_.fleet_complete && at.follows_records) {
    message.targets = targets_update(now, at.targets);
  } else if (node_.fleet_complete) {
    message.serving_rows = serving_update(now, at.serving);
  }
  if (node_.configuration_lease.age(now)) {
    forward_configuration(now, peer, at, message);
  }
}

// Begins a round of heartbeats: prepares the content that is the same for all peers.
void controller_loop::begin_round(time_point now) {
  config_distributor_.begin_round();
  list_budget_.begin_round();
  lost_targets_.clear();
  for (const auto& [id, view] : node_.fleet.all()) {
    if (!node_.is_cut_off_from_models() && view.lost &&
        (view.listed || now - view.unlisted_since < unlisted_loss_report_duration)) {
      lost_targets_.insert(id);
    }
  }
  serving_suspects_.clear();
  all_loads_.clear();
  if (!node_.peers.is_hub(now)) {
    return;
  }
  all_loads_ = node_.loads.all();
  home_loads_ = node_.loads.all_at_home();
  all_loads_feed_.update(all_loads_);
  home_loads_feed_.update(home_loads_);
  all_demand_ = node_.demand.all(now);
  home_demand_ = node_.demand.at_home(now);
  if (node_.map && node_.fleet_complete) {
    node_.forwarded_serving.update(node_.fleet, *node_.map);
    std::set<target_id> suspects = node_.lost_reports.reported_by_hubs(now);
    suspects.insert(lost_targets_.begin(), lost_targets_.end());
    serving_suspects_ = node_.forwarded_serving.first_suspect_per_row(suspects);
  }
}

node_heartbeat controller_loop::heartbeat_for(time_point now, const node_id& peer) {
  const data_centre_id& home = node_.settings.data_centre;
  const bool same = node_.peers.data_centre_of(peer) == home;
  node_heartbeat message;
  message.data_centre = home;
  message.link = node_.settings.listen.link_endpoint;
  message.strength = node_.settings.strength;
  message.hub = !node_.stopping && node_.peers.is_hub(now);
  message.leaving = node_.stopping;
  message.refused_by_store = node_.peers.refused_by_store();
  message.cut_off_from_targets = node_.is_cut_off_from_models();
  message.known_nodes = node_.peers.known_nodes();
  message.requests_seen = node_.requests_seen;
  message.stamp_us = now.time_since_epoch().count();
  message.echo_us = node_.peers.newest_stamp(peer);
  message.targets_position = watch_.records_position();
  message.follows_records = watch_.follows_records();
  message.incarnation = node_.incarnation;
  message.serving_position = node_.received_serving.at();
  message.configuration_position = node_.configuration_rows.position();
  message.configuration_version = node_.configurations.newest_version();
  message.configuration_progress = watch_.configuration_progress();
  const auto peer_position = peer_positions_.find(peer);
  const bool follows_served = message.hub && same && peer_position != peer_positions_.end() &&
                              !peer_position->second.follows_records;
  if (follows_served) {
    message.lost = serving_suspects_;
  } else {
    std::set<target_id> lost = lost_targets_;
    if (message.hub && same) {
      lost.merge(node_.lost_reports.reported_by_hubs(now));
    }
    message.lost.assign(lost.begin(), lost.end());
  }
  add_loads(now, peer, message);
  if (message.hub && same) {
    forward_updates(now, peer, message);
  } else {
    offer_configuration(now, peer, message);
  }
  if (receives_poison_updates(now, peer)) {
    message.poison_changes = poison_exchange_.update_for(now, peer, node_.poison.tracker);
  }
  message.received_poison_position = poison_exchange_.received_position(peer);
  add_limits(now, peer, message);
  add_demand_report(now, peer, message);
  add_warming(now, peer, message);
  return message;
}

// Adds the loads that the peer needs: to a node of a hub's data centre those of all other nodes, to
// another hub those of this data centre, and to this node's hub its own.
void controller_loop::add_loads(time_point now, const node_id& peer, node_heartbeat& message) {
  const data_centre_id& home = node_.settings.data_centre;
  const auto received = received_loads_.find(peer);
  if (received != received_loads_.end()) {
    message.received_load_position = received->second.at();
  }
  if (!message.hub) {
    if (node_.peers.hub_of(now, home) == peer) {
      message.loads = node_.loads.own();
      reported_loads_.add(message.stamp_us, message.loads);
    }
    return;
  }
  const bool same = node_.peers.data_centre_of(peer) == home;
  const auto known = peer_positions_.find(peer);
  if (known == peer_positions_.end() || !known->second.reads_load_updates) {
    message.loads = same ? node_.loads.all_except(peer, all_loads_) : home_loads_;
    return;
  }
  const load_position& at = known->second.loads;
  load_feed& feed = same ? all_loads_feed_ : home_loads_feed_;
  message.load_changes = feed.changes_after(at.incarnation == node_.incarnation ? at.at : 0);
  if (same && node_.loads.includes(peer)) {
    message.load_changes->included_stamp_us = known->second.loads_stamp_us;
  }
}

// A hub accepts loads from the nodes of its data centre and from other hubs, other nodes accept
// them from their hub.
void controller_loop::take_loads(time_point now, const node_id& peer,
                                 const node_heartbeat& message) {
  const bool same = message.data_centre == node_.settings.data_centre;
  const bool accepted = node_.peers.is_hub(now) ? same != message.hub : same && message.hub;
  if (!accepted) {
    return;
  }
  const load_scope scope = !message.hub ? load_scope::node
                           : same       ? load_scope::deployment
                                        : load_scope::data_centre;
  if (!message.load_changes) {
    node_.loads.set_peer_loads(peer, message.data_centre, scope, now, message.loads);
    peer_positions_[peer].loads_stamp_us = message.stamp_us;
    return;
  }
  load_follower& follower = received_loads_[peer];
  if (!follower.apply(message.incarnation, *message.load_changes)) {
    return;
  }
  auto others = reported_loads_.subtract(message.load_changes->included_stamp_us, follower.loads());
  if (others) {
    node_.loads.set_peer_loads(peer, message.data_centre, scope, now, std::move(*others));
  }
}

void controller_loop::add_demand_report(time_point now, const node_id& peer,
                                        node_heartbeat& message) {
  const data_centre_id& home = node_.settings.data_centre;
  if (message.hub) {
    const bool same = node_.peers.data_centre_of(peer) == home;
    message.demand = same ? all_demand_ : home_demand_;
  } else if (node_.peers.hub_of(now, home) == peer) {
    message.demand = node_.demand.own(now);
  }
}

// Accepts demand from the same peers as loads, see take_loads().
void controller_loop::take_demand(time_point now, const node_id& peer,
                                  const node_heartbeat& message) {
  const bool same = message.data_centre == node_.settings.data_centre;
  const bool accepted = node_.peers.is_hub(now) ? same != message.hub : same && message.hub;
  if (accepted && node_.map) {
    const load_scope scope = !message.hub ? load_scope::node
                             : same       ? load_scope::deployment
                                          : load_scope::data_centre;
    node_.demand.set_peer_demand(now, peer, scope, with_services(message.demand, *node_.map));
  }
}

// If this node is a hub, distributes the request rates that targets accept among the nodes, as send
// grants.
void controller_loop::grant_sends(time_point now) {
  update_warming_targets(node_, now);
  report_warming_targets(node_, now);
  followed_hub_.update(now, node_.peers.hub_of(now, node_.settings.data_centre));
  node_.limits.forget(now, [this](const target_id& id) { return node_.fleet.find(id) != nullptr; });
  if (!node_.peers.is_hub(now)) {
    return;
  }
  std::map<target_id, double> issued;
  for (const auto& [target, limit] : node_.limits.all()) {
    const target_view* view = node_.fleet.find(target);
    if (limit.per_second && view != nullptr &&
        responsible_data_centres_.contains(view->record.data_centre)) {
      issued.emplace(target, *limit.per_second);
    }
  }
  const node_id& self = node_.settings.id;
  std::map<target_id, double> demand = node_.limits.demand(now);
  for (const auto& [target, calls_per_second] : node_.warming.demand(now)) {
    raise_demand(demand, target, calls_per_second);
  }
  send_grants_.set_demand(now, self, node_.incarnation, false, std::move(demand));
  send_grants_.distribute_round(now, random_, issued);
  grant_warming_sends(now);
  const grant_update own = send_grants_.update_for(now, self);
  for (const auto& [target, count] :
       received_grants_.receive(now, now, self, node_.incarnation, node_.incarnation, own)) {
    node_.limits.granted(now, target, count);
  }
  for (const auto& [target, count] :
       received_grants_.receive_warming(self, node_.incarnation, node_.incarnation, own)) {
    node_.warming.granted(now, target, count);
  }
}

void controller_loop::add_limits(time_point now, const node_id& peer, node_heartbeat& message) {
  const data_centre_id there = node_.peers.data_centre_of(peer);
  const bool same = there == node_.settings.data_centre;
  if (!message.hub && node_.peers.hub_of(now, node_.settings.data_centre) != peer) {
    return;
  }
  const auto demand = message.hub
                          ? (same ? std::map<target_id, double>{} : send_grants_.local_demand(now))
                          : node_.limits.demand(now);
  for (const auto& [target, limit] : node_.limits.all()) {
    const auto found = demand.find(target);
    message.limits.push_back(
        {target, limit.per_second, now - limit.seen_at, found == demand.end() ? 0 : found->second});
  }
  if (message.hub) {
    message.grants = send_grants_.update_for(now, peer);
  }
}

void controller_loop::take_limits(time_point now, const node_id& peer,
                                  const node_heartbeat& message) {
  if (message.echo_us <= 0) {
    return;
  }
  const time_point stamp_sent_at{duration{message.echo_us}};
  if (stamp_sent_at > now) {
    return;  // a stamp from before this VM lost power
  }
  take_warming(now, peer, stamp_sent_at, message);
  std::map<target_id, double> demand;
  if (message.warming) {
    for (const warming_update& update : message.warming->targets) {
      raise_demand(demand, update.target, update.demand);
    }
  }
  for (const limit_update& update : message.limits) {
    node_.limits.received(update.target, {update.per_second, stamp_sent_at - update.age});
    raise_demand(demand, update.target, update.demand);
  }
  const bool same = message.data_centre == node_.settings.data_centre;
  const bool hub = node_.peers.is_hub(now);
  if (hub && same != message.hub) {
    send_grants_.set_demand(now, peer, message.incarnation, message.hub, std::move(demand));
  }
  const auto new_grants = received_grants_.receive(stamp_sent_at, now, peer, message.incarnation,
                                                   node_.incarnation, message.grants);
  for (const auto& [target, count] : new_grants) {
    if (same) {
      node_.limits.granted(now, target, count);
    } else if (hub) {
      send_grants_.received(target, count);
    }
  }
}

// Poison updates are exchanged between hubs, and between a hub and its nodes, because the nodes
// acknowledge the updates with their own heartbeats. The next hub in line receives them from the
// hub.
bool controller_loop::receives_poison_updates(time_point now, const node_id& peer) const {
  return node_.peers.is_hub(now) ||
         node_.peers.hub_of(now, node_.peers.data_centre_of(peer)) == peer;
}

void controller_loop::apply_poison_updates(time_point now, const node_id& peer,
                                           const node_heartbeat& message) {
  poison_exchange_.acknowledged(peer, message.received_poison_position);
  for (const std::string& bytes : message.poison_changes.rows) {
    if (const auto row = decode_poison_row(bytes)) {
      merge_poison_row(node_, now, *row, "peer");
    } else {
      log_line(log_level::warning, "poison", "unreadable evidence", {{"peer", peer}});
    }
  }
  if (!message.poison_changes.rows.empty()) {
    poison_exchange_.received(peer, {message.incarnation, message.poison_changes.at});
  }
}

// Maintains links only to the peers that are sent heartbeats; each link costs both sides a
// connection.
void controller_loop::update_links(const std::vector<node_id>& peers) {
  if (peers == linked_peers_) {
    return;
  }
  linked_peers_ = peers;
  std::vector<node_record> records;
  for (const node_record& n : node_.peers.records()) {
    if (std::find(peers.begin(), peers.end(), n.id) != peers.end()) {
      records.push_back(n);
    }
  }
  // The links are changed in a separate fiber, since closing one may block.
  ++running_link_updates_;
  node_.runtime.post(0, [this, records] {
    if (!ended_) {
      links_.set_peers(records);
    }
    --running_link_updates_;
  });
}

void controller_loop::send_peer_heartbeats(time_point now) {
  node_.loads.forget_peers(now, node_.peers.is_hub(now));
  node_.demand.forget_peers(now);
  node_.shares.forget_idle(now);
  std::vector<node_id> peers = node_.peers.recipients(now);
  std::sort(peers.begin(), peers.end());
  update_links(peers);
  {
    const cost_timer timer(costs_, control_part::compose);
    begin_round(now);
  }
  node_.backoffs.forget(now,
                        [this](const target_id& id) { return node_.fleet.find(id) != nullptr; });
  grant_sends(now);
  // Heartbeats are sent to a different peer first each time, so that the budget of a round does not
  // always go to the same peers.
  if (!peers.empty()) {
    const auto first = static_cast<std::ptrdiff_t>(random_.below(peers.size()));
    std::rotate(peers.begin(), peers.begin() + first, peers.end());
  }
  for (const node_id& peer : peers) {
    send_heartbeat(now, peer);
    node_.peers.note_sent(now, peer);
  }
}

void controller_loop::send_heartbeat(time_point now, const node_id& peer) {
  node_heartbeat message;
  {
    const cost_timer timer(costs_, control_part::compose);
    message = heartbeat_for(now, peer);
  }
  const cost_timer timer(costs_, control_part::encode);
  std::string bytes = encode(message);
  ++costs_.heartbeats_out;
  costs_.heartbeat_bytes_out += bytes.size();
  costs_.loads_out += message.loads.size();
  costs_.load_bytes_out += message.load_changes ? message.load_changes->rows.size() : 0;
  costs_.rows_out += (message.targets ? message.targets->rows.size() : 0) +
                     (message.serving_rows ? message.serving_rows->rows.size() : 0);
  links_.send(link_channel::coordination, {peer, std::move(bytes), false});
}

void controller_loop::received(time_point now, const node_id& peer, std::string_view bytes) {
  ++costs_.heartbeats_in;
  costs_.heartbeat_bytes_in += bytes.size();
  std::optional<node_heartbeat> message;
  {
    const cost_timer timer(costs_, control_part::decode);
    message = decode_node_heartbeat(bytes);
  }
  if (!message) {
    log_line(log_level::warning, "links", "unreadable heartbeat", {{"peer", peer}});
    return;
  }
  const cost_timer timer(costs_, control_part::apply);
  apply_heartbeat(now, peer, *message);
}

void controller_loop::apply_heartbeat(time_point now, const node_id& peer,
                                      const node_heartbeat& message) {
  if (message.link != endpoint{}) {
    node_.peers.add_peer({peer, message.data_centre, message.link, {}, message.strength});
  }
  node_.peers.received(now, peer,
                       {message.hub, message.leaving, message.refused_by_store, message.stamp_us,
                        message.cut_off_from_targets, message.known_nodes,
                        message.warming ? message.warming->known_nodes_here : 0});
  peer_positions_[peer] = {message.follows_records,
                           message.targets_position,
                           message.serving_position,
                           message.configuration_position,
                           message.configuration_version,
                           message.configuration_progress,
                           message.reads_load_updates,
                           message.received_load_position,
                           peer_positions_[peer].loads_stamp_us};
  node_.requests_seen = node_.requests_seen || message.requests_seen;
  node_.reported_store_era =
      std::max({node_.reported_store_era, era_of(message.configuration_position),
                era_of(message.targets_position)});
  const bool same = message.data_centre == node_.settings.data_centre;
  take_loads(now, peer, message);
  take_demand(now, peer, message);
  if (same && message.hub && message.echo_us > 0) {
    // The hub's content is newer than the moment at which this node sent the echoed stamp.
    const time_point stamp_sent_at{duration{message.echo_us}};
    watch_.apply_hub_update(stamp_sent_at, now, message);
    hub_reply_at_ = now;
    node_.informed_at = std::max(node_.informed_at, stamp_sent_at);
    node_.fleet.apply_hub_losses(now, message.lost);
  } else {
    watch_.apply_offered_configuration(now, message);
  }
  apply_poison_updates(now, peer, message);
  take_limits(now, peer, message);
  node_.lost_reports.store_report(now, peer, message.hub, message.lost);
  for (const target_id& id : message.lost) {
    const target_view* view = node_.fleet.find(id);
    const bool own =
        view != nullptr && responsible_data_centres_.contains(view->record.data_centre);
    if (own && view->listed && !view->lost && targets_being_probed_.insert(id).second) {
      node_.runtime.post(0, [this, id] { verify_lost_report(id); });
    }
  }
}

}  // namespace arbutus
