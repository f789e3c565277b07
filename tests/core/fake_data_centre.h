// Simulates several nodes of one data centre in virtual time: membership and observations of each
// node, a network that delays, drops, repeats and cuts messages, and targets that fail and restart.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/rng.h"
#include "process/gossip.h"
#include "process/membership.h"
#include "process/observations.h"

namespace arbutus::test {

struct fake_target {
  bool up = true;
  engine_report report;
  // The target's reports over time; each is valid from its time until that of the next.
  std::vector<std::pair<time_point, engine_report>> history;
};

struct fake_node {
  node_id id;
  std::unique_ptr<membership> peers;
  std::unique_ptr<observation_table> observations;
  bool up = true;
  bool paused = false;
  std::uint64_t row = 0;  // assignment version that the node knows
  bool can_read_table = true;
  std::size_t probes = 0;
  std::vector<condition_change> changes;
};

class fake_data_centre {
 public:
  fake_data_centre(std::size_t nodes, std::size_t targets, std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < nodes; ++i) {
      ids_.emplace_back("n" + std::to_string(10 + i));
    }
    for (std::size_t i = 0; i < targets; ++i) {
      const vm_id vm{"vm" + std::to_string(100 + i)};
      vms_.push_back(vm);
      fake_target& t = targets_[vm];
      t.report.vm = vm;
      t.report.incarnation = 1000 + i;
      t.report.state = engine_state::ready;
      t.report.slots = 8;
      t.history.emplace_back(now, t.report);
    }
    for (const node_id& id : ids_) {
      start(id);
    }
  }

  // Starts a new process of the node.
  void start(const node_id& id) {
    fake_node& n = nodes_[id];
    n.id = id;
    n.up = true;
    n.paused = false;
    n.row = 0;
    n.peers = std::make_unique<membership>(id, ++incarnations_ * 7919, random_(), now, timing);
    n.peers->set_nodes(ids_, now);
    n.peers->set_targets(vms_);
    n.observations = std::make_unique<observation_table>(id, timing);
    n.observations->set_targets(vms_);
  }

  fake_node& node(std::size_t i) { return nodes_.at(ids_.at(i)); }
  const vm_id& vm(std::size_t i) const { return vms_.at(i); }
  fake_target& target(const vm_id& id) { return targets_.at(id); }
  const std::vector<node_id>& ids() const { return ids_; }
  const std::vector<vm_id>& vms() const { return vms_; }

  void record_report(const vm_id& id) { target(id).history.emplace_back(now, target(id).report); }

  void cut(const node_id& from, const node_id& to) { cut_links_.insert({from, to}); }
  void cut_both(const node_id& a, const node_id& b) {
    cut(a, b);
    cut(b, a);
  }
  void restore_links() { cut_links_.clear(); }
  void restore_links(const node_id& a, const node_id& b) {
    cut_links_.erase({a, b});
    cut_links_.erase({b, a});
  }
  void cut_target(const node_id& from, const vm_id& vm) { cut_probe_links_.insert({from, vm}); }
  void restore_target_links() { cut_probe_links_.clear(); }

  void run_for(duration d) {
    const time_point end = now + d;
    while (now < end) {
      now += step;
      step_once();
    }
  }

  template <class Predicate>
  duration run_until(Predicate done, duration at_most) {
    const time_point begin = now;
    while (!done() && now - begin < at_most) {
      run_for(step);
    }
    return now - begin;
  }

  time_point now{100s};
  std::uint64_t table_row = 1;  // assignment version in the table
  control_timing timing;
  duration step = 20ms;
  duration delay = 1ms;
  duration jitter{};  // maximum random addition to `delay`; reorders messages
  double drop_probability = 0.0;
  double repeat_probability = 0.0;
  duration probe_timeout = 500ms;
  std::size_t bytes = 0;  // total size of all messages sent between nodes
  std::size_t messages = 0;

 private:
  struct message {
    time_point at;
    node_id from;
    node_id to;
    std::string bytes;
  };
  struct probe_response {
    time_point at;
    node_id to;
    probe_result result;
  };

  void step_once() {
    deliver();
    for (auto& [id, n] : nodes_) {
      if (n.up && !n.paused) {
        act(n);
      }
    }
  }

