// Decides which engine loads which model.
#include <algorithm>
#include <cmath>

#include "process/far_shape.h"
#include "process/replica_keeper_round.h"

namespace arbutus {

namespace {

// Whether the weights are on the engine's host, so that no load from the weight store is needed.
bool is_staged(const target_view& view, const model_id& model) {
  const auto& staged = view.record.staged;
  return std::find(staged.begin(), staged.end(), model) != staged.end();
}

}  // namespace

// Counts the engines of all data centres by domain and model and updates the plan. Every controller
// computes the same plan from them.
void replica_keeper::survey(tick_context& ctx) {
  for (const auto& [id, view] : ctx.fleet.all()) {
    if (view.record.service != ctx.service.id || !tick_context::alive(&view) ||
        view.record.draining) {
      continue;
    }
    const engine_memory& local = memory_[id];
    const bool loads = is_loading(view, local);
    if (loads && !is_staged(view, model_for(view, local))) {
      ++ctx.loading;
      ctx.loading_own += ctx.is_own(view) ? 1 : 0;
    }
    domain_state& domain = ctx.domains[view.record.domain];
    domain.ready.resize(ctx.engine.models.size(), 0);
    const auto position = ctx.model_index(model_for(view, local));
    if (position) {
      ++domain.ready[*position];
    } else {
      ++domain.blank;
    }
  }
  std::vector<shape_domain> domains;
  for (const auto& [id, domain] : ctx.domains) {
    domains.push_back({domain.ready, domain.blank});
  }
  std::vector<shape_model> models;
  for (const model_shape& model : ctx.engine.models) {
    // work_share is a share of engine time: a replica of twice the size does twice the work.
    models.push_back({model.size, model.work_share / model.size});
  }
  if (domains != planned_domains_ || models != planned_models_) {
    planned_ = plan_fleet(domains, models, ctx.engine.cross_domain_factor);
    planned_domains_ = domains;
    planned_models_ = models;
  }
  const fleet_shape& layout = planned_;
  std::size_t index = 0;
  plan_.clear();
  for (auto& [id, domain] : ctx.domains) {
    domain.wanted = layout[index++];
    const auto free = ctx.free.find(id);
    plan_.push_back({id, domain.ready, domain.wanted, domain.blank,
                     free == ctx.free.end() ? 0 : free->second.size()});
  }
  note_shortages(ctx);
}

// The model that the engine has loaded or is loading.
model_id replica_keeper::model_for(const target_view& view, const engine_memory& local) const {
  if (!local.load_for.empty()) {
    return local.load_for;
  }
  if (local.ready_for.empty() && view.record.member_of) {
    return model_in(view.record.member_of->replica.name);
  }
  return local.ready_for;
}

void replica_keeper::note_shortages(const tick_context& ctx) {
  for (const auto& [id, domain] : ctx.domains) {
    for (std::size_t m = 0; m < ctx.engine.models.size(); ++m) {
      const std::pair key(id, ctx.engine.models[m].id);
      if (domain.ready[m] < domain.wanted[m]) {
        short_since_.emplace(key, ctx.now);
      } else {
        short_since_.erase(key);
      }
    }
  }
}

bool replica_keeper::is_loading(const target_view& view, const engine_memory& local) const {
  const auto& member_of = view.record.member_of;
  const bool joining = member_of && member_of->state == member_state::joining;
  return !local.load_for.empty() || (joining && local.ready_for.empty());
}

// Whether the surplus engines of one model, which cannot form a replica of it, would complete a
// replica of the other model. Switching them costs only spares. Without this, 15 engines would wait
// 10 s and a load for the 16th one while 3 engines of a model of size 4 stay unused.
bool replica_keeper::completes_with_surplus(const tick_context& ctx, const domain_state& domain,
                                            std::size_t from, std::size_t to) {
  const std::uint32_t surplus = domain.ready[from] % ctx.engine.models[from].size;
  const std::uint32_t size = ctx.engine.models[to].size;
  const std::uint32_t partial = domain.ready[to] % size;
  return partial > 0 && size - partial <= surplus;
}

// The gain of loading the model on this engine; empty if it should not be loaded.
std::optional<double> replica_keeper::gain_of_load(const tick_context& ctx, const target_view& view,
                                                   std::size_t model) const {
  const engine_memory& local = memory_.at(view.record.id);
  const model_shape& candidate = ctx.engine.models[model];
  const domain_state& domain = ctx.domains.at(view.record.domain);
  if (local.ready_for == candidate.id || domain.ready[model] >= domain.wanted[model]) {
    return std::nullopt;
  }
  const auto current = ctx.model_index(local.ready_for);
  // A ready engine switches to a different model only if its domain has a surplus of its current
  // model, and has been short of the other one for some time or can complete a replica of it.
  const auto since = short_since_.find({view.record.domain, candidate.id});
  const bool persistent =
      since != short_since_.end() && ctx.now - since->second >= settings_.change_after;
  if (current && (domain.ready[*current] <= domain.wanted[*current] ||
                  !(persistent || completes_with_surplus(ctx, domain, *current, model)))) {
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
  constexpr double weight_of_share = 10;
  constexpr double weight_of_staged = 5;  // 1 to 2 s instead of 12 to 16 s
  constexpr double weight_of_blank = 2;
  return weight_of_share * candidate.work_share / candidate.size / (replicas + 1) -
         static_cast<double>(missing) / candidate.size + (staged ? weight_of_staged : 0) +
         (current ? 0 : weight_of_blank);
}

// Loads the planned models on free engines, within the limit on loads from the weight store.
void replica_keeper::assign_models(tick_context& ctx) {
  const bool unlimited =
      cold_start_ && !ctx.own.requests_seen && ctx.now - started_ >= settings_.cold_start_rush;
  const auto share = std::max<std::size_t>(
      1, ctx.engine.loads_at_once * std::max<std::size_t>(1, ctx.own.data_centres.size()) /
             std::max<std::size_t>(1, ctx.own.all_data_centres));
  for (;;) {
    // Each data centre may use its share of the store's loads, and any part that others leave.
    const bool may_load =
        unlimited || ctx.loading_own < share || ctx.loading < ctx.engine.loads_at_once;
    const target_view* best = nullptr;
    std::size_t best_model = 0;
    double best_gain = 0;
    for (const auto& [domain, free] : ctx.free) {
      for (const target_view* view : free) {
        if (is_loading(*view, memory_[view->record.id])) {
          continue;
        }
        for (std::size_t m = 0; m < ctx.engine.models.size(); ++m) {
          const auto gain = gain_of_load(ctx, *view, m);
          const bool allowed = may_load || is_staged(*view, ctx.engine.models[m].id);
          const bool better = gain && allowed && (best == nullptr || *gain > best_gain);
          if (better && may_order(ctx, view->record.id)) {
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

void replica_keeper::start_loading(tick_context& ctx, const target_view& view, std::size_t model) {
  const target_id& id = view.record.id;
  engine_memory& local = memory_[id];
  domain_state& domain = ctx.domains[view.record.domain];
  if (const auto current = ctx.model_index(local.ready_for)) {
    --domain.ready[*current];
  } else {
    --domain.blank;
  }
  ++domain.ready[model];
  if (!is_staged(view, ctx.engine.models[model].id)) {
    ++ctx.loading;
    ++ctx.loading_own;
  }
  local.ready_for = {};
  local.load_for = ctx.engine.models[model].id;
  local.load_begun = ctx.now;
  send(ctx, view, order_action::join, {spare_name(local.load_for, id), next_epoch()}, "gets ready",
       local.load_for, {id});
  std::erase_if(ctx.free[view.record.domain],
                [&](const target_view* v) { return v->record.id == id; });
}

}  // namespace arbutus
