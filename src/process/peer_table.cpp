// Liveness of peers, election of the hub, and selection of the peers to send heartbeats to.
#include "process/peer_table.h"

#include <algorithm>

#include "process/replica_control.h"

namespace arbutus {

void peer_table::set_records(const std::vector<node_record>& nodes) {
  std::vector<node_record> records;
  std::set<node_id> listed;
  for (const node_record& n : nodes) {
    if (n.id == self_) {
      continue;
    }
    listed.insert(n.id);
    records.push_back(n);
    peer& p = peers_[n.id];
    p.data_centre = n.data_centre;
    p.strength = n.strength;
    p.in_rows = true;
  }
  std::erase_if(peers_, [&](const auto& entry) {
    return entry.second.in_rows && !listed.contains(entry.first);
  });
  for (const node_record& n : records_) {
    if (peers_.contains(n.id) && !listed.contains(n.id)) {
      records.push_back(n);
    }
  }
  records_ = std::move(records);
  rows_read_ = true;
  discovery_deadline_ = {};
  sort_peers();
}

void peer_table::add_peer(const node_record& record) {
  if (record.id == self_ || peers_.contains(record.id)) {
    return;
  }
  peers_[record.id].data_centre = record.data_centre;
  peers_[record.id].strength = record.strength;
  records_.push_back(record);
  sort_peers();
}

void peer_table::sort_peers() {
  hub_order_.clear();
  for (const auto& entry : peers_) {
    hub_order_[entry.second.data_centre].push_back(&entry);
  }
  // Stable sort: equals stay ordered by name.
  for (auto& [data_centre, peers] : hub_order_) {
    std::stable_sort(peers.begin(), peers.end(), [](const auto* a, const auto* b) {
      return a->second.strength > b->second.strength;
    });
  }
}

bool peer_table::precedes(const node_id& id, const peer& p) const {
  return strength_ != p.strength ? strength_ > p.strength : self_ < id;
}

void peer_table::note_sent(time_point now, const node_id& id) {
  const auto found = peers_.find(id);
  if (found == peers_.end()) {
    return;
  }
  peer& p = found->second;
  if (p.first_sent_at == time_point{}) {
    p.first_sent_at = now;
  }
}

void peer_table::received(time_point now, const node_id& id, const heartbeat_info& info) {
  const auto found = peers_.find(id);
  if (found == peers_.end()) {
    return;  // the peer is not known yet; its row will be read soon
  }
  peer& p = found->second;
  p.last_received_at = now;
  const std::int64_t newest = std::max(p.info.stamp_us, info.stamp_us);
  p.info = info;
  p.info.stamp_us = newest;
}

bool peer_table::is_alive(time_point now, const peer& p) {
  return p.last_received_at != time_point{} && now - p.last_received_at < alive_timeout;
}

bool peer_table::is_alive(time_point now, const node_id& id) const {
  const auto found = peers_.find(id);
  return found != peers_.end() && is_alive(now, found->second);
}

std::size_t peer_table::node_count(time_point now) const {
  if (!rows_read_) {
    return 0;
  }
  std::size_t count = known_nodes();
  for (const auto& [id, p] : peers_) {
    if (is_alive(now, p)) {
      count = std::max(count, p.info.known_nodes);
    }
  }
  return count;
}

std::size_t peer_table::known_nodes_here() const {
  const auto peers_here = std::ranges::count_if(
      peers_, [this](const auto& entry) { return entry.second.data_centre == data_centre_; });
  return static_cast<std::size_t>(peers_here) + 1;
}

std::size_t peer_table::node_count_here(time_point now) const {
  if (!rows_read_) {
    return 0;
  }
  std::size_t count = known_nodes_here();
  for (const auto& [id, p] : peers_) {
    if (p.data_centre == data_centre_ && is_alive(now, p)) {
      count = std::max(count, p.info.known_nodes_here);
    }
  }
  return count;
}

std::size_t peer_table::alive_count(time_point now) const {
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(),
                    [&](const auto& entry) { return is_alive(now, entry.second); }));
}

