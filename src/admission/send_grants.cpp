// Distributes and counts the grants to send requests to rate-limited targets.
#include "admission/send_grants.h"

#include <algorithm>
#include <cmath>

#include "admission/warming_targets.h"

namespace arbutus {

namespace {

// Time between rounds for which grants are issued at most: a hub that was paused does not issue the
// grants of the missed time later.
constexpr duration max_round_interval = 500ms;

double demand_of(const std::map<target_id, double>& demand, const target_id& target) {
  const auto found = demand.find(target);
  return found == demand.end() ? 0 : found->second;
}

// Sends in one second come from grants that were issued in this time.
constexpr duration warming_window = 1s + warming_targets::max_grant_age;
// Grants are issued somewhat faster than a cold target bears requests, since some expire unused.
constexpr double max_warming_issue_ratio = 1.1;

}  // namespace

warming_issue issue_for_warming(double requests_per_second, double overage, double tolerance,
                                double share) {
  const double bound = requests_per_second * overage + tolerance;
  // In a window, a steady rate issues one grant more than the rate times the window.
  const double steady = std::max(bound - 1, 0.0) / to_seconds(warming_window);
  return {std::min(steady, requests_per_second * max_warming_issue_ratio) * share,
          static_cast<std::size_t>(std::floor(bound * share))};
}

void send_grants::set_demand(time_point now, const node_id& peer, const std::string& incarnation,
                             bool is_remote_hub, std::map<target_id, double> demand) {
  receiver& r = receivers_[peer];
  if (r.incarnation != incarnation) {
    r.granted.clear();
    r.warming.clear();
  }
  r.reported_at = now;
  r.incarnation = incarnation;
  r.is_remote_hub = is_remote_hub;
  r.demand = std::move(demand);
}

void send_grants::received(const target_id& target, std::uint64_t count) {
  forward_credit_[target] += static_cast<double>(count);
}

void send_grants::distribute_round(time_point now, rng& random,
                                   const std::map<target_id, double>& issued) {
  const duration elapsed = last_round_at_ == time_point{} ? duration{} : now - last_round_at_;
  last_round_at_ = now;
  std::erase_if(issue_credit_, [&](const auto& entry) { return !issued.contains(entry.first); });
  for (const auto& [target, per_second] : issued) {
    double& credit = issue_credit_[target];
    credit += std::max(per_second, min_grants_per_second) *
              to_seconds(std::min(elapsed, max_round_interval));
    distribute(now, random, target, true, credit);
  }
  for (auto& [target, credit] : forward_credit_) {
    distribute(now, random, target, false, credit);
  }
  forward_credit_.clear();
}

void send_grants::distribute(time_point now, rng& random, const target_id& target,
                             bool to_other_hubs, double& credit) {
  for (; credit >= 1; credit -= 1) {
    receiver* to = pick_receiver(now, random, target, to_other_hubs);
    if (to == nullptr) {
      credit = std::min(credit, 1.0);
      return;
    }
    grant_count& count = to->granted[target];
    ++count.total;
    count.granted_at = now;
  }
}

void send_grants::distribute_warming_round(time_point now, rng& random,
                                           const std::map<target_id, warming_issue>& issued) {
  const duration elapsed = warming_round_at_ == time_point{} ? duration{} : now - warming_round_at_;
  warming_round_at_ = now;
  for (auto& [target, issuer] : warming_issuers_) {
    issuer.credit = issued.contains(target) ? issuer.credit : 0;
    while (!issuer.issued_at.empty() && now - issuer.issued_at.front() >= warming_window) {
      issuer.issued_at.pop_front();
    }
  }
  std::erase_if(warming_issuers_, [&](const auto& entry) {
    return entry.second.issued_at.empty() && !issued.contains(entry.first);
  });
  for (const auto& [target, limit] : issued) {
    warming_issuer& issuer = warming_issuers_[target];
    issuer.credit += limit.per_second * to_seconds(std::min(elapsed, max_round_interval));
    while (issuer.credit >= 1 && issuer.issued_at.size() < limit.max_in_window) {
      receiver* to = pick_receiver(now, random, target, false);
      if (to == nullptr) {
        break;
      }
      warming_count& count = to->warming[target];
      count.newest = count.round_at == now ? count.newest + 1 : 1;
      count.round_at = now;
      ++count.total;
      issuer.credit -= 1;
      issuer.issued_at.push_back(now);
    }
    issuer.credit = std::min(issuer.credit, 1.0);
  }
}

send_grants::receiver* send_grants::pick_receiver(time_point now, rng& random,
                                                  const target_id& target, bool to_other_hubs) {
  const auto weight = [&](const receiver& r) {
    const bool is_eligible =
        now - r.reported_at < max_demand_age && (to_other_hubs || !r.is_remote_hub);
    return is_eligible ? demand_of(r.demand, target) : 0.0;
  };
  double remaining = 0;
  for (const auto& [id, r] : receivers_) {
    remaining += weight(r);
  }
  remaining *= random.unit();
  receiver* last = nullptr;
  for (auto& [id, r] : receivers_) {
    const double own = weight(r);
    if (own <= 0) {
      continue;
    }
    last = &r;
    remaining -= own;
    if (remaining < 0) {
      break;
    }
  }
  return last;
}

grant_update send_grants::update_for(time_point now, const node_id& peer) const {
  const auto found = receivers_.find(peer);
  if (found == receivers_.end()) {
    return {};
  }
  grant_update update{found->second.incarnation, {}, {}};
  for (const auto& [target, count] : found->second.granted) {
    if (now - count.granted_at < resend_duration) {
      update.totals.emplace_back(target, count.total);
    }
  }
  for (const auto& [target, count] : found->second.warming) {
    if (count.round_at == warming_round_at_) {
      update.warming.push_back({target, count.total, count.newest});
    }
  }
  return update;
}

std::map<target_id, double> send_grants::local_demand(time_point now) const {
  std::map<target_id, double> sum;
  for (const auto& [id, r] : receivers_) {
    if (r.is_remote_hub || now - r.reported_at >= max_demand_age) {
      continue;
    }
    for (const auto& [target, demand] : r.demand) {
      sum[target] += demand;
    }
  }
  return sum;
}

grant_receiver::sender_totals& grant_receiver::find_sender(const node_id& from,
                                                           const std::string& incarnation) {
  std::deque<sender_totals>& known_incarnations = senders_[from];
  const auto found =
      std::ranges::find(known_incarnations, incarnation, &sender_totals::incarnation);
  if (found != known_incarnations.end()) {
    return *found;
  }
  if (known_incarnations.size() == max_incarnations_per_sender) {
    known_incarnations.pop_front();
  }
  return known_incarnations.emplace_back(sender_totals{incarnation, {}, {}});
}

std::map<target_id, std::uint64_t> grant_receiver::receive(time_point valid_from, time_point now,
                                                           const node_id& from,
                                                           const std::string& sender_incarnation,
                                                           const std::string& own_incarnation,
                                                           const grant_update& update) {
  std::map<target_id, std::uint64_t> new_grants;
  if (update.receiver_incarnation != own_incarnation) {
    return new_grants;
  }
  std::map<target_id, std::uint64_t>& totals = find_sender(from, sender_incarnation).totals;
  for (const auto& [target, total] : update.totals) {
    std::uint64_t& before = totals[target];
    if (total > before && now - valid_from <= max_grant_transit_time) {
      new_grants[target] = total - before;
    }
    before = std::max(before, total);
  }
  return new_grants;
}

std::map<target_id, std::uint64_t> grant_receiver::receive_warming(
    const node_id& from, const std::string& sender_incarnation, const std::string& own_incarnation,
    const grant_update& update) {
  std::map<target_id, std::uint64_t> new_grants;
  if (update.warming.empty() || update.receiver_incarnation != own_incarnation) {
    return new_grants;
  }
  std::map<target_id, std::uint64_t>& totals = find_sender(from, sender_incarnation).warming_totals;
  for (const warming_grant& grant : update.warming) {
    std::uint64_t& before = totals[grant.target];
    if (grant.total > before) {
      new_grants[grant.target] = std::min(grant.total - before, grant.newest);
      before = grant.total;
    }
  }
  return new_grants;
}

}  // namespace arbutus
