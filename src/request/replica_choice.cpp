// Expected times on a replica, and the choice by them.
#include "request/replica_choice.h"

#include <algorithm>
#include <limits>

namespace arbutus {

namespace {

bool contains(std::span<const target_id> list, const target_id& id) {
  return std::find(list.begin(), list.end(), id) != list.end();
}

void add_loads(std::map<target_id, replica_load>& sum,
               const std::map<target_id, replica_load>& loads) {
  for (const auto& [id, load] : loads) {
    replica_load& total = sum[id];
    total.active += load.active;
    total.unread_tokens += load.unread_tokens;
  }
}

// Goes wrong: counts of a head that was forgotten in between would wrap below zero.
void subtract(double& value, double by) {
  value = std::max(0.0, value - by);
}

}  // namespace

void load_table::sent(const target_id& head, const generation_size& size) {
  replica_load& load = own_[head];
  load.active += 1;
  load.unread_tokens += size.prompt_tokens;
}

void load_table::first_event(const target_id& head, const generation_size& size) {
  subtract(own_[head].unread_tokens, size.prompt_tokens);
}

void load_table::ended(const target_id& head, const generation_size& size, bool had_first_event) {
  const auto found = own_.find(head);
  if (found == own_.end()) {
    return;
  }
  subtract(found->second.active, 1);
  if (!had_first_event) {
    subtract(found->second.unread_tokens, size.prompt_tokens);
  }
  if (found->second.active < 0.5) {
    own_.erase(found);
  }
}

void load_table::heard(const node_id& peer, const data_centre_id& data_centre, time_point now,
                       std::map<target_id, replica_load> loads) {
  peers_[peer] = {now, data_centre, std::move(loads)};
}

std::map<target_id, replica_load> load_table::all_but(const node_id& peer) const {
  std::map<target_id, replica_load> sum = own_;
  for (const auto& [id, told] : peers_) {
    if (id != peer) {
      add_loads(sum, told.loads);
    }
  }
  return sum;
}

std::map<target_id, replica_load> load_table::all_of(const data_centre_id& data_centre) const {
  std::map<target_id, replica_load> sum = own_;
  for (const auto& [id, told] : peers_) {
    if (told.data_centre == data_centre) {
      add_loads(sum, told.loads);
    }
  }
  return sum;
}

void load_table::forget_peers(time_point now) {
  std::erase_if(peers_,
                [now](const auto& entry) { return now - entry.second.heard_at > peer_memory; });
}

replica_load load_table::total(const target_id& head) const {
  replica_load sum;
  if (const auto found = own_.find(head); found != own_.end()) {
    sum = found->second;
  }
  for (const auto& [peer, told] : peers_) {
    if (const auto found = told.loads.find(head); found != told.loads.end()) {
      sum.active += found->second.active;
      sum.unread_tokens += found->second.unread_tokens;
    }
  }
  return sum;
}

replica_estimate estimate(const engine_parameters& engine, const model_shape& model,
                          const replica_load& load, const generation_size& size, double pace,
                          bool crosses_domains) {
  const double factor =
      model.pace * std::max(pace, 1.0) * (crosses_domains ? engine.cross_domain_factor : 1.0);
  const double writers = std::min(load.active, static_cast<double>(engine.slots));
  const double context_k = (engine.usual_prompt + engine.usual_answer / 2) / 1000;
  const double step_ms =
      to_milliseconds(engine.step) +
      (writers + 1) * (engine.step_per_sequence_ms + engine.context_ms_per_k * context_k);
  const double pass_ms = step_ms * engine.stride;
  const double read_ms_per_token = 1000.0 / std::max(engine.read_tokens_per_s, 1.0);
  const double pairs_ms = size.prompt_tokens * size.prompt_tokens / 2e6 * engine.pair_ms_per_m;
  const double own_read_ms = size.prompt_tokens * read_ms_per_token + pairs_ms;
  const double others_read_ms = load.unread_tokens * read_ms_per_token;
  // Half a pass until the running one ends, when there is one.
  const double running_ms = load.active > 0.5 ? pass_ms / 2 : 0;
  double first_ms = running_ms + others_read_ms + own_read_ms + pass_ms;
  const double beyond = load.active - static_cast<double>(engine.slots);
  if (beyond >= 0) {
    // One of the running requests has to end first; they end spread over a usual generation.
    const double generation_ms = engine.usual_answer * step_ms;
    first_ms += generation_ms * (beyond + 1) / std::max<double>(engine.slots, 1);
  }
  replica_estimate result;
  result.to_first_event = from_seconds(first_ms * factor / 1000);
  result.between_events = from_seconds(pass_ms * factor / 1000);
  result.active = load.active;
  return result;
}

replica_choice choose_replica(const engine_parameters& engine, const model_shape& model,
                              std::span<const serving_replica> candidates, const load_table& loads,
                              const choice_request& request, const choice_settings& settings) {
  std::optional<chosen_replica> best;
  double best_cost = std::numeric_limits<double>::max();
  duration soonest = duration::max();
  bool any_known = false;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const serving_replica& replica = candidates[i];
    if (contains(request.avoided, replica.head)) {
      continue;
    }
    const replica_load load = loads.total(replica.head);
    const replica_estimate expected =
        estimate(engine, model, load, request.size, replica.pace, replica.crosses_domains);
    any_known = true;
    soonest = std::min(soonest, expected.to_first_event);
    const bool full = load.active >= static_cast<double>(engine.slots) + settings.beyond_slots;
    if (full || expected.to_first_event > request.time_left) {
      continue;
    }
    double cost = to_seconds(expected.to_first_event);
    if (replica.data_centre != request.home) {
      cost += to_seconds(settings.away_penalty + 2 * settings.away_delay);
    }
    if (contains(request.suspected, replica.head)) {
      cost += 10;  // only when there is nothing else
    }
    if (cost < best_cost) {
      best_cost = cost;
      best = chosen_replica{i, expected};
    }
  }
  if (best) {
    return *best;
  }
  if (!any_known) {
    return no_replica{500ms, "no replica of the model serves"};
  }
  return no_replica{std::clamp<duration>(soonest, 100ms, 2s), "every replica is full"};
}

}  // namespace arbutus
