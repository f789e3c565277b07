// The keeper's clockwork.
#include "node/keeper_loop.h"

#include <algorithm>
#include <boost/fiber/condition_variable.hpp>

#include "connection/clock.h"
#include "node/log.h"

namespace arbutus {

namespace {

// A replica's repair takes some 500 ms of engines' time; a tick of this adds 4 percent of that.
constexpr duration tick_interval = 20ms;
// Answers of engines come within 3 ms. An order without one is asked about, not repeated blindly.
constexpr duration order_timeout = 300ms;
// A suspect's member is asked twice, so a dead one is known 2 x this after the silence. Live ones
// answer within 3 ms; the rest is room for a node that is short of processor time.
constexpr duration probe_timeout = 90ms;
// While the platform's list cannot be read, engines are asked themselves so often. The list itself
// drops a silent one after three heartbeats.
constexpr double heartbeats_between_questions = 3;
// Peers learn of sends within this; the same load is then double-booked for 100 ms on average.
constexpr duration beat_interval = 200ms;
constexpr duration plan_log_interval = 1s;
// Bytes of configuration to all nodes of a hub together: 100 ms of a link of 20 Mbit/s.
constexpr std::size_t most_passed_on = 256UL * 1024;
// Members of a silent replica that a node asks: all of the usual 3 to 4; of 16, about five nodes
// have streams there and find the dead one together.
constexpr std::size_t most_asked = 6;
constexpr duration isolated_after = 2500ms;  // the feed may wait a second for its answer
// A lost engine that lives serves again within this; one that is dead is asked some ten times until
// the list drops it.
constexpr duration lost_interval = 400ms;
// An engine that was dropped from the list and ends is found by its replica's silence mostly.
constexpr duration dropped_interval = 800ms;
// So long others are told of a lost engine that is in no list any more: by then its replica has
// been taken apart.
constexpr duration told_after_unlisting = 20s;

}  // namespace

keeper_loop::keeper_loop(hosted_state& node, peer_links& links, store_watch& watch)
    : node_(node),
      links_(links),
      watch_(watch),
      started_(monotonic_now()),
      random_(stable_hash(node.origin)) {}

void keeper_loop::run() {
  while (!ended_ && sleep_until(monotonic_now() + tick_interval) && !ended_) {
    const time_point now = monotonic_now();
    watch_silence(now);
    ask_lost(now);
    if (node_.map && node_.fleet_known && !node_.stopping) {
      keep(now);
    }
    if (now - told_peers_at_ >= beat_interval) {
      told_peers_at_ = now;
      tell_peers(now);
    }
  }
}

void keeper_loop::end() {
  ended_ = true;
  while (linking_ > 0 && sleep_until(monotonic_now() + tick_interval)) {
  }
}

void keeper_loop::keep(time_point now) {
  // Cut off from the platform and from all peers, this node sees only what it had: peers of its
  // data centre know better, if there are any.
  const bool isolated = node_.peers.living(now) == 0 &&
                        now - node_.fleet_read_at > isolated_after &&
                        node_.peers.any_in(node_.settings.data_centre);
  const auto duties =
      isolated ? std::set<data_centre_id>{} : node_.peers.duties(now, node_.settings.data_centres);
  if (duties != duties_) {
    duties_ = duties;
    std::string names;
    for (const data_centre_id& d : duties) {
      names += (names.empty() ? "" : ",") + d.str();
    }
    log_line(log_level::info, "keeper", "duties",
             {{"data_centres", names}, {"living_peers", std::uint64_t{node_.peers.living(now)}}});
  }
  // In the first moment no peer has been heard yet.
  constexpr duration settle = 500ms;
  if (now - started_ < settle) {
    return;
  }
  if (!duties_.empty()) {
    check_unheard(now);
  }
  for (const service_shape& service : node_.map->services()) {
    if (!service.engine) {
      continue;
    }
    auto found = keepers_.find(service.id);
    if (found == keepers_.end()) {
      found = keepers_
                  .emplace(service.id,
                           replica_keeper({}, node_.origin, started_, node_.settings.cold_start))
                  .first;
    }
    tell_capacity(service);
    const replica_keeper::duties own{duties_, node_.settings.data_centres.size(),
                                     node_.requests_seen};
    if (duties_.empty()) {
      continue;
    }
    for (const keeper_effect& wanted : found->second.tick(now, node_.fleet, service, own)) {
      carry_out(service.id, wanted);
    }
    tell_plan(now, found->second);
  }
}

// What the keeper of a data centre has to work with, at most once a second.
void keeper_loop::tell_plan(time_point now, const replica_keeper& keeper) {
  if (now - told_plan_at_ < plan_log_interval || keeper.plan() == told_plan_) {
    return;
  }
  told_plan_at_ = now;
  told_plan_ = keeper.plan();
  std::string text;
  const auto add = [&text](const std::vector<std::uint32_t>& counts) {
    for (const std::uint32_t n : counts) {
      text += (text.ends_with('[') ? "" : "+") + std::to_string(n);
    }
  };
  for (const auto& d : told_plan_) {
    text += (text.empty() ? "" : "; ") + d.domain.str() + " ready [";
    add(d.ready);
    text += "] wanted [";
    add(d.wanted);
    text += "] blank " + std::to_string(d.blank) + " free " + std::to_string(d.free);
  }
  log_line(log_level::info, "keeper", "plan", {{"domains", text}});
}

// One line for each change of what may be sent requests.
void keeper_loop::tell_capacity(const service_shape& service) {
  for (const model_shape& model : service.engine->models) {
    const std::size_t serving = node_.replicas(service, model.id).size();
    const auto [known, is_new] = capacity_.emplace(model.id, serving);
    if (!is_new && known->second == serving) {
      continue;
    }
    log_line(log_level::info, "fleet", "capacity",
             {{"model", model.id},
              {"replicas", std::uint64_t{serving}},
              {"before", std::uint64_t{is_new ? 0 : known->second}}});
    known->second = serving;
  }
}

void keeper_loop::carry_out(const service_id& service, const keeper_effect& wanted) {
  node_.runtime.post(0, [this, service, wanted] {
    replica_keeper& keeper = keepers_.at(service);
    const time_point asked = monotonic_now();
    const time_point deadline = asked + order_timeout;
    if (const auto* question = std::get_if<report_question>(&wanted)) {
      count_question("order");
      const auto result = node_.engines.report(question->to, question->address, deadline);
      const time_point now = monotonic_now();
      if (const auto* report = std::get_if<target_report>(&result)) {
        take_report(asked, question->to, *report);
        keeper.on_report(now, question->to, *report);
      } else {
        if (std::holds_alternative<unknown>(result)) {
          node_.fleet.probe_failed(now, question->to);
        }
        keeper.on_report(now, question->to, std::nullopt);
      }
      return;
    }
    const auto& order = std::get<replica_order>(wanted);
    const order_outcome outcome = node_.engines.order(order, deadline);
    if (outcome == order_outcome::no_answer || outcome == order_outcome::not_sent) {
      node_.fleet.probe_failed(monotonic_now(), order.to);
    }
    static constexpr std::string_view names[] = {"begun",   "holds",   "conflict",  "outdated",
                                                 "another", "refused", "no_answer", "not_sent"};
    log_line(log_level::info, "keeper", "order",
             {{"target", order.to},
              {"action", to_string(order.action)},
              {"replica", order.replica.name},
              {"epoch", order.replica.epoch},
              {"model", order.model},
              {"expected_orders", order.expected_orders},
              {"outcome", names[static_cast<std::size_t>(outcome)]}});
    node_.metrics.count("arbutusworks_orders",
                        "action=\"" + std::string(to_string(order.action)) + "\",outcome=\"" +
                            std::string(names[static_cast<std::size_t>(outcome)]) + "\"");
    keeper.on_order(monotonic_now(), node_.fleet, order, outcome);
  });
}

void keeper_loop::take_report(time_point asked, const target_id& id, const target_report& report) {
  const target_view* view = node_.fleet.find(id);
  const service_shape* service =
      view == nullptr || !node_.map ? nullptr : node_.map->find_service(view->record.service);
  const duration lag =
      service != nullptr && service->engine ? service->engine->report_lag : duration{};
  node_.fleet.reported(asked, asked - lag - lag / 4, id, report.member_of, report.loaded,
                       report.pace);
}

void keeper_loop::watch_silence(time_point now) {
  for (const target_id& head : node_.silence.silent(now)) {
    if (checking_.insert(head).second) {
      node_.runtime.post(0, [this, head] {
        check_replica(head);
        checking_.erase(head);
      });
    }
  }
}

void keeper_loop::count_question(std::string_view why) {
  node_.metrics.count("arbutusworks_questions", "why=\"" + std::string(why) + "\"");
}

bool keeper_loop::probe(const target_id& id, duration timeout, std::string_view why) {
  count_question(why);
  const target_view* view = node_.fleet.find(id);
  if (view == nullptr) {
    return false;
  }
  const endpoint address = view->record.address;
  const time_point asked = monotonic_now();
  const auto result = node_.engines.report(id, address, asked + timeout);
  const time_point now = monotonic_now();
  if (const auto* report = std::get_if<target_report>(&result)) {
    take_report(asked, id, *report);
    return true;
  }
  node_.fleet.probe_failed(now, id);
  return false;
}

// Of a large replica, a part: every node with a stream there asks, and the first that finds the
// dead member tells the hub, which tells all.
void keeper_loop::choose_asked(const target_id& head, std::vector<target_id>& members) {
  if (members.size() <= most_asked) {
    return;
  }
  std::erase(members, head);
  while (members.size() >= most_asked) {
    std::swap(members[random_.below(members.size())], members.back());
    members.pop_back();
  }
  members.push_back(head);
}

// A member of a replica that left the list, and may work all the same; asked by its keeper.
bool keeper_loop::is_dropped(time_point now, const target_view& view) const {
  return !view.listed && !view.lost && view.record.member_of &&
         !is_spare_name(view.record.member_of->replica.name) &&
         duties_.contains(view.record.data_centre) && now - view.heard_at >= dropped_interval;
}

// Goes wrong: a lost engine that lives, as after a cut, writes no new record, since nothing of it
// changed; it would stay lost. One would see a fleet that is whole and serves little. So lost
// engines are asked until the platform's list drops them.
void keeper_loop::ask_lost(time_point now) {
  if (now - asked_lost_at_ < lost_interval) {
    return;
  }
  asked_lost_at_ = now;
  // A hub asks for its data centre; the others hear from it who is back.
  if (!node_.peers.is_hub(now) && now - hub_heard_at_ < peer_table::alive_for) {
    return;
  }
  for (const auto& [id, view] : node_.fleet.all()) {
    const bool lost = view.lost && view.listed;
    if ((lost || is_dropped(now, view)) && probing_.insert(id).second) {
      node_.runtime.post(0, [this, id = id, lost] {
        const bool answers = probe(id, order_timeout, lost ? "lost" : "dropped");
        if (lost && answers) {
          log_line(log_level::info, "fleet", "back", {{"target", id}});
        }
        probing_.erase(id);
      });
    }
  }
}

// Asks every member of a silent replica at once; one that does not answer is asked again.
void keeper_loop::check_replica(const target_id& head) {
  const target_view* view = node_.fleet.find(head);
  if (view == nullptr || !view->record.member_of) {
    node_.silence.found_well(monotonic_now(), head);
    node_.attempts.move_away(head);
    return;
  }
  const replica_key key = view->record.member_of->replica;
  std::vector<target_id> members;
  for (const auto& [id, v] : node_.fleet.all()) {
    if (v.record.member_of && v.record.member_of->replica == key) {
      members.push_back(id);
    }
  }
  // Two witnesses: a peer that asked, and the streams here.
  if (node_.suspected.contains_any(monotonic_now(), members)) {
    const std::size_t moved = node_.attempts.move_away(head);
    log_line(log_level::info, "fleet", "suspected",
             {{"head", head}, {"told_by", "peer"}, {"streams_moved", std::uint64_t{moved}}});
    node_.silence.found_well(monotonic_now(), head);
    return;
  }
  choose_asked(head, members);
  struct shared {
    std::size_t pending = 0;
    bool failed = false;
    boost::fibers::mutex lock;
    boost::fibers::condition_variable done;
  };
  const auto state = std::make_shared<shared>();
  state->pending = members.size();
  for (const target_id& member : members) {
    node_.runtime.post(0, [this, member, head, state] {
      bool well = probe(member, probe_timeout, "silent");
      if (!well) {
        // Whatever the second answer is, these streams are late already: they go on elsewhere.
        const std::size_t moved = node_.attempts.move_away(head);
        log_line(log_level::info, "fleet", "suspected",
                 {{"target", member}, {"head", head}, {"streams_moved", std::uint64_t{moved}}});
        well = probe(member, probe_timeout, "silent");
        if (!well) {
          log_line(log_level::warning, "fleet", "lost", {{"target", member}, {"head", head}});
        }
      }
      const std::lock_guard guard(state->lock);
      state->failed = state->failed || !well;
      --state->pending;
      state->done.notify_all();
    });
  }
  std::unique_lock guard(state->lock);
  state->done.wait(guard, [&state] { return state->pending == 0; });
  node_.silence.found_well(monotonic_now(), head);
  node_.metrics.count("arbutusworks_silent_replicas",
                      state->failed ? "found=\"lost\"" : "found=\"well\"");
}

// Spares carry no streams whose silence would tell that they died. Usually the platform's list
// does; while it cannot be read, they are asked.
void keeper_loop::check_unheard(time_point now) {
  const auto late = from_seconds(to_seconds(node_.settings.bounds.target_heartbeat) *
                                 heartbeats_between_questions);
  if (now - node_.fleet_read_at < late) {
    return;
  }
  for (const auto& [id, view] : node_.fleet.all()) {
    const service_shape* service = node_.map->find_service(view.record.service);
    const bool own = service != nullptr && service->engine && view.listed && !view.lost &&
                     duties_.contains(view.record.data_centre);
    if (own && now - view.heard_at > late && probing_.insert(id).second) {
      node_.runtime.post(0, [this, id = id] {
        if (!probe(id, order_timeout, "unheard")) {
          probe(id, order_timeout, "unheard");
        }
        probing_.erase(id);
      });
    }
  }
}

// Goes wrong: versions in quick succession, passed on whole to two dozen nodes, choke the link of a
// hub. Its probes then fail, and it takes the fleet for lost. Whoever gets no news asks the store.
bool keeper_loop::is_too_much(std::uint64_t after) const {
  std::size_t bytes = 0;
  for (const feed_row& row : node_.configuration_rows.since(after)) {
    bytes += row.value.size();
  }
  return bytes * (node_.peers.living(monotonic_now()) + 1) > most_passed_on;
}

node_beat keeper_loop::beat_for(time_point now, const node_id& peer) const {
  const data_centre_id& home = node_.settings.data_centre;
  const bool same = node_.peers.data_centre_of(peer) == home;
  node_beat beat;
  beat.data_centre = home;
  beat.hub = !node_.stopping && node_.peers.is_hub(now);
  beat.leaving = node_.stopping;
  beat.turned_away = node_.peers.turned_away();
  beat.requests_seen = node_.requests_seen;
  beat.stamp_us = now.time_since_epoch().count();
  beat.echo_us = node_.peers.newest_stamp(peer);
  beat.targets_position = node_.target_rows.position();
  beat.configuration_position = node_.configuration_rows.position();
  std::set<target_id> lost;
  if (beat.hub && same) {
    lost = node_.suspected.of_hubs(now);
  }
  for (const auto& [id, view] : node_.fleet.all()) {
    if (view.lost && (view.listed || now - view.unlisted_at < told_after_unlisting)) {
      lost.insert(id);
    }
  }
  beat.lost.assign(lost.begin(), lost.end());
  if (beat.hub) {
    // A node of this data centre hears of all others, another hub of this data centre.
    beat.loads = same ? node_.loads.all_but(peer) : node_.loads.all_of(home);
  } else if (node_.peers.hub_of(now, home) == peer) {
    beat.loads = node_.loads.own();
  }
  const auto asked = positions_.find(peer);
  if (beat.hub && same && asked != positions_.end()) {
    if (node_.fleet_known) {
      beat.targets = feed_news{node_.target_rows.since(asked->second.targets),
                               node_.target_rows.needs_whole(asked->second.targets),
                               node_.target_rows.position(),
                               asked->second.targets,
                               now - node_.fleet_read_at,
                               false};
    }
    const auto age = node_.lease.age(now);
    if (age) {
      feed_news news{{},   false, node_.configuration_rows.position(), asked->second.configuration,
                     *age, false};
      news.withheld = is_too_much(asked->second.configuration);
      if (!news.withheld) {
        news.rows = node_.configuration_rows.since(asked->second.configuration);
      }
      beat.configuration = std::move(news);
    }
  }
  return beat;
}

// Links to those that are told; each costs both sides a connection.
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
  // In a fiber of its own, since ending a link may wait.
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
  std::vector<node_id> peers = node_.peers.to_tell(now);
  std::sort(peers.begin(), peers.end());
  link_to(peers);
  for (const node_id& peer : peers) {
    links_.send(link_channel::coordination, {peer, encode(beat_for(now, peer)), false});
    node_.peers.told(now, peer);
  }
}

