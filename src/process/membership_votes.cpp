// Which nodes may act without the table, and whose acknowledgement of a row is still required.
//
// Failure prevented by the votes: node B is cut off from the table and from node A, but not from
// the targets. A withdraws a standby, considers B dead, and gives the VM to another replica; B
// activates it based on the old row. Two replicas then own one VM.
//
// With votes, A stops waiting for B only when a majority reports B unresponsive for quorum_expiry,
// each in a message that also acknowledges the new row. B acts only while a majority has echoed
// messages that B sent within quorum_validity, which is shorter, and reports no newer row. Any two
// majorities have a node in common: before that node's report its echoes to B have expired, after
// it they name the newer row. A restarted node no longer knows what it acknowledged, and has no
// vote until it is informed again.
#include <algorithm>

#include "process/membership.h"

namespace arbutus {

std::size_t membership::total_votes() const {
  const std::size_t nodes = peers_.size() + 1;
  return nodes % 2 == 0 ? nodes + 1 : nodes;
}

std::size_t membership::votes_of(const node_id& id) const {
  const bool even = (peers_.size() + 1) % 2 == 0;
  const bool first = peers_.empty() || id == std::min(self_, peers_.begin()->first);
  return even && first ? 2 : 1;
}

bool membership::is_majority(std::size_t votes) const {
  return 2 * votes > total_votes();
}

// Whether a peer counts as unresponsive. Based on when its newest message was received, not
// composed: since the receipt, this node has echoed no newer message of the peer.
bool membership::unresponsive(const peer& p, time_point now) const {
  if (now - last_tick_ > timing_.pause_threshold) {
    return false;
  }
  return now - std::max(p.received_at, listening_since_) >= timing_.quorum_expiry;
}

void membership::on_row_read() {
  informed_ = true;
}

void membership::become_informed_by_majority(std::uint64_t own) {
  if (informed_) {
    return;
  }
  std::size_t votes = 0;
  for (const auto& [id, p] : peers_) {
    if (!p.echoes_us || !p.last_status.informed) {
      continue;
    }
    if (p.last_status.assignment_version > own) {
      return;
    }
    votes += votes_of(id);
  }
  informed_ = is_majority(votes);
}

bool membership::may_act_without_table(std::uint64_t assignment_version, time_point now) const {
  if (!informed_) {
    return false;
  }
  std::size_t votes = votes_of(self_);
  for (const auto& [id, p] : peers_) {
    if (p.last_status.assignment_version > assignment_version) {
      return false;
    }
    const bool answered = p.echoes_us && now - p.echoed_sent_at <= timing_.quorum_validity;
    if (answered && p.last_status.informed) {
      votes += votes_of(id);
    }
  }
  return is_majority(votes);
}

// Whether node `id` can no longer act on rows before `version`, by the reports of a majority. Only
// reports of nodes that know the row are valid: another node, failed since, may have echoed
// messages of `id` between its report and a row that it never received.
bool membership::has_expired(const node_id& id, const peer& p, std::uint64_t version,
                             time_point now) const {
  if (!unresponsive(p, now)) {
    return false;
  }
  std::size_t votes = votes_of(self_);
  for (const auto& [other, q] : peers_) {
    const bool reports =
        std::ranges::find(q.last_status.unresponsive, id) != q.last_status.unresponsive.end();
    if (other != id && reports && q.last_status.assignment_version >= version) {
      votes += votes_of(other);
    }
  }
  return is_majority(votes);
}

std::vector<node_id> membership::required_acknowledgers(std::uint64_t version,
                                                        time_point now) const {
  std::vector<node_id> nodes{self_};
  for (const auto& [id, p] : peers_) {
    if (!has_expired(id, p, version, now)) {
      nodes.push_back(id);
    }
  }
  std::ranges::sort(nodes);
  return nodes;
}

bool membership::acknowledged(std::uint64_t version, time_point now) const {
  return std::ranges::all_of(peers_, [&](const auto& entry) {
    const auto& [id, p] = entry;
    return p.last_status.assignment_version >= version || has_expired(id, p, version, now);
  });
}

std::uint64_t membership::acknowledged_by_all(std::uint64_t own, time_point now) const {
  std::uint64_t highest = acknowledged(own, now) ? own : 0;
  for (const auto& [id, p] : peers_) {
    const std::uint64_t version = std::min(own, p.last_status.assignment_version);
    if (version > highest && acknowledged(version, now)) {
      highest = version;
    }
  }
  return highest;
}

}  // namespace arbutus
