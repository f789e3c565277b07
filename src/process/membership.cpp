// Evaluates heartbeats of peers, detects pauses of this process, and computes ranks and probers.
// Voting is in membership_votes.cpp.
#include "process/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/hash.h"

namespace arbutus {

namespace {

constexpr std::size_t max_past_incarnations = 4;
constexpr std::size_t probers_per_target = 2;

// A node may get 10 % more targets than its fair share before they go to the next node.
std::size_t target_limit(std::size_t targets, std::size_t nodes) {
  const double fair =
      static_cast<double>(targets * probers_per_target) / static_cast<double>(nodes);
  return static_cast<std::size_t>(std::ceil(fair * 1.1));
}

std::vector<node_id> by_weight(std::string_view subject, std::vector<node_id> nodes) {
  std::vector<std::pair<std::uint64_t, node_id>> weighted;
  weighted.reserve(nodes.size());
  for (node_id& node : nodes) {
    const std::uint64_t weight = rendezvous_weight(subject, node.str());
    weighted.emplace_back(weight, std::move(node));
  }
  std::ranges::sort(weighted, std::greater<>{});
  std::vector<node_id> sorted;
  sorted.reserve(weighted.size());
  for (auto& [weight, node] : weighted) {
    sorted.push_back(std::move(node));
  }
  return sorted;
}

}  // namespace

membership::membership(node_id self, std::uint64_t incarnation, std::uint64_t seed, time_point now,
                       control_timing timing)
    : self_(std::move(self)),
      incarnation_(incarnation),
      timing_(timing),
      random_(seed),
      last_tick_(now),
      listening_since_(now) {}

void membership::set_nodes(const std::vector<node_id>& nodes, time_point now) {
  std::map<node_id, peer> kept;
  for (const node_id& node : nodes) {
    if (node == self_) {
      continue;
    }
    if (const auto known = peers_.find(node); known != peers_.end()) {
      kept.insert(peers_.extract(known));
      continue;
    }
    peer& p = kept[node];
    p.peer_since = p.composed_at = p.received_at = now;
    p.next_heartbeat = now;
  }
  peers_ = std::move(kept);
  probe_choice_.reset();
}

// Detects pauses of this process. After one, no message of any peer is recent, which does not mean
// that the peers failed. Without this, the node would take over all ranks and probes after a pause.
duration membership::tick(time_point now) {
  const duration gap = now - last_tick_;
  const bool paused = gap > timing_.pause_threshold;
  if (paused) {
    listening_since_ = now;
  }
  last_tick_ = now;
  mark_dead_peers(now);
  return paused ? gap : duration::zero();
}

void membership::mark_dead_peers(time_point now) {
  for (auto& [id, p] : peers_) {
    if (p.dead || unresponsive_time(p, now) <= timing_.peer_dead_after) {
      continue;
    }
    const double age =
        to_seconds(now - p.deaths_decayed_at) / to_seconds(timing_.flap_damping_half_life);
    p.recent_deaths = p.recent_deaths * std::exp2(-age) + 1.0;
    p.deaths_decayed_at = now;
    p.dead = true;
  }
}

// How long the peer has not responded. Zero while the last tick is so long ago that this process
// may have been paused.
duration membership::unresponsive_time(const peer& p, time_point now) const {
  if (now - last_tick_ > timing_.pause_threshold) {
    return duration::zero();
  }
  return now - std::max(p.composed_at, listening_since_);
}

// ---- sending heartbeats ----

std::vector<node_id> membership::due_peers(time_point now) {
  std::vector<node_id> peers;
  for (auto& [id, p] : peers_) {
    if (p.next_heartbeat > now) {
      continue;
    }
    p.next_heartbeat = now + heartbeat_interval_to(id);
    p.last_heartbeat = now;
    peers.push_back(id);
  }
  return peers;
}

// Of two nodes, the first by id sends first and the other responds immediately, so that its
// heartbeat carries the TCP acknowledgement, which otherwise takes a packet of its own. The other
// sends on its own when the first one is late.
duration membership::heartbeat_interval_to(const node_id& id) {
  const duration jitter = random_.jitter(timing_.heartbeat_jitter);
  if (self_ < id) {
    return timing_.heartbeat_interval - jitter;
  }
  return timing_.heartbeat_interval + jitter + timing_.heartbeat_jitter;
}

void membership::expedite_heartbeats(time_point now) {
  for (auto& [id, p] : peers_) {
    const time_point soonest = std::max(now, p.last_heartbeat + timing_.heartbeat_min_gap);
    p.next_heartbeat = std::min(p.next_heartbeat, soonest);
  }
}

message_stamp membership::stamp_for(const node_id& to, time_point now) {
  message_stamp stamp;
  stamp.incarnation = incarnation_;
  const auto found = peers_.find(to);
  if (found == peers_.end()) {
    return stamp;
  }
  peer& p = found->second;
  stamp.sequence = p.next_sequence++;
  p.sent.sent(stamp.sequence, now);
  stamp.echo_of = p.last_sequence;
  if (p.last_sequence != 0) {
    stamp.echo_hold_time = now - p.received_at;
    stamp.echo_tag = echo_tag(p.incarnation);
  }
  return stamp;
}

heartbeat membership::prepare_heartbeat(const node_id& to, time_point now) {
  heartbeat message;
  message.from = self_;
  message.stamp = stamp_for(to, now);
  message.informed = informed_;
  for (const auto& [id, p] : peers_) {
    if (unresponsive(p, now)) {
      message.unresponsive.push_back(id);
    }
  }
  return message;
}

void membership::announce_config(heartbeat& message, const node_id& to, std::uint64_t version,
                                 const std::string& hash) {
  message.config_version = version;
  const auto found = peers_.find(to);
  if (found == peers_.end()) {
    return;
  }
  peer& p = found->second;
  if (p.announced_hash != hash) {
    p.announced_hash = hash;
    p.first_hash_sequence = message.stamp.sequence;
  }
  if (p.echoed < p.first_hash_sequence) {
    message.config_hash = hash;
  }
}

// ---- receiving messages ----

std::optional<receive_result> membership::receive(const node_id& from, const message_stamp& stamp,
                                                  time_point now) {
  const auto found = peers_.find(from);
  if (found == peers_.end()) {
    return std::nullopt;
  }
  peer& p = found->second;
  const bool same_process = stamp.incarnation == p.incarnation;
  if (same_process && stamp.sequence <= p.last_sequence) {
    return std::nullopt;
  }
  if (std::ranges::count(p.past_incarnations, stamp.incarnation) != 0) {
    return std::nullopt;
  }
  receive_result result;
  if (!same_process) {
    accept_peer_incarnation(p, stamp, result, now);
  }
  p.last_sequence = stamp.sequence;
  p.received_at = now;
  accept_echoed_sequence(p, stamp, result, now);
  // A message that was delayed in transit does not show that its sender is alive now.
  p.composed_at =
      std::max(p.composed_at, result.composed.value_or(p.echoes_us ? p.composed_at : now));
  if (p.dead && unresponsive_time(p, now) <= timing_.peer_dead_after) {
    p.dead = false;
    p.alive_since = now;
  }
  return result;
}

void membership::accept_peer_incarnation(peer& p, const message_stamp& stamp,
                                         receive_result& result, time_point now) {
  result.restarted = p.incarnation != 0;
  if (result.restarted) {
    p.past_incarnations.push_back(p.incarnation);
  }
  if (p.past_incarnations.size() > max_past_incarnations) {
    p.past_incarnations.erase(p.past_incarnations.begin());
  }
  p.incarnation = stamp.incarnation;
  p.last_status = {};
  p.echoed = 0;
  p.echoes_us = false;
  p.composed_at = now;
}

void membership::accept_echoed_sequence(peer& p, const message_stamp& stamp, receive_result& result,
                                        time_point now) {
  if (stamp.echo_of != 0 && stamp.echo_tag == echo_tag(incarnation_)) {
    if (const auto sent_at = p.sent.sent_at(stamp.echo_of)) {
      result.composed = composed_after(*sent_at, stamp.echo_hold_time, now, timing_.clock_drift);
      p.echoed = std::max(p.echoed, stamp.echo_of);
      p.echoed_sent_at = std::max(p.echoed_sent_at, *sent_at);
      p.echoes_us = true;
    }
  }
  result.echoed = p.echoed;
}

std::optional<receive_result> membership::receive(const heartbeat& message, std::uint64_t own,
                                                  time_point now) {
  std::optional<receive_result> result = receive(message.from, message.stamp, now);
  if (!result) {
    return result;
  }
  peer_status& reported = peers_.at(message.from).last_status;
  reported.config_version = message.config_version;
  if (!message.config_hash.empty()) {
    reported.config_hash = message.config_hash;
  }
  reported.assignment_version = message.assignment_version;
  reported.table_reachable = message.table_reachable;
  reported.draining = message.draining;
  reported.informed = message.informed;
  reported.unresponsive = message.unresponsive;
  schedule_response(message.from, now);
  become_informed_by_majority(own);
  return result;
}

void membership::schedule_response(const node_id& from, time_point now) {
  peer& p = peers_.at(from);
  if (from < self_ && now - p.last_heartbeat >= timing_.heartbeat_interval / 2) {
    p.next_heartbeat = std::min(p.next_heartbeat, now);
  }
}

// ---- local view of the peers ----

const membership::peer* membership::find(const node_id& id) const {
  const auto found = peers_.find(id);
  return found == peers_.end() ? nullptr : &found->second;
}

// How long messages of a peer that was repeatedly marked dead must arrive before it counts as alive
// again. Ranks and probers change each time; a node with a bad link would change them every few
// seconds.
duration membership::flap_damping(const peer& p, time_point now) const {
  const double age =
      to_seconds(now - p.deaths_decayed_at) / to_seconds(timing_.flap_damping_half_life);
  const double recent_deaths = p.recent_deaths * std::exp2(-age);
  if (recent_deaths < 1.5) {
    return duration::zero();
  }
  const double seconds =
      to_seconds(timing_.peer_flap_damping) * std::exp2(std::min(recent_deaths - 2.0, 16.0));
  return std::min(from_seconds(seconds), timing_.max_flap_damping);
}

peer_state membership::state(const node_id& id, time_point now) const {
  if (id == self_) {
    return peer_state::alive;
  }
  const peer* p = find(id);
  if (p == nullptr || p->incarnation == 0) {
    return peer_state::unknown;
  }
  const duration elapsed = unresponsive_time(*p, now);
  if (p->dead || elapsed > timing_.peer_dead_after ||
      now - p->alive_since < flap_damping(*p, now)) {
    return peer_state::dead;
  }
  return elapsed > timing_.peer_suspect_after ? peer_state::suspect : peer_state::alive;
}

std::vector<node_id> membership::live_peers(time_point now) const {
  std::vector<node_id> nodes;
  for (const auto& [id, p] : peers_) {
    const peer_state s = state(id, now);
    if (s == peer_state::alive || s == peer_state::suspect) {
      nodes.push_back(id);
    }
  }
  return nodes;
}

std::vector<node_id> membership::live_nodes(time_point now) const {
  std::vector<node_id> nodes = live_peers(now);
  nodes.insert(std::ranges::lower_bound(nodes, self_), self_);
  return nodes;
}

const peer_status* membership::last_status(const node_id& id) const {
  const peer* p = find(id);
  return p == nullptr || p->incarnation == 0 ? nullptr : &p->last_status;
}

std::uint64_t membership::echoed(const node_id& id) const {
  const peer* p = find(id);
  return p == nullptr ? 0 : p->echoed;
}

bool membership::is_one_way_link(const node_id& id, time_point now) const {
  const peer* p = find(id);
  if (p == nullptr || p->incarnation == 0 ||
      unresponsive_time(*p, now) > timing_.peer_suspect_after) {
    return false;
  }
  const time_point echoed_at = p->echoes_us ? p->echoed_sent_at : p->alive_since;
  return now - std::max(echoed_at, listening_since_) > timing_.peer_dead_after;
}

// ---- ranks and probers ----

std::size_t membership::rank_of(const node_id& node, std::string_view subject,
                                time_point now) const {
  const std::vector<node_id> sorted = by_weight(subject, live_nodes(now));
  return static_cast<std::size_t>(std::ranges::find(sorted, node) - sorted.begin());
}

void membership::set_targets(const std::vector<vm_id>& vms) {
  targets_ = vms;
  std::ranges::sort(targets_);
  probe_choice_.reset();
}

// Rendezvous hashing alone gives the most loaded of 21 nodes nearly twice its fair share, which
// exceeds its probe budget. Nodes at their limit are therefore skipped.
void membership::choose_probers(time_point now) {
  std::vector<node_id> nodes = live_nodes(now);
  if (probe_choice_ && probe_choice_->live == nodes) {
    return;
  }
  probe_choice_.emplace();
  std::map<node_id, std::size_t> load;
  const std::size_t limit = target_limit(targets_.size(), nodes.size());
  for (const vm_id& vm : targets_) {
    std::vector<node_id>& chosen = probe_choice_->probers[vm];
    const std::vector<node_id> sorted = by_weight(vm.str(), nodes);
    const auto choose = [&](bool beyond_limit) {
      for (const node_id& node : sorted) {
        const bool taken = std::ranges::count(chosen, node) != 0;
        if (chosen.size() < probers_per_target && !taken && (beyond_limit || load[node] < limit)) {
          chosen.push_back(node);
          ++load[node];
        }
      }
    };
    choose(false);
    choose(true);  // also takes nodes at their limit, as all nodes but one may be there
  }
  probe_choice_->live = std::move(nodes);
}

std::vector<node_id> membership::probers_of(const vm_id& vm, time_point now) {
  choose_probers(now);
  const auto found = probe_choice_->probers.find(vm);
  return found == probe_choice_->probers.end() ? std::vector<node_id>{} : found->second;
}

std::vector<vm_id> membership::own_targets(time_point now) {
  choose_probers(now);
  std::vector<vm_id> own;
  for (const auto& [vm, nodes] : probe_choice_->probers) {
    if (std::ranges::find(nodes, self_) != nodes.end()) {
      own.push_back(vm);
    }
  }
  return own;
}

}  // namespace arbutus