// The keeper asks for itself, once, as the peer has asked twice.
void keeper_loop::doubt(const target_id& id) {
  if (!probe(id, probe_timeout, "doubted")) {
    node_.fleet.probe_failed(monotonic_now(), id);
    const target_view* view = node_.fleet.find(id);
    if (view != nullptr && view->record.member_of) {
      const std::size_t moved =
          node_.attempts.move_away(head_of(view->record.member_of->replica.name));
      log_line(log_level::warning, "fleet", "lost",
               {{"target", id}, {"told_by", "peer"}, {"streams_moved", std::uint64_t{moved}}});
    }
  }
  probing_.erase(id);
}

void keeper_loop::heard(time_point now, const node_id& peer, const node_beat& beat) {
  node_.peers.heard(now, peer, {beat.hub, beat.leaving, beat.turned_away, beat.stamp_us});
  positions_[peer] = {beat.targets_position, beat.configuration_position};
  node_.requests_seen = node_.requests_seen || beat.requests_seen;
  const bool same = beat.data_centre == node_.settings.data_centre;
  const bool hub = node_.peers.is_hub(now);
  // Loads come to the hub from its data centre and from other hubs, and to others from their hub.
  if (hub ? (same ? !beat.hub : beat.hub) : (same && beat.hub)) {
    node_.loads.heard(peer, beat.data_centre, now, beat.loads);
  }
  if (same && beat.hub && beat.echo_us > 0) {
    // What the hub says was so after this node sent the stamp that it echoes.
    const time_point asked{duration{beat.echo_us}};
    watch_.take_news(asked, now, beat);
    hub_heard_at_ = now;
    node_.fleet.found_by_others(now, beat.lost);
  }
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
