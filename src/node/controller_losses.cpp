// Detection of lost targets: checks of stalled replicas, probes of targets that do not answer, and
// verification of losses that peers report.
#include <algorithm>
#include <boost/fiber/condition_variable.hpp>
#include <mutex>

#include "connection/clock.h"
#include "node/controller_loop.h"
#include "node/log.h"
#include "node/peer_check.h"
#include "node/reach_watch.h"

namespace arbutus {

namespace {

// Time for the answer to one probe. Each member of a stalled replica is probed up to twice, so a
// dead one is detected within 2 x this time after the stall. Live ones answer within 3 ms; the rest
// is a margin for a node that is short of processor time.
constexpr duration probe_timeout = 90ms;
// While the platform's list cannot be read, engines are probed after this many heartbeat intervals
// without contact. The list itself drops a stalled engine after three heartbeats.
constexpr double heartbeats_between_probes = 3;
// Members of a stalled replica that one node probes. A replica usually has 3 to 4 members, and all
// are probed. A replica of 16 members has streams of about five nodes, which together find the dead
// one.
constexpr std::size_t max_probed_members = 6;
// A lost engine that is alive is restored within this time; a dead one is probed some ten times
// until the list drops it.
constexpr duration lost_probe_interval = 400ms;
// Interval between probes of a replica's member engines that are no longer in the list of targets
// but may still work. Longer than lost_probe_interval, since the failure of such an engine usually
// shows first as a stall of its replica.
constexpr duration unlisted_probe_interval = 800ms;

}  // namespace

void controller_loop::check_stalls(time_point now) {
  for (const target_id& head : node_.replica_stalls.stalled(now)) {
    // A node that is cut off learns nothing from probes; its streams go on through peers.
    if (node_.is_cut_off_from_models()) {
      node_.attempts.doubt(head);
      node_.replica_stalls.found_healthy(now, head);
      continue;
    }
    if (heads_being_checked_.insert(head).second) {
      node_.runtime.post(0, [this, head] {
        check_replica(head);
        heads_being_checked_.erase(head);
      });
    }
  }
}

void controller_loop::count_query(std::string_view why) {
  node_.metrics.count("arbutusworks_questions", "why=\"" + std::string(why) + "\"");
}

bool controller_loop::probe(const target_id& id, duration timeout, std::string_view why) {
  count_query(why);
  const target_view* view = node_.fleet.find(id);
  if (view == nullptr) {
    return false;
  }
  const endpoint address = view->record.address;
  const time_point requested_at = monotonic_now();
  const auto result = node_.engines.report(id, address, requested_at + timeout);
  const time_point now = monotonic_now();
  if (const auto* report = std::get_if<target_report>(&result)) {
    return apply_report(requested_at, id, *report);
  }
  if (!node_.is_cut_off_from_models()) {
    node_.fleet.probe_failed(now, id, failure_of(result));
  }
  return false;
}

// Probes a target that did not answer once already, and asks a peer to do so at the same time. If
// only the peer gets an answer, it is this node's path that fails, and the target is not lost.
bool controller_loop::probe_with_peer(const target_id& id, duration timeout, std::string_view why) {
  struct shared {
    bool done = false;
    bool answers_peer = false;
    boost::fibers::mutex lock;
    boost::fibers::condition_variable changed;
  };
  const auto state = std::make_shared<shared>();
  const time_point deadline = monotonic_now() + timeout;
  node_.runtime.post(0, [this, id, deadline, state] {
    const bool answers = answers_a_peer(node_, id, deadline);
    const std::lock_guard guard(state->lock);
    state->answers_peer = answers;
    state->done = true;
    state->changed.notify_all();
  });
  const target_view* view = node_.fleet.find(id);
  if (view == nullptr) {
    return false;
  }
  count_query(why);
  const service_id service = view->record.service;
  const time_point requested_at = monotonic_now();
  const auto result = node_.engines.report(id, view->record.address, deadline);
  if (const auto* report = std::get_if<target_report>(&result)) {
    return apply_report(requested_at, id, *report);
  }
  std::unique_lock guard(state->lock);
  state->changed.wait(guard, [&state] { return state->done; });
  if (state->answers_peer) {
    node_.fleet.answered_a_peer(id);
    note_connect_failure(node_, service, id);
    return false;
  }
  if (!node_.is_cut_off_from_models()) {
    node_.fleet.probe_failed(monotonic_now(), id, failure_of(result));
  }
  return false;
}

// Of a large replica only some members are probed: every node with a stream of the replica probes
// some, and the first that finds the dead member reports it to the hub, which notifies all nodes.
void controller_loop::sample_members(const target_id& head, std::vector<target_id>& members) {
  if (members.size() <= max_probed_members) {
    return;
  }
  std::erase(members, head);
  while (members.size() >= max_probed_members) {
    std::swap(members[random_.below(members.size())], members.back());
    members.pop_back();
  }
  members.push_back(head);
}

// Whether the target is a replica's member that was dropped from the list but may still work. Such
// members are probed by the node that controls their replica.
bool controller_loop::is_unlisted_member(time_point now, const target_view& view) const {
  return !view.listed && !view.lost && view.record.member_of &&
         !is_spare_name(view.record.member_of->replica.name) &&
         responsible_data_centres_.contains(view.record.data_centre) &&
         now - view.last_contact_at >= unlisted_probe_interval;
}

// Probes lost engines until the platform's list drops them. Without this, an engine that is alive,
// as after a network partition, stays lost: it writes no new record, since nothing about it has
// changed. The symptom is a fleet whose engines all run but of which few serve.
void controller_loop::probe_lost_targets(time_point now) {
  if (now - lost_probed_at_ < lost_probe_interval) {
    return;
  }
  lost_probed_at_ = now;
  if (node_.is_cut_off_from_models()) {
    return;
  }
  // The hub probes for its data centre and reports recovered engines to the other nodes.
  if (!node_.peers.is_hub(now) && now - hub_reply_at_ < peer_table::alive_timeout) {
    return;
  }
  for (const auto& [id, view] : node_.fleet.all()) {
    const bool lost = view.lost && view.listed;
    if ((lost || is_unlisted_member(now, view)) && targets_being_probed_.insert(id).second) {
      node_.runtime.post(0, [this, id = id, lost] {
        const bool answers = probe(id, order_timeout, lost ? "lost" : "dropped");
        if (lost && answers) {
          log_line(log_level::info, "fleet", "back", {{"target", id}});
        }
        targets_being_probed_.erase(id);
      });
    }
  }
}

// Whether the replica of this head may be sent requests. Without this check, if the list shows that
// a member has restarted, the remaining members all answer their probes, and the streams of the
// head stall until it breaks them off after its stall timeout. A node that is shut down meanwhile
// exits with requests in flight.
bool controller_loop::is_serving_replica(const target_view& head) {
  const service_spec* service = node_.map ? node_.map->find_service(head.record.service) : nullptr;
  if (service == nullptr || !service->engine) {
    return false;
  }
  const auto& replicas =
      node_.replicas(*service, model_of_name(head.record.member_of->replica.name));
  return std::any_of(replicas.begin(), replicas.end(),
                     [&](const serving_replica& r) { return r.head == head.record.id; });
}

// Probes the members of a stalled replica in parallel; one that does not answer is probed again.
void controller_loop::check_replica(const target_id& head) {
  const target_view* view = node_.fleet.find(head);
  if (view == nullptr || !view->record.member_of) {
    node_.replica_stalls.found_healthy(monotonic_now(), head);
    node_.attempts.doubt(head);
    return;
  }
  if (!is_serving_replica(*view)) {
    const std::size_t streams = node_.attempts.doubt(head);
    log_line(log_level::info, "fleet", "suspected",
             {{"head", head}, {"told_by", "list"}, {"streams", std::uint64_t{streams}}});
    node_.replica_stalls.found_healthy(monotonic_now(), head);
    return;
  }
  const replica_key key = view->record.member_of->replica;
  std::vector<target_id> members;
  for (const auto& [id, v] : node_.fleet.all()) {
    if (v.record.member_of && v.record.member_of->replica == key) {
      members.push_back(id);
    }
  }
  // A peer that probed a member reports it as lost, and this node's streams of the replica stall:
  // two independent indications, so its streams are in doubt without a further probe.
  if (node_.lost_reports.contains_any(monotonic_now(), members)) {
    const std::size_t streams = node_.attempts.doubt(head);
    log_line(log_level::info, "fleet", "suspected",
             {{"head", head}, {"told_by", "peer"}, {"streams", std::uint64_t{streams}}});
    node_.replica_stalls.found_healthy(monotonic_now(), head);
    return;
  }
  sample_members(head, members);
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
        // The replica's streams are late already, whatever the second probe of the member yields,
        // so second runs of them begin elsewhere.
        const std::size_t streams = node_.attempts.doubt(head);
        log_line(log_level::info, "fleet", "suspected",
                 {{"target", member}, {"head", head}, {"streams", std::uint64_t{streams}}});
        well = probe_with_peer(member, probe_timeout, "silent");
        const target_view* after = node_.fleet.find(member);
        if (!well && after != nullptr && after->lost) {
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
  node_.replica_stalls.found_healthy(monotonic_now(), head);
  node_.metrics.count("arbutusworks_silent_replicas",
                      state->failed ? "found=\"lost\"" : "found=\"well\"");
}

// Spares have no streams whose stall would show that they died. Usually the platform's list shows
// it; while the list cannot be read, they are probed.
void controller_loop::probe_overdue(time_point now) {
  const auto late =
      from_seconds(to_seconds(node_.settings.bounds.target_heartbeat) * heartbeats_between_probes);
  if (now - node_.fleet_list_requested_at < late) {
    return;
  }
  for (const auto& [id, view] : node_.fleet.all()) {
    const service_spec* service = node_.map->find_service(view.record.service);
    const bool own = service != nullptr && service->engine && view.listed && !view.lost &&
                     responsible_data_centres_.contains(view.record.data_centre);
    if (own && now - view.last_contact_at > late && targets_being_probed_.insert(id).second) {
      node_.runtime.post(0, [this, id = id] {
        if (!probe(id, order_timeout, "unheard")) {
          probe_with_peer(id, order_timeout, "unheard");
        }
        targets_being_probed_.erase(id);
      });
    }
  }
}

// Verifies a peer's report that a target is lost. One probe is enough, as the peer has probed
// twice.
void controller_loop::verify_lost_report(const target_id& id) {
  if (!probe(id, probe_timeout, "doubted")) {
    node_.fleet.probe_failed(monotonic_now(), id);
    const target_view* view = node_.fleet.find(id);
    if (view != nullptr && view->record.member_of) {
      const std::size_t streams =
          node_.attempts.doubt(head_of(view->record.member_of->replica.name));
      log_line(log_level::warning, "fleet", "lost",
               {{"target", id}, {"told_by", "peer"}, {"streams", std::uint64_t{streams}}});
    }
  }
  targets_being_probed_.erase(id);
}

}  // namespace arbutus
