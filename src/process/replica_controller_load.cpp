// Decides which engine loads which model.
#include <algorithm>
#include <cmath>

#include "process/cross_domain_layout.h"
#include "process/replica_controller_tick.h"

namespace arbutus {

namespace {

// Whether the model's weights are on the engine's host, so that the engine need not load them from
// the weight store.
bool is_staged(const target_view& view, const model_id& model) {
  const auto& staged = view.record.staged;
  return std::find(staged.begin(), staged.end(), model) != staged.end();
}

}  // namespace

// Counts the engines of all data centres by domain and model and updates the plan. Every controller
// computes the same plan from them.
void replica_controller::update_plan(tick_context& ctx) {
  for (const auto& [id, view] : ctx.fleet.all()) {
    if (view.record.service != ctx.service.id || !tick_context::alive(&view) ||
        view.record.draining) {
      continue;
    }
    const local_engine_state& local = local_states_[id];
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
  for (const model_spec& model : ctx.engine.models) {
    // expected_engine_time_fraction is a share of engine time: a replica of twice the size does
    // twice the work.
    models.push_back({model.size, model.expected_engine_time_fraction / model.size});
  }
  if (domains != plan_input_domains_ || models != plan_input_models_) {
    planned_layout_ = plan_fleet_layout(domains, models, ctx.engine.cross_domain_slowdown_factor);
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
  update_shortages(ctx);
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
  for (const auto& [id, domain] : ctx.domains) {
    for (std::size_t m = 0; m < ctx.engine.models.size(); ++m) {
      const std::pair key(id, ctx.engine.models[m].id);
      if (domain.ready[m] < domain.desired[m]) {
        shortage_since_.emplace(key, ctx.now);
      } else {
        shortage_since_.erase(key);
      }
    }
  }
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

// How much the fleet gains if this engine loads the model, as a score to compare engines and
// models; empty if the engine should not load it.
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
  const auto since = shortage_since_.find({view.record.domain, candidate.id});
  const bool persistent =
      since != shortage_since_.end() && ctx.now - since->second >= settings_.model_switch_delay;
  if (current && (domain.ready[*current] <= domain.desired[*current] ||
                  !(persistent || surplus_completes_replica(ctx, domain, *current, model)))) {
    return std::nullopt;
  }
  const bool staged = is_staged(view, candidate.id);
  // Prefers replicas that need the fewest loads to be complete, and models with the fewest replicas
  // relative to their work.
  const std::uint32_t missing = candidate.size - domain.ready[model] % candidate.size;
  double replicas = 0;
  for (const auto& [id, other] : ctx.domains) {
    replicas += std::floor(static_cast<double>(other.ready[model]) / candidate.size);
  }
  constexpr double share_weight = 10;
  constexpr double staged_weight = 5;  // a staged model loads in 1 to 2 s instead of 12 to 16 s
  constexpr double unloaded_weight = 2;
  return share_weight * candidate.expected_engine_time_fraction / candidate.size / (replicas + 1) -
         static_cast<double>(missing) / candidate.size + (staged ? staged_weight : 0) +
         (current ? 0 : unloaded_weight);
}

// Loads the planned models on free engines, within the limit on loads from the weight store.
void replica_controller::assign_models(tick_context& ctx) {
  const bool unlimited = cold_start_ && !ctx.own.requests_seen &&
                         ctx.now - started_ >= settings_.cold_start_limit_duration;
  const auto share = std::max<std::size_t>(
      1, ctx.engine.concurrent_loads * std::max<std::size_t>(1, ctx.own.data_centres.size()) /
             std::max<std::size_t>(1, ctx.own.all_data_centres));
  for (;;) {
    // Each data centre may use its share of the store's loads, and any part that others leave.
    const bool may_load = unlimited || ctx.loading_in_own_data_centres < share ||
                          ctx.loading_engines < ctx.engine.concurrent_loads;
    const target_view* best = nullptr;
    std::size_t best_model = 0;
    double best_gain = 0;
    for (const auto& [domain, free] : ctx.free_engines) {
      for (const target_view* view : free) {
        if (is_loading(*view, local_states_[view->record.id])) {
          continue;
        }
        for (std::size_t m = 0; m < ctx.engine.models.size(); ++m) {
          const auto gain = model_load_gain(ctx, *view, m);
          const bool allowed = may_load || is_staged(*view, ctx.engine.models[m].id);
          const bool better = gain && allowed && (best == nullptr || *gain > best_gain);
          if (better && can_order(ctx, view->record.id)) {
            best = view;
            best_model = m;
            best_gain = *gain;
          }
        }
      }
    }
    if (best == nullptr) {
      return;
    }
    start_loading(ctx, *best, best_model);
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