bool peer_table::any_alive(time_point now) const {
  return std::any_of(peers_.begin(), peers_.end(),
                     [&](const auto& entry) { return is_alive(now, entry.second); });
}

bool peer_table::has_peer_in(const data_centre_id& data_centre) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return entry.second.data_centre == data_centre && !entry.second.info.leaving &&
           entry.second.last_received_at != time_point{};
  });
}

bool peer_table::has_peer_in_own_data_centre() const {
  return std::any_of(peers_.begin(), peers_.end(),
                     [&](const auto& entry) { return entry.second.data_centre == data_centre_; });
}

data_centre_id peer_table::data_centre_of(const node_id& id) const {
  const auto found = peers_.find(id);
  return found == peers_.end() ? data_centre_id{} : found->second.data_centre;
}

bool peer_table::is_refused_by_store(const node_id& id) const {
  const auto found = peers_.find(id);
  return found != peers_.end() && found->second.info.refused_by_store;
}

bool peer_table::has_served_peer_here(time_point now) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return entry.second.data_centre == data_centre_ && is_alive(now, entry.second) &&
           meets(now, entry.second, hub_requirement::served);
  });
}

std::int64_t peer_table::newest_stamp(const node_id& id) const {
  const auto found = peers_.find(id);
  return found == peers_.end() ? 0 : found->second.info.stamp_us;
}

// Whether the peer is alive, or is new and not yet known to be unresponsive.
bool peer_table::presumed_alive(time_point now, const peer& p) const {
  if (p.info.leaving) {
    return false;
  }
  if (p.last_received_at != time_point{}) {
    return now - p.last_received_at < alive_timeout;
  }
  return p.first_sent_at == time_point{} || now - p.first_sent_at < presumed_alive_duration;
}

void peer_table::set_refused_by_store(time_point now, bool is) {
  if (refused_by_store_ && !is) {
    served_since_ = now;
  }
  refused_by_store_ = is;
}

void peer_table::set_cut_off_from_targets(time_point now, bool is) {
  if (cut_off_from_targets_ && !is) {
    served_since_ = now;
  }
  cut_off_from_targets_ = is;
}

bool peer_table::meets(time_point now, const peer& p, hub_requirement requirement) const {
  const bool served = requirement == hub_requirement::alive || !p.info.refused_by_store;
  const bool reaches =
      requirement != hub_requirement::reaches_targets || !p.info.cut_off_from_targets;
  return presumed_alive(now, p) && served && reaches;
}

bool peer_table::self_meets(time_point now, hub_requirement requirement) const {
  const bool served = requirement == hub_requirement::alive || is_served(now);
  const bool reaches = requirement != hub_requirement::reaches_targets || !cut_off_from_targets_;
  return !is_discovering(now) && served && reaches;
}

bool peer_table::is_cut_off(const node_id& id) const {
  const auto found = peers_.find(id);
  return found == peers_.end() ? id == self_ && cut_off_from_targets_
                               : found->second.info.cut_off_from_targets;
}

bool peer_table::is_served(time_point now) const {
  if (refused_by_store_ || served_since_ == time_point{} ||
      now - served_since_ >= served_settle_time) {
    return !refused_by_store_;
  }
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const peer& p = entry.second;
    return p.data_centre == data_centre_ && !precedes(entry.first, p) && presumed_alive(now, p);
  });
}

node_id peer_table::first_in_hub_order(time_point now, const data_centre_id& data_centre,
                                       hub_requirement requirement) const {
  const bool self_may = data_centre == data_centre_ && self_meets(now, requirement);
  const auto found = hub_order_.find(data_centre);
  if (found == hub_order_.end()) {
    return self_may ? self_ : node_id{};
  }
  for (const auto* entry : found->second) {
    const auto& [id, p] = *entry;
    if (meets(now, p, requirement)) {
      return self_may && precedes(id, p) ? self_ : id;
    }
  }
  return self_may ? self_ : node_id{};
}

