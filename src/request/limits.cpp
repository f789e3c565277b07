// Shares of rate limits that follow demand.
#include "request/limits.h"

#include <algorithm>
#include <cmath>

namespace arbutus {

namespace {

// A node with a small share must still be able to pass one request now and then.
constexpr double least_burst = 1.0;
constexpr duration longest_retry_after = 60s;

}  // namespace

rate_limits::rate_limits(node_id self, const limit_settings& settings)
    : self_(std::move(self)), settings_(settings) {}

void rate_limits::set_nodes(time_point, const std::vector<node_id>& nodes) {
  others_ = nodes;
  std::erase(others_, self_);
  const auto is_gone = [&](const node_id& id) {
    return std::find(others_.begin(), others_.end(), id) == others_.end();
  };
  std::erase_if(heard_at_, [&](const auto& peer) { return is_gone(peer.first); });
  for (auto& [workspace, b] : buckets_) {
    std::erase_if(b.peers, [&](const auto& peer) { return is_gone(peer.first); });
    // More nodes than before: what is held above an equal share is given up again by demand.
    if (b.share <= 0) {
      b.share = equal_share(b);
    }
  }
}

void rate_limits::set_limit(time_point now, const workspace_id& workspace,
                            const rate_limit& limit) {
  const auto [it, is_new] = buckets_.try_emplace(workspace);
  bucket& b = it->second;
  if (!is_new && b.limit.per_second > 0) {
    refill(now, b);
    const double scale = limit.per_second / b.limit.per_second;
    b.share *= scale;
    for (auto& [peer, told] : b.peers) {
      told.share *= scale;
    }
    b.limit = limit;
    return;
  }
  b.limit = limit;
  b.share = equal_share(b);
  b.filled = now;
  b.counted = now;
  b.tokens = std::max(least_burst, limit.burst / static_cast<double>(others_.size() + 1));
}

limit_verdict rate_limits::take(time_point now, const workspace_id& workspace, double amount) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end() || found->second.limit.per_second <= 0) {
    return limit_pass{};
  }
  bucket& b = found->second;
  refill(now, b);
  b.asked += amount;
  if (b.tokens >= amount) {
    b.tokens -= amount;
    return limit_pass{};
  }
  const double seconds = (amount - b.tokens) / std::max(b.share, 1e-6);
  const double longest = to_seconds(longest_retry_after);
  return limit_exceeded{from_seconds(std::min(seconds, longest))};
}

std::vector<usage> rate_limits::tell(time_point now) {
  std::vector<usage> told;
  for (auto& [workspace, b] : buckets_) {
    if (b.limit.per_second <= 0) {
      continue;
    }
    refill(now, b);
    count_demand(now, b);
    move_share(now, b);
    told.push_back({workspace, b.demand, b.share});
  }
  return told;
}

void rate_limits::heard(time_point now, const node_id& peer, const std::vector<usage>& told) {
  if (std::find(others_.begin(), others_.end(), peer) == others_.end()) {
    return;
  }
  heard_at_[peer] = now;
  for (const usage& u : told) {
    const auto found = buckets_.find(u.workspace);
    if (found != buckets_.end()) {
      found->second.peers[peer] = {u.demand, u.share};
    }
  }
}

double rate_limits::share(const workspace_id& workspace) const {
  const auto found = buckets_.find(workspace);
  return found == buckets_.end() ? 0 : found->second.share;
}

void rate_limits::refill(time_point now, bucket& b) const {
  const double part = b.limit.per_second > 0 ? b.share / b.limit.per_second : 0;
  const double most = std::max(least_burst, b.limit.burst * part);
  b.tokens = std::min(most, b.tokens + b.share * to_seconds(now - b.filled));
  b.filled = now;
}

void rate_limits::count_demand(time_point now, bucket& b) const {
  const double seconds = to_seconds(now - b.counted);
  if (seconds <= 0) {
    return;
  }
  const double weight = 1.0 - std::exp(-seconds / to_seconds(settings_.demand_window));
  b.demand += weight * (b.asked / seconds - b.demand);
  b.asked = 0;
  b.counted = now;
}

// Down at once, up only into room that peers have told to be free, and there only by this node's
// part of the demand: else a node and the peer that makes room for it use the same part of the
// limit for an exchange or two, seen as a rate above the limit whenever demand moves.
void rate_limits::move_share(time_point now, bucket& b) const {
  const double wanted = wanted_share(now, b);
  double room = b.limit.per_second - b.share;
  double demand = b.demand;
  for (const node_id& peer : others_) {
    const auto told = b.peers.find(peer);
    room -= told != b.peers.end() ? told->second.share : equal_share(b);
    demand += told != b.peers.end() && is_heard(now, peer) ? told->second.demand : 0;
  }
  const double part = demand > 0 ? b.demand / demand : 1.0;
  b.share = std::min(wanted, b.share + std::max(room, 0.0) * part);
}

// What this node and the peers it hears may use together is the limit less what the unheard ones
// last told. They reckon likewise, so the sides of a cut never add up to twice the limit.
double rate_limits::wanted_share(time_point now, const bucket& b) const {
  double pool = b.limit.per_second;
  double demand = b.demand;
  double members = 1;
  for (const node_id& peer : others_) {
    const auto told = b.peers.find(peer);
    if (told != b.peers.end() && is_heard(now, peer)) {
      demand += told->second.demand;
      members += 1;
    } else {
      pool -= told != b.peers.end() ? told->second.share : equal_share(b);
    }
  }
  pool = std::max(pool, 0.0);
  const double floor = std::min(settings_.floor_part * equal_share(b), pool / members);
  const double part = demand > 0 ? b.demand / demand : 1.0 / members;
  return floor + (pool - floor * members) * part;
}

double rate_limits::equal_share(const bucket& b) const {
  return b.limit.per_second / static_cast<double>(others_.size() + 1);
}

bool rate_limits::is_heard(time_point now, const node_id& peer) const {
  const auto found = heard_at_.find(peer);
  return found != heard_at_.end() && now - found->second <= settings_.peer_timeout;
}

}  // namespace arbutus
