// Distributed rate limits by leases between nodes.
#include "admission/limits.h"

#include <algorithm>
#include <cmath>

namespace arbutus {

namespace {

// Minimum burst of a node: with a small share of the limit it must still admit a single request.
constexpr double min_burst = 1.0;
// Workspaces with a smaller demand, in requests per second, are omitted from messages to peers.
constexpr double min_reported_demand = 0.01;
constexpr duration min_limit_wait = 1ms;
constexpr duration max_limit_wait = 60s;

template <class Leases>
double largest(time_point now, const Leases& leases) {
  double amount = 0;
  for (const auto& l : leases) {
    amount = std::max(amount, now < l.until ? l.amount : 0.0);
  }
  return amount;
}

}  // namespace

rate_limits::rate_limits(time_point now, node_id self, const limit_settings& settings)
    : created_(now), self_(std::move(self)), settings_(settings) {}

void rate_limits::set_nodes(time_point now, const std::vector<node_id>& nodes) {
  for (auto& [workspace, b] : buckets_) {
    refill(now, b);
  }
  others_ = nodes;
  std::erase(others_, self_);
}

void rate_limits::set_limit(time_point now, const workspace_id& workspace,
                            const rate_limit& limit) {
  const auto [it, is_new] = buckets_.try_emplace(workspace);
  bucket& b = it->second;
  if (is_new || b.limit.per_second <= 0) {
    b.limit = limit;
    b.tokens = 0;
    b.refilled_at = created_;
    b.demand_updated_at = now;
    refill(now, b);
    return;
  }
  refill(now, b);
  b.limit = limit;
}

limit_result rate_limits::take(time_point now, const workspace_id& workspace, double amount) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end() || found->second.limit.per_second <= 0) {
    return limit_pass{};
  }
  bucket& b = found->second;
  refill(now, b);
  b.requests_since_update += amount;
  if (b.tokens >= amount) {
    b.tokens -= amount;
    return limit_pass{};
  }
  const double seconds = (amount - b.tokens) / std::max(share_of(now, b), 1e-6);
  const double longest = to_seconds(max_limit_wait);
  return limit_exceeded{std::max(min_limit_wait, from_seconds(std::min(seconds, longest)))};
}

void rate_limits::update(time_point now) {
  for (auto& [workspace, b] : buckets_) {
    if (b.limit.per_second <= 0) {
      continue;
    }
    refill(now, b);
    count_demand(now, b);
    plan_lending(now, b);
  }
}

limit_message rate_limits::make_message(time_point now, const node_id& peer) {
  limit_message message;
  message.stamp = now;
  const auto clock = clocks_.find(peer);
  if (clock != clocks_.end()) {
    message.echo = clock->second.stamp;
  }
  for (auto& [workspace, b] : buckets_) {
    if (b.limit.per_second <= 0) {
      continue;
    }
    refill(now, b);
    peer_usage& p = b.peers[peer];
    const double lent = message.echo ? p.planned_loan_rate : 0;
    if (lent > 0) {
      p.lent.push_back({lent, now + settings_.lease});
    }
    if (lent > 0 || b.demand >= min_reported_demand) {
      message.workspaces.push_back({workspace, b.demand, lent});
    }
  }
  return message;
}

void rate_limits::received(time_point now, const node_id& peer, const limit_message& message) {
  if (std::find(others_.begin(), others_.end(), peer) == others_.end()) {
    return;
  }
  // Messages may be reordered; a stamp that stays behind for longer than a lease means that the
  // peer restarted.
  const auto clock = clocks_.find(peer);
  if (clock != clocks_.end() && message.stamp <= clock->second.stamp &&
      is_peer_current(now, peer)) {
    return;
  }
  clocks_[peer] = {now, message.stamp};
  for (auto& [workspace, b] : buckets_) {
    refill(now, b);
    b.peers[peer].demand = 0;
    b.peers[peer].borrowed = {};
  }
  // The lease starts at the time at which this node sent the message that the peer echoes, which is
  // before the peer lent. So a lease in a delayed message, or one that is read late after a pause,
  // expires here no later than at the lender. An echo from before the start of this process refers
  // to the clock of an earlier process.
  const bool is_valid = message.echo && *message.echo >= created_ && *message.echo <= now;
  for (const limit_message::workspace_usage& usage : message.workspaces) {
    const auto found = buckets_.find(usage.workspace);
    if (found == buckets_.end()) {
      continue;
    }
    peer_usage& p = found->second.peers[peer];
    p.demand = usage.demand;
    p.borrowed = is_valid ? lease{usage.lent, *message.echo + settings_.lease} : lease{};
  }
}