node_id peer_table::hub_of(time_point now, const data_centre_id& data_centre) const {
  for (const auto requirement : {hub_requirement::reaches_targets, hub_requirement::served}) {
    node_id hub = first_in_hub_order(now, data_centre, requirement);
    if (!hub.empty()) {
      return hub;
    }
  }
  // If the store serves none of them, the first live node controls the replicas.
  return first_in_hub_order(now, data_centre, hub_requirement::alive);
}

std::set<data_centre_id> peer_table::responsibilities(
    time_point now, const std::vector<data_centre_id>& all) const {
  std::set<data_centre_id> result;
  if (!is_hub(now) || cut_off_from_targets_) {
    return result;
  }
  std::vector<controller_candidate> hubs;
  for (const data_centre_id& data_centre : all) {
    const node_id hub = hub_of(now, data_centre);
    if (!hub.empty() && !is_cut_off(hub)) {
      hubs.push_back({hub, data_centre});
    }
  }
  return controlled_by(self_, all, hubs);
}

void peer_table::add_candidates(time_point now, const data_centre_id& data_centre,
                                std::vector<node_id>& result) const {
  std::size_t served = 0;
  std::size_t refused = 0;
  std::size_t unresponsive = 0;
  const auto in_order = hub_order_.find(data_centre);
  if (in_order == hub_order_.end()) {
    return;
  }
  for (const auto* entry : in_order->second) {
    const auto& [id, p] = *entry;
    if (may_be_hub(now, p)) {
      result.push_back(id);
      if (++served == hub_candidate_count) {
        return;
      }
    } else if (presumed_alive(now, p)) {
      // This live peer is refused by the store. If the store refuses all, the first live peers
      // control the data centre. Only those get heartbeats: otherwise, while the store is
      // unavailable, all nodes of a data centre would send to each other.
      if (refused < hub_candidate_count) {
        result.push_back(id);
      }
      ++refused;
    } else if (unresponsive < max_unresponsive_recipients) {
      // Without heartbeats to unresponsive peers, a hub that returns is not noticed, and there are
      // two hubs from then on. Sending only occasionally would open a link each time and close it
      // before it is established.
      result.push_back(id);
      ++unresponsive;
    }
  }
}

bool peer_table::is_hub_or_next(time_point now) const {
  if (is_discovering(now)) {
    return false;
  }
  std::size_t served_before = 0;
  std::size_t living_before = 0;
  bool any_served = is_served(now);
  for (const auto& [id, p] : peers_) {
    if (p.data_centre != data_centre_) {
      continue;
    }
    const bool serves = may_be_hub(now, p);
    any_served = any_served || serves;
    if (!precedes(id, p)) {
      served_before += serves ? 1 : 0;
      living_before += presumed_alive(now, p) ? 1 : 0;
    }
  }
  return any_served ? is_served(now) && served_before < hub_candidate_count
                    : living_before < hub_candidate_count;
}

bool peer_table::is_hub_candidate(time_point now) const {
  const auto ahead = std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const auto& [id, p] = entry;
    return p.data_centre == data_centre_ && !precedes(id, p) && may_be_hub(now, p);
  });
  return static_cast<std::size_t>(ahead) < hub_candidate_count;
}

std::vector<node_id> peer_table::recipients(time_point now) const {
  std::vector<node_id> result;
  add_candidates(now, data_centre_, result);
  if (is_hub(now)) {
    std::set<data_centre_id> others;
    for (const auto& [id, p] : peers_) {
      if (p.data_centre != data_centre_) {
        others.insert(p.data_centre);
      }
    }
    for (const data_centre_id& other : others) {
      add_candidates(now, other, result);
    }
  }
  if (!is_hub_candidate(now)) {
    return result;
  }
  // Peers that send heartbeats to this node get responses as long as it is a candidate.
  for (const auto& [id, p] : peers_) {
    if (is_alive(now, p) && std::find(result.begin(), result.end(), id) == result.end()) {
      result.push_back(id);
    }
  }
  return result;
}

}  // namespace arbutus
