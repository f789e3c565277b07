// Estimates response times per replica and chooses a replica by them.
#include "request/replica_choice.h"

#include <algorithm>
#include <cmath>

namespace arbutus {

namespace {

bool contains(std::span<const target_id> list, const target_id& id) {
  return std::find(list.begin(), list.end(), id) != list.end();
}

void add(replica_load& sum, const replica_load& load) {
  sum.active += load.active;
  sum.pending_prefill_tokens += load.pending_prefill_tokens;
}

// Raises a load to another one that covers the same requests.
void raise(replica_load& to, const replica_load& load) {
  to.active = std::max(to.active, load.active);
  to.pending_prefill_tokens = std::max(to.pending_prefill_tokens, load.pending_prefill_tokens);
}

void add_loads(std::map<target_id, replica_load>& sum,
               const std::map<target_id, replica_load>& loads) {
  for (const auto& [id, load] : loads) {
    add(sum[id], load);
  }
}

void raise_loads(std::map<target_id, replica_load>& to,
                 const std::map<target_id, replica_load>& loads) {
  for (const auto& [id, load] : loads) {
    raise(to[id], load);
  }
}

replica_load load_of(const std::map<target_id, replica_load>& loads, const target_id& head) {
  const auto found = loads.find(head);
  return found == loads.end() ? replica_load{} : found->second;
}

// Subtracts from a load but not below zero: the head's load may have been erased since `by` was
// added to it.
void subtract(double& value, double by) {
  value = std::max(0.0, value - by);
}

// Time of one decode step of an engine that runs `active` requests and one more.
double estimate_step_ms(const engine_parameters& engine, double active) {
  const double generating = std::min(active, static_cast<double>(engine.slots)) + 1;
  const double context_k = (engine.mean_prompt_tokens + engine.mean_answer_tokens / 2) / 1000;
  return to_milliseconds(engine.step) +
         generating * (engine.step_per_sequence_ms + engine.context_ms_per_1k_tokens * context_k);
}

// Expected wait for a slot of a replica. If all slots are taken, running requests are assumed to
// end evenly spread over the time of a mean generation. With free slots, the wait rises already
// before all slots are taken, since the load is known only in part. It approximates a queue with
// one server per slot (the probability of waiting by Erlang C for 26 to 30 servers is 0.1 at 80 %
// load and close to 0 at 50 %).
double wait_for_slot_ms(const engine_parameters& engine, double active, double generation_ms) {
  const double slots = std::max<double>(engine.slots, 1);
  const double completion_interval_ms = generation_ms / slots;
  if (active >= slots) {
    return completion_interval_ms * (active - slots + 1);
  }
  constexpr double steepness = 8;
  const double use = active / slots;
  const double queue = std::pow(use, steepness) / (1 - use);
  // The wait is at most the time until the next request ends, since the known load leaves a slot
  // free.
  return completion_interval_ms * std::min(queue, 1.0);
}

// Mean delay that other nodes' requests not yet reported to this node may add at a replica. By
// Little's law, as many requests arrive during one generation as are running.
duration unreported_load_delay(const engine_parameters& engine, const model_spec& model,
                               std::span<const serving_replica> candidates,
                               std::span<const replica_load> candidate_loads,
                               const load_table& loads, duration peer_load_age) {
  double all = 0;
  double of_others = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const double active = candidate_loads[i].active;
    all += active;
    of_others += active - loads.own_active(candidates[i].head);
  }
  const double count = static_cast<double>(std::max<std::size_t>(candidates.size(), 1));
  const double generation_ms =
      engine.mean_answer_tokens * estimate_step_ms(engine, all / count) * model.slowdown_factor;
  const double arrivals =
      of_others / count *
      std::min(1.0, to_milliseconds(peer_load_age) / std::max(generation_ms, 1.0));
  const double prefill_ms = engine.mean_prompt_tokens * 1000.0 /
                            std::max(engine.prefill_tokens_per_s, 1.0) * model.slowdown_factor;
  return from_seconds(arrivals * prefill_ms / 1000);
}

// Whether a response of the declared length would miss its deadline. Without this check, a long
// response may start on a replica across domains, which is 2.5 times slower, and be cut off at its
// deadline.
bool misses_deadline(const engine_parameters& engine, const replica_estimate& expected,
                     const choice_request& request) {
  const double events =
      request.size.answer_tokens / std::max<double>(engine.decode_steps_per_pass, 1);
  const duration response_time =
      expected.to_first_event + from_seconds(events * to_seconds(expected.between_events));
  return response_time > request.time_left;
}

struct candidate {
  std::size_t index{};
  replica_estimate expected;
  double cost_s = 0;
  bool is_penalized = false;  // it would miss the deadline, or is unresponsive
};

// Softmin sampling: each candidate has the weight exp(-(cost - best cost) / spread).
const candidate& sample_candidate(std::vector<candidate>& candidates, double spread_s,
                                  double random_sample) {
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const candidate& a, const candidate& b) { return a.cost_s < b.cost_s; });
  const double best = candidates.front().cost_s;
  const auto weight = [&](const candidate& c) {
    return spread_s > 0 ? std::exp((best - c.cost_s) / spread_s) : 0.0;
  };
  double sum = 0;
  for (const candidate& c : candidates) {
    sum += weight(c);
  }
  double left = random_sample * sum;
  for (const candidate& c : candidates) {
    left -= weight(c);
    if (left < 0) {
      return c;
    }
  }
  return candidates.front();
}

