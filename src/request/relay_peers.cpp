// Chooses peers by the calls that they have of this node, their strength and their data centre.
#include "request/relay_peers.h"

#include <algorithm>

namespace arbutus {

std::optional<node_record> relay_peers::choose(time_point now, std::span<const node_record> nodes,
                                               const data_centre_id& home,
                                               std::span<const node_id> tried, rng& random) const {
  if (tried.size() >= settings_.max_peers_per_call) {
    return std::nullopt;
  }
  const node_record* best = nullptr;
  double best_cost = 0;
  for (const node_record& node : nodes) {
    const bool has_address = !node.relay.host.empty();
    if (!has_address || std::find(tried.begin(), tried.end(), node.id) != tried.end()) {
      continue;
    }
    double calls = 1;
    if (const auto found = states_.find(node.id); found != states_.end()) {
      if (now < found->second.usable_from) {
        continue;
      }
      calls += static_cast<double>(found->second.calls);
    }
    const double strength = std::max<double>(node.strength.processor_permille, 1);
    const double distance = node.data_centre == home ? 1 : settings_.remote_cost_factor;
    const double cost =
        calls * distance / strength * (1 + settings_.random_fraction * random.unit());
    if (best == nullptr || cost < best_cost) {
      best = &node;
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
  states_[id].usable_from = now + settings_.unresponsive_pause;
}

void relay_peers::not_taken(time_point now, const node_id& id) {
  states_[id].usable_from = now + settings_.not_taking_pause;
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
