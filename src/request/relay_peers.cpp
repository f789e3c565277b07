// Chooses peers by what they did with calls, the calls that they have, strength and data centre.
#include "request/relay_peers.h"

#include <algorithm>

namespace arbutus {

void relay_peers::growing_pause::extend(time_point now, duration first, duration most) {
  constexpr std::uint32_t max_doublings = 16;
  const duration pause = std::min(most, first * (1U << std::min(failures, max_doublings)));
  ++failures;
  failed_at = now;
  ends_at = now + pause;
}

relay_peers::peer_standing relay_peers::standing(time_point now, const service_id& service,
                                                 const peer_state& peer) const {
  const auto recent = [&](time_point t) { return t != time_point{} && now - t < settings_.memory; };
  const auto found = peer.services.find(service);
  const service_state known = found == peer.services.end() ? service_state{} : found->second;
  const time_point takes_at = std::max(known.taken_at, known.named_at);
  const time_point declines_at = std::max(known.unreachable.failed_at, peer.silent.failed_at);
  if (recent(takes_at) && takes_at > declines_at) {
    return peer_standing::takes;
  }
  return recent(declines_at) ? peer_standing::declines : peer_standing::unknown;
}

bool relay_peers::is_paused(time_point now, const service_id& service, const peer_state& peer) {
  if (now < peer.full_until || now < peer.silent.ends_at) {
    return true;
  }
  const auto found = peer.services.find(service);
  return found != peer.services.end() && now < found->second.unreachable.ends_at;
}

relay_peers::survey relay_peers::survey_peers(time_point now, const service_id& service,
                                              std::span<const node_record> nodes) const {
  static const peer_state nothing_known;
  survey result;
  result.candidates.reserve(nodes.size());
  for (const node_record& node : nodes) {
    const auto found = states_.find(node.id);
    const peer_state& peer = found == states_.end() ? nothing_known : found->second;
    const peer_standing known = standing(now, service, peer);
    data_centre_state& data_centre = result.data_centres[node.data_centre];
    data_centre.taking += known == peer_standing::takes ? 1 : 0;
    data_centre.declining += known == peer_standing::declines ? 1 : 0;
    const bool has_address = !node.relay.host.empty();
    if (has_address && !is_paused(now, service, peer)) {
      result.candidates.push_back({&node, &peer, known, &data_centre});
    }
  }
  return result;
}

std::size_t relay_peers::count_declines(time_point now, const service_id& service,
                                        std::span<const node_id> tried) const {
  return static_cast<std::size_t>(std::count_if(tried.begin(), tried.end(), [&](const node_id& id) {
    const auto found = states_.find(id);
    return found != states_.end() &&
           standing(now, service, found->second) == peer_standing::declines;
  }));
}

double relay_peers::chance_of(const candidate& c) const {
  switch (c.standing) {
    case peer_standing::takes:
      return 1;
    case peer_standing::declines:
      return settings_.chance_after_decline;
    case peer_standing::unknown:
      break;
  }
  const auto taking = static_cast<double>(c.data_centre->taking + 1);
  return taking / (taking + static_cast<double>(c.data_centre->declining));
}

std::optional<node_record> relay_peers::choose(time_point now, const service_id& service,
                                               std::span<const node_record> nodes,
                                               const data_centre_id& home,
                                               std::span<const node_id> tried, rng& random) const {
  if (tried.size() >= settings_.max_peers_per_call) {
    return std::nullopt;
  }
  const bool asks_unlikely =
      count_declines(now, service, tried) < settings_.max_declines_before_unlikely;
  const node_record* best = nullptr;
  double best_cost = 0;
  const survey peers = survey_peers(now, service, nodes);
  for (const candidate& c : peers.candidates) {
    const double chance = chance_of(c);
    if (chance < settings_.min_likely_chance && !asks_unlikely) {
      continue;
    }
    const double strength = std::max<double>(c.node->strength.processor_permille, 1);
    const double distance = c.node->data_centre == home ? 1 : settings_.remote_cost_factor;
    const double cost = static_cast<double>(c.peer->calls + 1) * distance / strength / chance *
                        (1 + settings_.random_fraction * random.unit());
    const bool is_better = best == nullptr || cost < best_cost;
    if (is_better && std::find(tried.begin(), tried.end(), c.node->id) == tried.end()) {
      best = c.node;
      best_cost = cost;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

void relay_peers::sent(time_point now, const node_id& id) {
  peer_state& state = states_[id];
  if (state.calls == 0) {
    state.heard_at = now;
  }
  ++state.calls;
}

void relay_peers::ended(const node_id& id) {
  peer_state& state = states_[id];
  state.calls -= state.calls > 0 ? 1 : 0;
}

void relay_peers::heard(time_point now, const node_id& id) {
  states_[id].heard_at = now;
}

void relay_peers::unresponsive(time_point now, const node_id& id) {
  states_[id].silent.extend(now, settings_.first_unresponsive_pause, settings_.max_pause);
}

void relay_peers::taken(time_point now, const service_id& service, const node_id& id) {
  peer_state& peer = states_[id];
  peer.silent = {};
  peer.services[service] = {now, {}, {}};
}

void relay_peers::declined(time_point now, const service_id& service, const node_id& id,
                           const relay_decline& answer, std::span<const node_record> nodes) {
  peer_state& peer = states_[id];
  switch (answer.reason) {
    case decline_reason::cut_off:
      peer.services[service].unreachable.extend(now, settings_.first_decline_pause,
                                                settings_.max_pause);
      break;
    case decline_reason::full:
      peer.full_until = now + settings_.full_pause;
      break;
    case decline_reason::unfit:
      peer.silent.extend(now, settings_.first_decline_pause, settings_.max_pause);
      break;
  }
  for (const node_id& taker : answer.takers) {
    if (std::ranges::find(nodes, taker, &node_record::id) == nodes.end()) {
      continue;
    }
    // The peer may have seen it so long ago.
    const time_point seen_at = now - settings_.naming_time;
    service_state& named = states_[taker].services[service];
    if (seen_at > named.unreachable.failed_at) {
      named.named_at = std::max(named.named_at, seen_at);
      named.unreachable = {};
    }
  }
}

std::vector<node_id> relay_peers::takers(time_point now, const service_id& service) const {
  std::vector<std::pair<time_point, node_id>> recent;
  for (const auto& [id, peer] : states_) {
    const auto found = peer.services.find(service);
    const time_point at = found == peer.services.end() ? time_point{} : found->second.taken_at;
    const bool takes = at != time_point{} && now - at < settings_.naming_time &&
                       standing(now, service, peer) == peer_standing::takes &&
                       now >= peer.full_until;
    if (takes) {
      recent.emplace_back(at, id);
    }
  }
  std::sort(recent.rbegin(), recent.rend());
  std::vector<node_id> ids;
  for (const auto& [at, id] : recent) {
    if (ids.size() < max_named_takers) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::vector<node_id> relay_peers::take_silent(time_point now) {
  std::vector<node_id> silent;
  for (auto& [id, state] : states_) {
    if (state.calls > 0 && now - state.heard_at > settings_.silence_limit) {
      state.heard_at = now;
      silent.push_back(id);
    }
  }
  return silent;
}

}  // namespace arbutus