double rate_limits::share(time_point now, const workspace_id& workspace) const {
  const auto found = buckets_.find(workspace);
  return found == buckets_.end() ? 0 : share_of(now, found->second);
}

void rate_limits::refill(time_point now, bucket& b) const {
  // The share grows when the first lease ends; what is added for the time before is of the old one.
  const time_point last_of_first_lease = created_ + settings_.lease - 1us;
  if (b.refilled_at < last_of_first_lease && last_of_first_lease < now) {
    add_tokens(last_of_first_lease, b);
  }
  add_tokens(now, b);
}

void rate_limits::add_tokens(time_point now, bucket& b) const {
  const double rate = share_of(now, b);
  const double part = b.limit.per_second > 0 ? rate / b.limit.per_second : 0;
  const double most = std::max(min_burst, b.limit.burst * part);
  b.tokens = std::min(most, b.tokens + rate * to_seconds(now - b.refilled_at));
  b.refilled_at = now;
}

void rate_limits::count_demand(time_point now, bucket& b) const {
  const double seconds = to_seconds(now - b.demand_updated_at);
  if (seconds <= 0) {
    return;
  }
  const double weight = 1.0 - std::exp(-seconds / to_seconds(settings_.demand_window));
  b.demand += weight * (b.requests_since_update / seconds - b.demand);
  b.requests_since_update = 0;
  b.demand_updated_at = now;
}

// Plans how much of its share of a limit this node lends to each peer. Every reachable node keeps a
// floor; the rest of their shares is divided by demand, which gives each node a target rate. A node
// whose share is above its target lends the difference to nodes below their targets.
void rate_limits::plan_lending(time_point now, bucket& b) const {
  const double own = own_share(now, b);
  const double floor = settings_.never_lent_fraction * equal_share(b);
  double demand = b.demand;
  double members = 1;
  for (const node_id& peer : others_) {
    b.peers[peer].planned_loan_rate = 0;
    if (is_peer_current(now, peer)) {
      demand += b.peers[peer].demand;
      members += 1;
    }
  }
  if (demand <= 0) {
    return;
  }
  const double pool = (own - floor) * members;
  const auto target = [&](double of_node) { return floor + pool * of_node / demand; };
  const auto deficit_of = [&](const node_id& peer) {
    return is_peer_current(now, peer) ? std::max(0.0, target(b.peers[peer].demand) - own) : 0.0;
  };
  double total_deficit = 0;
  double still_lent = 0;
  for (const node_id& peer : others_) {
    std::erase_if(b.peers[peer].lent, [&](const lease& l) { return l.until <= now; });
    total_deficit += deficit_of(peer);
    still_lent += largest(now, b.peers[peer].lent);
  }
  if (total_deficit <= 0) {
    return;
  }
  // Rate that a peer may still use under an earlier lease cannot be lent to another peer.
  const double spare = std::max(0.0, own - target(b.demand));
  double available = std::max(0.0, own - floor - still_lent);
  for (const node_id& peer : others_) {
    const double desired = spare * deficit_of(peer) / total_deficit;
    const double held = largest(now, b.peers[peer].lent);
    const double more = std::clamp(desired - held, 0.0, available);
    available -= more;
    b.peers[peer].planned_loan_rate = std::min(desired, held + more);
  }
}

double rate_limits::share_of(time_point now, const bucket& b) const {
  double rate = own_share(now, b);
  for (const auto& [peer, usage] : b.peers) {
    rate -= largest(now, usage.lent);
    rate += now < usage.borrowed.until ? usage.borrowed.amount : 0.0;
  }
  return std::max(0.0, rate);
}

double rate_limits::equal_share(const bucket& b) const {
  return b.limit.per_second / static_cast<double>(others_.size() + 1);
}

double rate_limits::own_share(time_point now, const bucket& b) const {
  const bool may_be_lent = now < created_ + settings_.lease;
  return (may_be_lent ? settings_.never_lent_fraction : 1.0) * equal_share(b);
}

bool rate_limits::is_peer_current(time_point now, const node_id& peer) const {
  const auto found = clocks_.find(peer);
  return found != clocks_.end() && now - found->second.received_at <= settings_.lease;
}

}  // namespace arbutus