// Samples with weights by the room of the candidates, among those without a penalty if there are
// any. Null if none has room.
const candidate* sample_by_room(std::span<const candidate> candidates,
                                std::span<const double> can_take, double random_sample) {
  const bool any_unpenalized =
      std::ranges::any_of(candidates, [](const candidate& c) { return !c.is_penalized; });
  const auto weight = [&](const candidate& c) {
    return any_unpenalized && c.is_penalized ? 0.0 : can_take[c.index];
  };
  double sum = 0;
  for (const candidate& c : candidates) {
    sum += weight(c);
  }
  double left = random_sample * sum;
  for (const candidate& c : candidates) {
    left -= weight(c);
    if (left < 0) {
      return &c;
    }
  }
  return nullptr;
}

}  // namespace

void load_table::sent(const target_id& head, const generation_size& size) {
  replica_load& load = own_loads_[head];
  load.active += 1;
  load.pending_prefill_tokens += size.prompt_tokens;
}

void load_table::first_event(const target_id& head, const generation_size& size) {
  subtract(own_loads_[head].pending_prefill_tokens, size.prompt_tokens);
}

void load_table::ended(const target_id& head, const generation_size& size, bool had_first_event) {
  const auto found = own_loads_.find(head);
  if (found == own_loads_.end()) {
    return;
  }
  subtract(found->second.active, 1);
  if (!had_first_event) {
    subtract(found->second.pending_prefill_tokens, size.prompt_tokens);
  }
  if (found->second.active < 0.5) {
    own_loads_.erase(found);
  }
}

void load_table::set_peer_loads(const node_id& peer, const data_centre_id& data_centre,
                                load_scope scope, time_point now,
                                std::map<target_id, replica_load> loads) {
  peer_loads reported{now, std::move(loads)};
  switch (scope) {
    case load_scope::node:
      nodes_[peer] = std::move(reported);
      break;
    case load_scope::data_centre:
      hubs_elsewhere_[data_centre][peer] = std::move(reported);
      break;
    case load_scope::deployment:
      nodes_.erase(peer);
      deployment_ = std::move(reported);
      break;
  }
}

std::map<target_id, replica_load> load_table::all() const {
  std::map<target_id, replica_load> sum;
  for (const auto& [id, reported] : nodes_) {
    add_loads(sum, reported.loads);
  }
  for (const auto& [data_centre, hubs] : hubs_elsewhere_) {
    std::map<target_id, replica_load> there;
    for (const auto& [id, reported] : hubs) {
      raise_loads(there, reported.loads);
    }
    add_loads(sum, there);
  }
  raise_loads(sum, deployment_.loads);
  add_loads(sum, own_loads_);
  return sum;
}

std::map<target_id, replica_load> load_table::all_except(
    const node_id& peer, std::map<target_id, replica_load> all) const {
  const auto reported = nodes_.find(peer);
  if (reported == nodes_.end()) {
    return all;
  }
  for (const auto& [id, load] : reported->second.loads) {
    const auto found = all.find(id);
    if (found == all.end()) {
      continue;
    }
    subtract(found->second.active, load.active);
    subtract(found->second.pending_prefill_tokens, load.pending_prefill_tokens);
    if (found->second.active < 0.5) {
      all.erase(found);
    }
  }
  return all;
}

std::map<target_id, replica_load> load_table::all_at_home() const {
  std::map<target_id, replica_load> sum = own_loads_;
  for (const auto& [id, reported] : nodes_) {
    add_loads(sum, reported.loads);
  }
  return sum;
}

void load_table::forget_peers(time_point now, bool is_hub) {
  const auto is_expired = [now](const auto& entry) {
    return now - entry.second.received_at > peer_load_validity;
  };
  std::erase_if(nodes_, is_expired);
  for (auto& [data_centre, hubs] : hubs_elsewhere_) {
    std::erase_if(hubs, is_expired);
  }
  const duration validity = is_hub ? predecessor_load_validity : peer_load_validity;
  if (now - deployment_.received_at > validity) {
    deployment_.loads.clear();
  }
}

replica_load load_table::total(const target_id& head) const {
  replica_load reported;
  for (const auto& [id, node] : nodes_) {
    add(reported, load_of(node.loads, head));
  }
  for (const auto& [data_centre, hubs] : hubs_elsewhere_) {
    replica_load there;
    for (const auto& [id, hub] : hubs) {
      raise(there, load_of(hub.loads, head));
    }
    add(reported, there);
  }
  raise(reported, load_of(deployment_.loads, head));
  add(reported, load_of(own_loads_, head));
  return reported;
}

