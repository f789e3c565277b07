// Heartbeats between nodes: composing, sending and handling them.
#include <algorithm>

#include "connection/clock.h"
#include "node/keeper_loop.h"
#include "node/log.h"
#include "node/poison_watch.h"
#include "process/poison_wire.h"

namespace arbutus {

namespace {

// A lost engine is reported to peers for this long after it was removed from the list of targets;
// its replica has been dissolved by then.
constexpr duration told_after_unlisting = 20s;

std::size_t bytes_of(const std::vector<feed_row>& rows) {
  std::size_t bytes = 0;
  for (const feed_row& row : rows) {
    bytes += row.key.size() + row.value.size();
  }
  return bytes;
}

}  // namespace

feed_update keeper_loop::configuration_news(time_point now, const positions& at) {
  return {node_.configuration_rows.since(at.configuration),
          false,
          node_.configuration_rows.position(),
          at.configuration,
          *node_.lease.age(now),
          false};
}

void keeper_loop::pass_on_configuration(time_point now, const node_id& peer, const positions& at,
                                        node_heartbeat& beat) {
  const config_distributor::recipient to{at.configuration_row, at.configuration_progress,
                                         node_.peers.is_refused_by_store(peer)};
  auto next =
      config_distributor_.next_for(node_.configurations, to, node_.peers.alive_count(now) + 1);
  // A node of an earlier release reports no row and cannot read parts. It would advance its
  // position without applying the configuration.
  const bool reads_no_parts = at.configuration_row == 0 && at.configuration > 0 &&
                              at.configuration < node_.configurations.newest();
  beat.configuration = configuration_news(now, at);
  beat.configuration->withheld = next.withheld || reads_no_parts;
  beat.configuration_part = std::move(next.part);
}

// A full list that exceeds the budget of this round is sent in a later one.
void keeper_loop::withhold_beyond_budget(feed_update& news) {
  news.withheld = news.whole && !whole_lists_.take(bytes_of(news.rows));
  if (news.withheld) {
    news.rows.clear();
  }
}

feed_update keeper_loop::target_news(time_point now, std::uint64_t after) {
  feed_update news{node_.target_rows.since(after), node_.target_rows.needs_snapshot(after),
                   node_.target_rows.position(),   after,
                   now - node_.fleet_read_at,      false};
  withhold_beyond_budget(news);
  return news;
}

feed_update keeper_loop::served_news(time_point now, const serving_follower::position& after) {
  const feed_log& rows = node_.served.rows();
  const std::uint64_t from = after.incarnation == node_.origin ? after.at : 0;
  feed_update news{rows.since(from),          rows.needs_snapshot(from),
                   rows.position(),           from,
                   now - node_.fleet_read_at, false};
  withhold_beyond_budget(news);
  return news;
}

// Adds the store's rows that `peer` lacks; `peer` is a node of this hub's data centre that has
// reported its positions.
void keeper_loop::pass_on(time_point now, const node_id& peer, node_heartbeat& beat) {
  const auto found = positions_.find(peer);
  if (found == positions_.end()) {
    return;
  }
  const positions& at = found->second;
  if (node_.fleet_complete && at.follows_records) {
    beat.targets = target_news(now, at.targets);
  } else if (node_.fleet_complete) {
    beat.served = served_news(now, at.serving);
  }
  if (node_.lease.age(now)) {
    pass_on_configuration(now, peer, at, beat);
  }
}

// Prepares the content that is the same in the heartbeats to all peers.
void keeper_loop::begin_round(time_point now) {
  config_distributor_.begin_round();
  whole_lists_.begin_round();
  lost_.clear();
  for (const auto& [id, view] : node_.fleet.all()) {
    if (view.lost && (view.listed || now - view.unlisted_at < told_after_unlisting)) {
      lost_.insert(id);
    }
  }
  suspected_.clear();
  all_loads_.clear();
  if (!node_.peers.is_hub(now)) {
    return;
  }
  all_loads_ = node_.loads.all();
  if (node_.map && node_.fleet_complete) {
    node_.served.update(node_.fleet, *node_.map);
    std::set<target_id> suspects = node_.suspected.reported_by_hubs(now);
    suspects.insert(lost_.begin(), lost_.end());
    suspected_ = node_.served.first_suspect_per_row(suspects);
  }
}

node_heartbeat keeper_loop::beat_for(time_point now, const node_id& peer) {
  const data_centre_id& home = node_.settings.data_centre;
  const bool same = node_.peers.data_centre_of(peer) == home;
  node_heartbeat beat;
  beat.data_centre = home;
  beat.link = node_.settings.listen.links;
  beat.strength = node_.settings.strength;
  beat.hub = !node_.stopping && node_.peers.is_hub(now);
  beat.leaving = node_.stopping;
  beat.refused_by_store = node_.peers.refused_by_store();
  beat.requests_seen = node_.requests_seen;
  beat.stamp_us = now.time_since_epoch().count();
  beat.echo_us = node_.peers.newest_stamp(peer);
  beat.targets_position = watch_.records_position();
  beat.follows_records = watch_.follows_records();
  beat.incarnation = node_.origin;
  beat.serving = node_.followed.at();
  beat.configuration_position = node_.configuration_rows.position();
  beat.configuration_row = node_.configurations.newest();
  beat.configuration_progress = watch_.configuration_progress();
  const auto told = positions_.find(peer);
  const bool follows_served =
      beat.hub && same && told != positions_.end() && !told->second.follows_records;
  if (follows_served) {
    beat.lost = suspected_;
  } else {
    std::set<target_id> lost = lost_;
    if (beat.hub && same) {
      lost.merge(node_.suspected.reported_by_hubs(now));
    }
    beat.lost.assign(lost.begin(), lost.end());
  }
  if (beat.hub) {
    // Nodes of this data centre receive the loads of all other nodes, other hubs those of this data
    // centre.
    beat.loads = same ? node_.loads.all_but(peer, all_loads_) : node_.loads.all_of(home);
  } else if (node_.peers.hub_of(now, home) == peer) {
    beat.loads = node_.loads.own();
  }
  if (beat.hub && same) {
    pass_on(now, peer, beat);
  }
  if (hears_crashes(now, peer)) {
    beat.crashes = crashes_.update_for(now, peer, node_.poison.ledger);
  }
  beat.received_poison_position = crashes_.received_position(peer);
  add_limits(now, peer, beat);
  return beat;
}

// One round of send grants, if this node is a hub.
void keeper_loop::grant_sends(time_point now) {
  node_.limits.forget(now, [this](const target_id& id) { return node_.fleet.find(id) != nullptr; });
  if (!node_.peers.is_hub(now)) {
    return;
  }
  std::map<target_id, double> issued;
  for (const auto& [target, limit] : node_.limits.all()) {
    const target_view* view = node_.fleet.find(target);
    if (limit.per_second && view != nullptr && duties_.contains(view->record.data_centre)) {
      issued.emplace(target, *limit.per_second);
    }
  }
  const node_id& self = node_.settings.id;
  grants_.set_demand(now, self, node_.origin, false, node_.limits.demand(now));
  grants_.round(now, random_, issued);
  const grant_update own = grants_.update_for(now, self);
  for (const auto& [target, count] :
       granted_.take(now, now, self, node_.origin, node_.origin, own)) {
    node_.limits.granted(now, target, count);
  }
}

void keeper_loop::add_limits(time_point now, const node_id& peer, node_heartbeat& beat) {
  const data_centre_id there = node_.peers.data_centre_of(peer);
  const bool same = there == node_.settings.data_centre;
  if (!beat.hub && node_.peers.hub_of(now, node_.settings.data_centre) != peer) {
    return;
  }
  const auto demand = beat.hub ? (same ? std::map<target_id, double>{} : grants_.local_demand(now))
                               : node_.limits.demand(now);
  for (const auto& [target, limit] : node_.limits.all()) {
    const auto found = demand.find(target);
    beat.limits.push_back(
        {target, limit.per_second, now - limit.seen_at, found == demand.end() ? 0 : found->second});
  }
  if (beat.hub) {
    beat.grants = grants_.update_for(now, peer);
  }
}

void keeper_loop::take_limits(time_point now, const node_id& peer, const node_heartbeat& beat) {
  if (beat.echo_us <= 0) {
    return;
  }
  const time_point asked{duration{beat.echo_us}};
  std::map<target_id, double> demand;
  for (const limit_update& news : beat.limits) {
    node_.limits.heard(news.target, {news.per_second, asked - news.age});
    if (news.demand > 0) {
      demand.emplace(news.target, news.demand);
    }
  }
  const bool same = beat.data_centre == node_.settings.data_centre;
  const bool hub = node_.peers.is_hub(now);
  if (hub && same != beat.hub) {
    grants_.set_demand(now, peer, beat.incarnation, beat.hub, std::move(demand));
  }
  const auto fresh = granted_.take(asked, now, peer, beat.incarnation, node_.origin, beat.grants);
  for (const auto& [target, count] : fresh) {
    if (same) {
      node_.limits.granted(now, target, count);
    } else if (hub) {
      grants_.received(target, count);
    }
  }
}

// Poison updates are exchanged between hubs, and between a hub and its nodes, because these
// acknowledge them with their own heartbeats. The next hub in line receives them from the hub.
bool keeper_loop::hears_crashes(time_point now, const node_id& peer) const {
  return node_.peers.is_hub(now) ||
         node_.peers.hub_of(now, node_.peers.data_centre_of(peer)) == peer;
}

void keeper_loop::take_crashes(time_point now, const node_id& peer, const node_heartbeat& beat) {
  crashes_.acknowledged(peer, beat.received_poison_position);
  for (const std::string& bytes : beat.crashes.rows) {
    if (const auto row = decode_poison_row(bytes)) {
      take_crash_row(node_, now, *row, "peer");
    } else {
      log_line(log_level::warning, "poison", "unreadable evidence", {{"peer", peer}});
    }
  }
  if (!beat.crashes.rows.empty()) {
    crashes_.heard(peer, {beat.incarnation, beat.crashes.at});
  }
}

// Maintains links only to the peers that are sent heartbeats; each link costs both sides a
// connection.
void keeper_loop::link_to(const std::vector<node_id>& peers) {
  if (peers == linked_) {
    return;
  }
  linked_ = peers;
  std::vector<node_record> records;
  for (const node_record& n : node_.peers.records()) {
    if (std::find(peers.begin(), peers.end(), n.id) != peers.end()) {
      records.push_back(n);
    }
  }
  // In a separate fiber, since closing a link may block.
  ++linking_;
  node_.runtime.post(0, [this, records] {
    if (!ended_) {
      links_.set_peers(records);
    }
    --linking_;
  });
}

void keeper_loop::tell_peers(time_point now) {
  node_.loads.forget_peers(now);
  std::vector<node_id> peers = node_.peers.recipients(now);
  std::sort(peers.begin(), peers.end());
  link_to(peers);
  begin_round(now);
  grant_sends(now);
  // Starts with a different peer each time, so that the budget of a round does not always go to the
  // same peers.
  if (!peers.empty()) {
    const auto first = static_cast<std::ptrdiff_t>(random_.below(peers.size()));
    std::rotate(peers.begin(), peers.begin() + first, peers.end());
  }
  for (const node_id& peer : peers) {
    links_.send(link_channel::coordination, {peer, encode(beat_for(now, peer)), false});
    node_.peers.told(now, peer);
  }
}

void keeper_loop::heard(time_point now, const node_id& peer, const node_heartbeat& beat) {
  if (beat.link != endpoint{}) {
    node_.peers.learn({peer, beat.data_centre, beat.link, {}, beat.strength});
  }
  node_.peers.heard(now, peer, {beat.hub, beat.leaving, beat.refused_by_store, beat.stamp_us});
  positions_[peer] = {beat.follows_records,   beat.targets_position,
                      beat.serving,           beat.configuration_position,
                      beat.configuration_row, beat.configuration_progress};
  node_.requests_seen = node_.requests_seen || beat.requests_seen;
  const bool same = beat.data_centre == node_.settings.data_centre;
  const bool hub = node_.peers.is_hub(now);
  // A hub accepts loads from the nodes of its data centre and from other hubs, other nodes accept
  // them from their hub.
  if (hub ? (same ? !beat.hub : beat.hub) : (same && beat.hub)) {
    node_.loads.heard(peer, beat.data_centre, now, beat.loads);
  }
  if (same && beat.hub && beat.echo_us > 0) {
    // The hub's content is newer than the moment at which this node sent the echoed stamp.
    const time_point asked{duration{beat.echo_us}};
    watch_.take_news(asked, now, beat);
    hub_heard_at_ = now;
    node_.fleet.apply_hub_losses(now, beat.lost);
  }
  take_crashes(now, peer, beat);
  take_limits(now, peer, beat);
  node_.suspected.told(now, peer, beat.hub, beat.lost);
  for (const target_id& id : beat.lost) {
    const target_view* view = node_.fleet.find(id);
    const bool own = view != nullptr && duties_.contains(view->record.data_centre);
    if (own && view->listed && !view->lost && probing_.insert(id).second) {
      node_.runtime.post(0, [this, id] { doubt(id); });
    }
  }
}

}  // namespace arbutus
