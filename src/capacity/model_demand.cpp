// Counts calls and sums the demand of several nodes.
#include "capacity/model_demand.h"

#include <cmath>

namespace arbutus {

namespace {

// Rates below this have decayed to nothing.
constexpr double min_calls_per_second = 0.01;

demand_rate scaled(const demand_rate& rate, double factor) {
  return {rate.calls_per_second * factor, rate.prompt_tokens_per_second * factor,
          rate.answer_tokens_per_second * factor, rate.latency_objective_s};
}

}  // namespace

void demand_rate::add(const demand_rate& other) {
  const double calls = calls_per_second + other.calls_per_second;
  if (calls > 0) {
    latency_objective_s = (latency_objective_s * calls_per_second +
                           other.latency_objective_s * other.calls_per_second) /
                          calls;
  }
  calls_per_second = calls;
  prompt_tokens_per_second += other.prompt_tokens_per_second;
  answer_tokens_per_second += other.answer_tokens_per_second;
}

void add_demand(model_demand& sum, const model_demand& demand) {
  for (const auto& [key, rate] : demand) {
    sum[key].add(rate);
  }
}

demand_rate total_demand(const model_demand& demand, const model_key& model) {
  demand_rate sum;
  for (const auto& [key, rate] : demand) {
    if (key.model == model) {
      sum.add(rate);
    }
  }
  return sum;
}

model_demand with_services(const model_demand& demand, const service_map& services) {
  model_demand result;
  for (const auto& [key, rate] : demand) {
    const service_id* service = &key.model.service;
    if (service->empty()) {
      service = services.find_service_of(key.model.model);
    }
    if (service != nullptr) {
      result[{{*service, key.model.model}, key.priority}].add(rate);
    }
  }
  return result;
}

void demand_table::count_call(time_point now, const demand_key& key, const generation_size& size,
                              duration latency_objective) {
  counted_calls& counted = own_[key];
  const double left = std::exp(-to_seconds(now - counted.at) / to_seconds(time_constant));
  counted.decayed = scaled(counted.decayed, left);
  counted.decayed.add({1, size.prompt_tokens, size.answer_tokens, to_seconds(latency_objective)});
  counted.at = now;
}

void demand_table::set_peer_demand(time_point now, const node_id& peer, load_scope scope,
                                   model_demand demand) {
  peers_[peer] = {now, scope, std::move(demand)};
}

void demand_table::forget_peers(time_point now) {
  std::erase_if(peers_,
                [now](const auto& entry) { return now - entry.second.received_at >= validity; });
}

model_demand demand_table::own(time_point now) const {
  model_demand result;
  for (const auto& [key, counted] : own_) {
    const double left = std::exp(-to_seconds(now - counted.at) / to_seconds(time_constant));
    const demand_rate rate = scaled(counted.decayed, left / to_seconds(time_constant));
    if (rate.calls_per_second >= min_calls_per_second) {
      result.emplace(key, rate);
    }
  }
  return result;
}

model_demand demand_table::sum_of(time_point now, load_scope scope) const {
  model_demand sum;
  for (const auto& [id, peer] : peers_) {
    if (peer.scope == scope && now - peer.received_at < validity) {
      add_demand(sum, peer.demand);
    }
  }
  return sum;
}

model_demand demand_table::at_home(time_point now) const {
  model_demand sum = own(now);
  add_demand(sum, sum_of(now, load_scope::node));
  return sum;
}

// A node's hub reports the demand of all nodes, this one included; a hub adds up the reports of its
// nodes and of the other hubs. While the role of a hub changes hands both are known, and the larger
// one counts.
model_demand demand_table::all(time_point now) const {
  model_demand sum = at_home(now);
  add_demand(sum, sum_of(now, load_scope::data_centre));
  for (const auto& [id, peer] : peers_) {
    if (peer.scope != load_scope::deployment || now - peer.received_at >= validity) {
      continue;
    }
    for (const auto& [key, rate] : peer.demand) {
      demand_rate& known = sum[key];
      known = rate.calls_per_second > known.calls_per_second ? rate : known;
    }
  }
  return sum;
}

}  // namespace arbutus