  void act(fake_node& n) {
    if (n.peers->tick(now) > duration::zero()) {
      n.observations->on_resumed(now);
    }
    read_row(n);
    n.observations->set_own_targets(n.peers->own_targets(now), now);
    for (const vm_id& vm : n.observations->next_probes(now)) {
      ++n.probes;
      probe(n.id, vm);
    }
    for (const node_id& peer : n.peers->due_peers(now)) {
      heartbeat heartbeat_message = n.peers->prepare_heartbeat(peer, now);
      heartbeat_message.assignment_version = n.row;
      heartbeat_message.table_reachable = n.can_read_table;
      n.observations->append_deltas(heartbeat_message, peer, n.peers->echoed(peer), now);
      send(n.id, peer, heartbeat_message);
    }
    for (const condition_change& change : n.observations->take_changes(now)) {
      n.changes.push_back(change);
    }
  }

  // The node reads the newest row version from the table, or at random times from a peer that
  // reports a newer one.
  void read_row(fake_node& n) {
    if (n.can_read_table) {
      n.row = table_row;
      n.peers->on_row_read();
    }
    for (const node_id& peer : n.peers->live_peers(now)) {
      const peer_status* last_status = n.peers->last_status(peer);
      if (last_status != nullptr && last_status->assignment_version > n.row &&
          random_.unit() < 0.1) {
        n.row = last_status->assignment_version;
      }
    }
  }

  void probe(const node_id& from, const vm_id& vm) {
    const bool reached = targets_.at(vm).up && !cut_probe_links_.contains({from, vm});
    if (reached) {
      probe_responses_in_transit_.push_back(
          {now + 2 * delay, from, {vm, now, targets_.at(vm).report}});
    } else {
      probe_responses_in_transit_.push_back(
          {now + probe_timeout, from, {vm, now, unknown{"timeout"}}});
    }
  }

  void send(const node_id& from, const node_id& to, const gossip_message& m) {
    const std::string encoded = encode(m);
    bytes += encoded.size();
    ++messages;
    if (cut_links_.contains({from, to}) || random_.unit() < drop_probability) {
      return;
    }
    const std::size_t copies = random_.unit() < repeat_probability ? 2 : 1;
    for (std::size_t i = 0; i < copies; ++i) {
      messages_in_transit_.push_back({now + delay + random_.jitter(jitter), from, to, encoded});
    }
  }

  // Messages and probe results for a paused node stay in its buffers.
  void deliver() {
    std::deque<message> in_transit;
    in_transit.swap(messages_in_transit_);
    for (message& m : in_transit) {
      if (m.at <= now && !nodes_.at(m.to).paused) {
        receive(m);
      } else {
        messages_in_transit_.push_back(std::move(m));
      }
    }
    std::deque<probe_response> responses;
    responses.swap(probe_responses_in_transit_);
    for (probe_response& a : responses) {
      if (a.at <= now && !nodes_.at(a.to).paused) {
        on_probe_response(a);
      } else {
        if (nodes_.at(a.to).paused) {
          a.result.result = unknown{"timed out when it continues"};
        }
        probe_responses_in_transit_.push_back(std::move(a));
      }
    }
  }

  void on_probe_response(const probe_response& a) {
    fake_node& n = nodes_.at(a.to);
    if (!n.up || !n.observations->on_probe_result(a.result, now)) {
      return;
    }
    const auto failure = n.observations->failure_of(a.result.vm, now);
    if (!failure) {
      return;
    }
    for (const node_id& peer : n.peers->live_peers(now)) {
      send(n.id, peer, lost_notice{n.peers->stamp_for(peer, now), *failure});
    }
  }

  void receive(const message& m) {
    fake_node& n = nodes_.at(m.to);
    if (!n.up) {
      return;
    }
    const auto decoded = decode_gossip(m.from, m.bytes);
    const auto* content = std::get_if<gossip_message>(&decoded);
    if (const auto* heartbeat_message = std::get_if<heartbeat>(content)) {
      if (const auto h = n.peers->receive(*heartbeat_message, n.row, now)) {
        n.observations->merge(*heartbeat_message, *h, now);
      }
    } else if (const auto* notice = std::get_if<lost_notice>(content)) {
      if (const auto h = n.peers->receive(m.from, notice->stamp, now)) {
        n.observations->merge(m.from, *notice, *h, now);
      }
    }
  }

  rng random_;
  std::uint64_t incarnations_{};
  std::vector<node_id> ids_;
  std::vector<vm_id> vms_;
  std::map<node_id, fake_node> nodes_;
  std::map<vm_id, fake_target> targets_;
  std::set<std::pair<node_id, node_id>> cut_links_;
  std::set<std::pair<node_id, vm_id>> cut_probe_links_;
  std::deque<message> messages_in_transit_;
  std::deque<probe_response> probe_responses_in_transit_;
};

}  // namespace arbutus::test
