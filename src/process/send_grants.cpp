// Distributes and counts grants.
#include "process/send_grants.h"

#include <algorithm>

namespace arbutus {

namespace {

// A hub that was paused does not issue the grants of the missed time later.
constexpr duration longest_round = 500ms;

double demand_of(const std::map<target_id, double>& demand, const target_id& target) {
  const auto found = demand.find(target);
  return found == demand.end() ? 0 : found->second;
}

}  // namespace

void send_grants::set_demand(time_point now, const node_id& peer, const std::string& life,
                             bool is_other_hub, std::map<target_id, double> demand) {
  receiver& r = receivers_[peer];
  if (r.life != life) {
    r.granted.clear();
  }
  r.reported_at = now;
  r.life = life;
  r.is_other_hub = is_other_hub;
  r.demand = std::move(demand);
}

void send_grants::received(const target_id& target, std::uint64_t count) {
  to_forward_[target] += static_cast<double>(count);
}

void send_grants::round(time_point now, rng& random, const std::map<target_id, double>& issued) {
  const duration elapsed = round_at_ == time_point{} ? duration{} : now - round_at_;
  round_at_ = now;
  std::erase_if(issuing_, [&](const auto& entry) { return !issued.contains(entry.first); });
  for (const auto& [target, per_second] : issued) {
    double& stock = issuing_[target];
    stock += std::max(per_second, least_per_second) * to_seconds(std::min(elapsed, longest_round));
    hand_out(now, random, target, true, stock);
  }
  for (auto& [target, stock] : to_forward_) {
    hand_out(now, random, target, false, stock);
  }
  to_forward_.clear();
}

void send_grants::hand_out(time_point now, rng& random, const target_id& target, bool to_other_hubs,
                           double& stock) {
  for (; stock >= 1; stock -= 1) {
    receiver* to = pick_receiver(now, random, target, to_other_hubs);
    if (to == nullptr) {
      stock = std::min(stock, 1.0);
      return;
    }
    grant_count& count = to->granted[target];
    ++count.total;
    count.granted_at = now;
  }
}

send_grants::receiver* send_grants::pick_receiver(time_point now, rng& random,
                                                  const target_id& target, bool to_other_hubs) {
  const auto weight = [&](const receiver& r) {
    const bool is_eligible =
        now - r.reported_at < demand_validity && (to_other_hubs || !r.is_other_hub);
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

grant_news send_grants::news_for(time_point now, const node_id& peer) const {
  const auto found = receivers_.find(peer);
  if (found == receivers_.end()) {
    return {};
  }
  grant_news news{found->second.life, {}};
  for (const auto& [target, count] : found->second.granted) {
    if (now - count.granted_at < told_for) {
      news.totals.emplace_back(target, count.total);
    }
  }
  return news;
}

std::map<target_id, double> send_grants::demand_here(time_point now) const {
  std::map<target_id, double> sum;
  for (const auto& [id, r] : receivers_) {
    if (r.is_other_hub || now - r.reported_at >= demand_validity) {
      continue;
    }
    for (const auto& [target, demand] : r.demand) {
      sum[target] += demand;
    }
  }
  return sum;
}

grant_receiver::sender_life& grant_receiver::find_life(const node_id& from,
                                                       const std::string& life) {
  std::deque<sender_life>& known_incarnations = senders_[from];
  const auto found = std::ranges::find(known_incarnations, life, &sender_life::life);
  if (found != known_incarnations.end()) {
    return *found;
  }
  if (known_incarnations.size() == most_lives) {
    known_incarnations.pop_front();
  }
  return known_incarnations.emplace_back(sender_life{life, {}});
}

std::map<target_id, std::uint64_t> grant_receiver::take(time_point valid_from, time_point now,
                                                        const node_id& from,
                                                        const std::string& life_of_sender,
                                                        const std::string& own_life,
                                                        const grant_news& news) {
  std::map<target_id, std::uint64_t> new_grants;
  if (news.receiver_life != own_life) {
    return new_grants;
  }
  std::map<target_id, std::uint64_t>& totals = find_life(from, life_of_sender).totals;
  for (const auto& [target, total] : news.totals) {
    std::uint64_t& before = totals[target];
    if (total > before && now - valid_from <= longest_way) {
      new_grants[target] = total - before;
    }
    before = std::max(before, total);
  }
  return new_grants;
}

}  // namespace arbutus
