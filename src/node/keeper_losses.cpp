// Who is lost: stalled replicas, targets that do not answer, and what peers suspect.
#include <algorithm>
#include <boost/fiber/condition_variable.hpp>
#include <mutex>

#include "connection/clock.h"
#include "node/keeper_loop.h"
#include "node/log.h"

namespace arbutus {

namespace {

// A suspect's member is asked twice, so a dead one is known 2 x this after the silence. Live ones
// answer within 3 ms; the rest is room for a node that is short of processor time.
constexpr duration probe_timeout = 90ms;
// While the platform's list cannot be read, engines are asked themselves so often. The list itself
// drops a stalled one after three heartbeats.
constexpr double heartbeats_between_questions = 3;
// Members of a stalled replica that a node asks: all of the usual 3 to 4; of 16, about five nodes
// have streams there and find the dead one together.
constexpr std::size_t most_asked = 6;
// A lost engine that lives serves again within this; one that is dead is asked some ten times until
// the list drops it.
constexpr duration lost_interval = 400ms;
// An engine that was dropped from the list and ends is found by its replica's silence mostly.
constexpr duration dropped_interval = 800ms;

}  // namespace

void keeper_loop::watch_silence(time_point now) {
  for (const target_id& head : node_.silence.stalled(now)) {
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
    return take_report(asked, id, *report);
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
         duties_.contains(view.record.data_centre) &&
         now - view.last_contact_at >= dropped_interval;
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
  if (!node_.peers.is_hub(now) && now - hub_heard_at_ < peer_table::alive_timeout) {
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

// Whether requests would be sent to this head's replica. Goes wrong without the question: a member
// has started again and the list has said so; those that are left all answer, and the streams of
// their head stand still until it breaks off after the stall time. A node that stops then ends with
// requests in flight.
bool keeper_loop::is_whole(const target_view& head) {
  const service_spec* service = node_.map ? node_.map->find_service(head.record.service) : nullptr;
  if (service == nullptr || !service->engine) {
    return false;
  }
  const auto& replicas =
      node_.replicas(*service, model_of_name(head.record.member_of->replica.name));
  return std::any_of(replicas.begin(), replicas.end(),
                     [&](const serving_replica& r) { return r.head == head.record.id; });
}

// Asks every member of a stalled replica at once; one that does not answer is asked again.
void keeper_loop::check_replica(const target_id& head) {
  const target_view* view = node_.fleet.find(head);
  if (view == nullptr || !view->record.member_of) {
    node_.silence.found_healthy(monotonic_now(), head);
    node_.attempts.move_away(head);
    return;
  }
  if (!is_whole(*view)) {
    const std::size_t moved = node_.attempts.move_away(head);
    log_line(log_level::info, "fleet", "suspected",
             {{"head", head}, {"told_by", "list"}, {"streams_moved", std::uint64_t{moved}}});
    node_.silence.found_healthy(monotonic_now(), head);
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
    node_.silence.found_healthy(monotonic_now(), head);
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
  node_.silence.found_healthy(monotonic_now(), head);
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
    const service_spec* service = node_.map->find_service(view.record.service);
    const bool own = service != nullptr && service->engine && view.listed && !view.lost &&
                     duties_.contains(view.record.data_centre);
    if (own && now - view.last_contact_at > late && probing_.insert(id).second) {
      node_.runtime.post(0, [this, id = id] {
        if (!probe(id, order_timeout, "unheard")) {
          probe(id, order_timeout, "unheard");
        }
        probing_.erase(id);
      });
    }
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

}  // namespace arbutus
