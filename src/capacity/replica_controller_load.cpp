// Decides which engine loads which model.
#include <algorithm>
#include <cmath>

#include "capacity/cross_domain_layout.h"
#include "capacity/replica_controller_tick.h"

namespace arbutus {

namespace {

// Whether the model's weights are on the engine's host, so that the engine need not load them from
// the weight store.
bool is_staged(const target_view& view, const model_id& model) {
  const auto& staged = view.record.staged;
  return std::find(staged.begin(), staged.end(), model) != staged.end();
}

layout_settings settings_for_plan(bool by_demand, std::size_t engines) {
  layout_settings settings;
  if (by_demand) {
    // Demand changes seldom and only by much, see demand_plan.h, and a change is worth its loads. A
    // move of a tenth of the engines has to save a tenth of the cost. With the other value, 150
    // engines did not follow demand at all: no domain gained enough by itself.
    settings.change_cost_weight = std::min(
        settings.change_cost_weight, 1.0 / static_cast<double>(std::max<std::size_t>(engines, 1)));
  }
  return settings;
}

}  // namespace

// Counts the engines of all data centres that are not evacuated, by domain and model, and updates
// the plan. Every controller computes the same plan from them.
void replica_controller::update_plan(tick_context& ctx) {
  for (const auto& [view, local] : ctx.engines) {
    if (ctx.is_evacuated(view)) {
      // A shortage of before the evacuation must not count as persistent after it.
      std::erase_if(shortage_since_, [&domain = view.record.domain](const auto& entry) {
        return entry.first.first == domain;
      });
      continue;
    }
    if (!tick_context::alive(&view) || view.record.draining) {
      continue;
    }
    const bool loads = is_loading(view, local);
    if (loads && !is_staged(view, model_for(view, local))) {
      ++ctx.loading_engines;
      ctx.loading_in_own_data_centres += ctx.is_in_own_data_centre(view) ? 1 : 0;
    }
    domain_state& domain = ctx.domains[view.record.domain];
    domain.ready.resize(ctx.engine.models.size(), 0);
    const auto position = ctx.model_index(model_for(view, local));
    if (position) {
      ++domain.ready[*position];
    } else {
      ++domain.unloaded;
    }
  }
  std::vector<layout_domain> domains;
  for (const auto& [id, domain] : ctx.domains) {
    domains.push_back({domain.ready, domain.unloaded});
  }
  std::vector<layout_model> models;
  for (std::size_t m = 0; m < ctx.engine.models.size(); ++m) {
    // The shares are of engine time: a replica of twice the size does twice the work.
    const std::uint32_t size = ctx.engine.models[m].size;
    models.push_back({size, ctx.shares[m] / size});
  }
  if (domains != plan_input_domains_ || models != plan_input_models_) {
    planned_layout_ =
        plan_fleet_layout(domains, models, ctx.engine.cross_domain_slowdown_factor,
                          settings_for_plan(ctx.own.plans_by_demand, ctx.engines.size()));
    plan_input_domains_ = domains;
    plan_input_models_ = models;
  }
  const fleet_layout& layout = planned_layout_;
  std::size_t index = 0;
  plan_.clear();
  for (auto& [id, domain] : ctx.domains) {
    domain.desired = layout[index++];
    const auto free = ctx.free_engines.find(id);
    plan_.push_back({id, domain.ready, domain.desired, domain.unloaded,
                     free == ctx.free_engines.end() ? 0 : free->second.size()});
  }
  if (ctx.shares_changed) {
    demand_changed_at_ = ctx.now;
    engines_at_demand_change_.clear();
    for (const auto& [id, domain] : ctx.domains) {
      engines_at_demand_change_[id] = domain.engines();
    }
  }
  update_shortages(ctx);
  update_model_plans(ctx);
}

// The model that the engine has loaded or is loading.
model_id replica_controller::model_for(const target_view& view,
                                       const local_engine_state& local) const {
  if (!local.loading_model.empty()) {
    return local.loading_model;
  }
  if (local.ready_model.empty() && view.record.member_of) {
    return model_of_name(view.record.member_of->replica.name);
  }
  return local.ready_model;
}

void replica_controller::update_shortages(const tick_context& ctx) {
  const time_point since = is_demand_change(ctx) ? ctx.now - settings_.model_switch_delay : ctx.now;
  for (const auto& [id, domain] : ctx.domains) {
    for (std::size_t m = 0; m < ctx.engine.models.size(); ++m) {
      const std::pair key(id, ctx.engine.models[m].id);
      if (domain.ready[m] < domain.desired[m]) {
        time_point& known = shortage_since_.emplace(key, since).first->second;
        known = std::min(known, since);
      } else {
        shortage_since_.erase(key);
      }
    }
  }
}

// Whether the domain has had fewer engines of the model than planned for long enough to switch
// engines to it.
bool replica_controller::is_short(const tick_context& ctx, const fabric_domain_id& domain,
                                  std::size_t model) const {
  const auto since = shortage_since_.find({domain, ctx.engine.models[model].id});
  return since != shortage_since_.end() && ctx.now - since->second >= settings_.model_switch_delay;
}

bool replica_controller::is_loading(const target_view& view,
                                    const local_engine_state& local) const {
  const auto& member_of = view.record.member_of;
  const bool joining = member_of && member_of->state == member_state::joining;
  return !local.loading_model.empty() || (joining && local.ready_model.empty());
}

// Whether the surplus engines of one model, which cannot form a replica of it, would complete a
// replica of the other model. Switching them costs only spares. Without this, 15 engines would wait
// 10 s and a load for the 16th one while 3 engines of a model of size 4 stay unused.
bool replica_controller::surplus_completes_replica(const tick_context& ctx,
                                                   const domain_state& domain, std::size_t from,
                                                   std::size_t to) {
  const std::uint32_t surplus = domain.ready[from] % ctx.engine.models[from].size;
  const std::uint32_t size = ctx.engine.models[to].size;
  const std::uint32_t partial = domain.ready[to] % size;
  return partial > 0 && size - partial <= surplus;
}

// How much the fleet gains if this engine loads the model, as a score to compare the engines of a
// domain; empty if the engine should not load it. What all engines gain alike by the model, see
// model_need(), is not included.
std::optional<double> replica_controller::model_load_gain(const tick_context& ctx,
                                                          const target_view& view,
                                                          std::size_t model) const {
  const local_engine_state& local = local_states_.at(view.record.id);
  const model_spec& candidate = ctx.engine.models[model];
  const domain_state& domain = ctx.domains.at(view.record.domain);
  if (local.ready_model == candidate.id || domain.ready[model] >= domain.desired[model]) {
    return std::nullopt;
  }
  const auto current = ctx.model_index(local.ready_model);
  // A ready engine switches to a different model only if its domain has a surplus of its current
  // model, and has been short of the other one for some time or can complete a replica of it.
  const bool persistent = is_short(ctx, view.record.domain, model);
  if (current && (domain.ready[*current] <= domain.desired[*current] ||
                  !(persistent || surplus_completes_replica(ctx, domain, *current, model)))) {
    return std::nullopt;
  }
  const bool staged = is_staged(view, candidate.id);
  // Prefers replicas that need the fewest loads to be complete.
  const std::uint32_t missing = candidate.size - domain.ready[model] % candidate.size;
  constexpr double staged_weight = 5;  // a staged model loads in 1 to 2 s instead of 12 to 16 s
  constexpr double unloaded_weight = 2;
  return (staged ? staged_weight : 0) + (current ? 0 : unloaded_weight) -
         static_cast<double>(missing) / candidate.size;
}

// How much the fleet needs more replicas of a model: more the fewer it has relative to its work.
double replica_controller::model_need(const tick_context& ctx, std::size_t model) {
  const model_spec& spec = ctx.engine.models[model];
  double replicas = 0;
  for (const auto& [id, domain] : ctx.domains) {
    replicas += std::floor(static_cast<double>(domain.ready[model]) / spec.size);
  }
  constexpr double share_weight = 10;
  return share_weight * ctx.shares[model] / spec.size / (replicas + 1);
}

// The best engine of a domain for each model, among those that may load it.
std::vector<replica_controller::load_candidate> replica_controller::load_candidates(
    const tick_context& ctx, const std::vector<const target_view*>& free, bool may_load,
    const std::set<target_id>& rejected) const {
  std::vector<load_candidate> best(ctx.engine.models.size());
  for (const target_view* view : free) {
    if (rejected.contains(view->record.id) ||
        is_loading(*view, local_states_.at(view->record.id))) {
      continue;
    }
    for (std::size_t m = 0; m < best.size(); ++m) {
      if (!may_load && !is_staged(*view, ctx.engine.models[m].id)) {
        continue;
      }
      const auto gain = model_load_gain(ctx, *view, m);
      if (gain && (best[m].view == nullptr || *gain > best[m].gain)) {
        best[m] = {view, *gain};
      }
    }
  }
  return best;
}

// Loads the planned models on free engines, within the limit on loads from the weight store.
//
// After each start only the candidates of its domain are computed again. Computing all of them,
// with the replicas of each domain counted for each engine, takes over half a second of a core with
// 1,000 free engines. A hub sends no heartbeats meanwhile: its nodes follow the store themselves,
// and use leaving targets for seconds.
void replica_controller::assign_models(tick_context& ctx) {
  const bool unlimited = ctx.own.is_first_start && !ctx.own.requests_seen &&
                         ctx.now - started_ >= settings_.cold_start_limit_duration;
  const std::size_t share = ctx.own_load_limit();
  // Each data centre may use its share of the store's loads, and any part that others leave.
  const auto may_load_now = [&] {
    return unlimited || ctx.loading_in_own_data_centres < share ||
           ctx.loading_engines < ctx.engine.concurrent_loads;
  };
  std::set<target_id> rejected;
  bool may_load = may_load_now();
  std::map<fabric_domain_id, std::vector<load_candidate>> candidates;
  const auto compute = [&](const fabric_domain_id& domain) {
    candidates[domain] = load_candidates(ctx, ctx.free_engines[domain], may_load, rejected);
  };
  const auto compute_all = [&] {
    for (const auto& entry : ctx.free_engines) {
      compute(entry.first);
    }
  };
  compute_all();
  std::vector<double> need(ctx.engine.models.size());
  for (;;) {
    for (std::size_t m = 0; m < need.size(); ++m) {
      need[m] = model_need(ctx, m);
    }
    load_candidate best;
    std::size_t model = 0;
    for (const auto& [domain, of_domain] : candidates) {
      for (std::size_t m = 0; m < of_domain.size(); ++m) {
        const double gain = of_domain[m].gain + need[m];
        if (of_domain[m].view != nullptr && (best.view == nullptr || gain > best.gain)) {
          best = {of_domain[m].view, gain};
          model = m;
        }
      }
    }
    if (best.view == nullptr) {
      return;
    }
    const fabric_domain_id domain = best.view->record.domain;
    if (!can_order(ctx, best.view->record.id)) {
      rejected.insert(best.view->record.id);
      compute(domain);
      continue;
    }
    start_loading(ctx, *best.view, model);
    if (may_load != may_load_now()) {
      may_load = !may_load;
      compute_all();
    } else {
      compute(domain);
    }
  }
}

void replica_controller::start_loading(tick_context& ctx, const target_view& view,
                                       std::size_t model) {
  const target_id& id = view.record.id;
  local_engine_state& local = local_states_[id];
  domain_state& domain = ctx.domains[view.record.domain];
  if (const auto current = ctx.model_index(local.ready_model)) {
    --domain.ready[*current];
  } else {
    --domain.unloaded;
  }
  ++domain.ready[model];
  if (!is_staged(view, ctx.engine.models[model].id)) {
    ++ctx.loading_engines;
    ++ctx.loading_in_own_data_centres;
  }
  local.ready_model = {};
  local.loading_model = ctx.engine.models[model].id;
  local.load_started_at = ctx.now;
  send(ctx, view, order_action::join, {spare_name(local.loading_model, id), next_epoch()},
       "gets ready", local.loading_model, {id});
  std::erase_if(ctx.free_engines[view.record.domain],
                [&](const target_view* v) { return v->record.id == id; });
}

}  // namespace arbutus