double load_table::own_active(const target_id& head) const {
  const auto found = own_loads_.find(head);
  return found == own_loads_.end() ? 0 : found->second.active;
}

replica_estimate estimate(const engine_parameters& engine, const model_spec& model,
                          const replica_load& load, const generation_size& size,
                          double slowdown_factor, bool crosses_domains) {
  const double factor = model.slowdown_factor * std::max(slowdown_factor, 1.0) *
                        (crosses_domains ? engine.cross_domain_slowdown_factor : 1.0);
  const double step_ms = estimate_step_ms(engine, load.active);
  const double pass_ms = step_ms * engine.decode_steps_per_pass;
  const double prefill_ms_per_token = 1000.0 / std::max(engine.prefill_tokens_per_s, 1.0);
  const double pairs_ms =
      size.prompt_tokens * size.prompt_tokens / 2e6 * engine.attention_ms_per_million_pairs;
  const double own_prefill_ms = size.prompt_tokens * prefill_ms_per_token + pairs_ms;
  const double queued_prefill_ms = load.pending_prefill_tokens * prefill_ms_per_token;
  // If a pass is running, a new request waits half a pass on average until that pass ends.
  const double running_ms = load.active > 0.5 ? pass_ms / 2 : 0;
  double first_ms = running_ms + queued_prefill_ms + own_prefill_ms + pass_ms;
  first_ms += wait_for_slot_ms(engine, load.active, engine.mean_answer_tokens * step_ms);
  replica_estimate result;
  result.to_first_event = from_seconds(first_ms * factor / 1000);
  result.modelled_first_event = result.to_first_event;
  result.between_events = from_seconds(pass_ms * factor / 1000);
  // While a request generates, the prompts of those that take the places of others are read.
  const double events =
      engine.mean_answer_tokens / std::max<double>(engine.decode_steps_per_pass, 1);
  const double reading_ms = std::min(load.active, static_cast<double>(engine.slots)) *
                            engine.mean_prompt_tokens * prefill_ms_per_token;
  result.request_time = from_seconds((first_ms + reading_ms + events * pass_ms) * factor / 1000);
  result.active = load.active;
  return result;
}

std::vector<replica_load> loads_of(std::span<const serving_replica> replicas,
                                   const load_table& loads) {
  std::vector<replica_load> result;
  result.reserve(replicas.size());
  for (const serving_replica& replica : replicas) {
    result.push_back(loads.total(replica.head));
  }
  return result;
}

replica_choice choose_replica(const engine_parameters& engine, const model_spec& model,
                              std::span<const serving_replica> candidates, const load_table& loads,
                              const choice_request& request, const choice_settings& settings) {
  std::vector<replica_load> looked_up;
  std::span<const replica_load> candidate_loads = request.candidate_loads;
  if (candidate_loads.size() != candidates.size()) {
    looked_up = loads_of(candidates, loads);
    candidate_loads = looked_up;
  }
  std::vector<candidate> usable;
  duration soonest = duration::max();
  bool any_known = false;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const serving_replica& replica = candidates[i];
    if (contains(request.avoided, replica.head)) {
      continue;
    }
    const replica_load& load = candidate_loads[i];
    replica_estimate expected = estimate(engine, model, load, request.size, replica.slowdown_factor,
                                         replica.crosses_domains);
    expected.to_first_event += request.first_event_correction;
    any_known = true;
    soonest = std::min(soonest, expected.to_first_event);
    const bool full =
        load.active >= static_cast<double>(engine.slots) + settings.max_requests_beyond_slots;
    if (full || expected.to_first_event > request.time_left) {
      continue;
    }
    double cost = to_seconds(expected.to_first_event);
    if (replica.data_centre != request.home) {
      cost += to_seconds(settings.remote_penalty + 2 * settings.default_remote_delay);
    }
    const bool misses = misses_deadline(engine, expected, request);
    const bool suspected = contains(request.suspected_heads, replica.head);
    if (misses) {
      cost += to_seconds(settings.deadline_miss_penalty);
    }
    if (suspected) {
      cost += 10;  // an unresponsive replica is chosen only if there is no other
    }
    usable.push_back({i, expected, cost, misses || suspected});
  }
  if (!usable.empty()) {
    if (request.can_take.size() == candidates.size()) {
      const candidate* by_room = sample_by_room(usable, request.can_take, request.random_sample);
      if (by_room != nullptr) {
        return chosen_replica{by_room->index, by_room->expected};
      }
    }
    const duration spread = unreported_load_delay(engine, model, candidates, candidate_loads, loads,
                                                  settings.peer_load_age);
    const candidate& chosen = sample_candidate(usable, to_seconds(spread), request.random_sample);
    return chosen_replica{chosen.index, chosen.expected};
  }
  if (!any_known) {
    return no_replica{500ms, "no replica of the model serves", true};
  }
  return no_replica{std::clamp<duration>(soonest, 100ms, 2s), "every replica is full"};
}

}  // namespace arbutus
