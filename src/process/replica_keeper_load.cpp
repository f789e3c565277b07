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
void replica_keeper::survey(round& r) {
  for (const auto& [id, view] : r.fleet.all()) {
    if (view.record.service != r.service.id || !round::alive(&view) || view.record.draining) {
      continue;
    }
    const engine_memory& memory = memory_[id];
    const bool loads = is_loading(view, memory);
    if (loads && !is_staged(view, model_for(view, memory))) {
      ++r.loading;
      r.loading_own += r.is_own(view) ? 1 : 0;
    }
    domain_state& domain = r.domains[view.record.domain];
    domain.ready.resize(r.engine.models.size(), 0);
    const auto position = r.model_index(model_for(view, memory));
    if (position) {
      ++domain.ready[*position];
    } else {
      ++domain.blank;
    }
  }
  std::vector<shape_domain> domains;
  for (const auto& [id, domain] : r.domains) {
    domains.push_back({domain.ready, domain.blank});
  }
  std::vector<shape_model> models;
  for (const model_shape& model : r.engine.models) {
    // work_share is a share of engine time: a replica of twice the size does twice the work.
    models.push_back({model.size, model.work_share / model.size});
  }
  if (domains != planned_domains_ || models != planned_models_) {
    planned_ = plan_fleet(domains, models, r.engine.cross_domain_factor);
    planned_domains_ = domains;
    planned_models_ = models;
  }
  const fleet_shape& shape = planned_;
  std::size_t index = 0;
  plan_.clear();
  for (auto& [id, domain] : r.domains) {
    domain.wanted = shape[index++];
    const auto free = r.free.find(id);
    plan_.push_back({id, domain.ready, domain.wanted, domain.blank,
                     free == r.free.end() ? 0 : free->second.size()});
  }
  note_shortages(r);
}

// The model that the engine has loaded or is loading.
model_id replica_keeper::model_for(const target_view& view, const engine_memory& memory) const {
  if (!memory.load_for.empty()) {
    return memory.load_for;
  }
  if (memory.ready_for.empty() && view.record.member_of) {
    return model_in(view.record.member_of->replica.name);
  }
  return memory.ready_for;
}

void replica_keeper::note_shortages(const round& r) {
  for (const auto& [id, domain] : r.domains) {
    for (std::size_t m = 0; m < r.engine.models.size(); ++m) {
      const std::pair key(id, r.engine.models[m].id);
      if (domain.ready[m] < domain.wanted[m]) {
        short_since_.emplace(key, r.now);
      } else {
        short_since_.erase(key);
      }
    }
  }
}

bool replica_keeper::is_loading(const target_view& view, const engine_memory& memory) const {
  const auto& own = view.record.member_of;
  const bool joining = own && own->state == member_state::joining;
  return !memory.load_for.empty() || (joining && memory.ready_for.empty());
}

// Whether the surplus engines of one model, which cannot form a replica of it, would complete a
// replica of the other model. Switching them costs only spares. Without this, 15 engines would wait
// 10 s and a load for the 16th one while 3 engines of a model of size 4 stay unused.
bool replica_keeper::completes_with_surplus(const round& r, const domain_state& domain,
                                            std::size_t from, std::size_t to) {
  const std::uint32_t surplus = domain.ready[from] % r.engine.models[from].size;
  const std::uint32_t size = r.engine.models[to].size;
  const std::uint32_t begun = domain.ready[to] % size;
  return begun > 0 && size - begun <= surplus;
}

// The gain of loading the model on this engine; empty if it should not be loaded.
std::optional<double> replica_keeper::gain_of_load(const round& r, const target_view& view,
                                                   std::size_t model) const {
  const engine_memory& memory = memory_.at(view.record.id);
  const model_shape& shape = r.engine.models[model];
  const domain_state& domain = r.domains.at(view.record.domain);
  if (memory.ready_for == shape.id || domain.ready[model] >= domain.wanted[model]) {
    return std::nullopt;
  }
  const auto current = r.model_index(memory.ready_for);
  // A ready engine switches to a different model only if its domain has a surplus of its current
  // model, and has been short of the other one for some time or can complete a replica of it.
  const auto since = short_since_.find({view.record.domain, shape.id});
  const bool lasts = since != short_since_.end() && r.now - since->second >= settings_.change_after;
  if (current && (domain.ready[*current] <= domain.wanted[*current] ||
                  !(lasts || completes_with_surplus(r, domain, *current, model)))) {
    return std::nullopt;
  }
  const bool staged = is_staged(view, shape.id);
  // Prefers replicas that need the fewest loads to be complete, and models with the fewest replicas
  // relative to their work.
  const std::uint32_t missing = shape.size - domain.ready[model] % shape.size;
  double replicas = 0;
  for (const auto& [id, other] : r.domains) {
    replicas += std::floor(static_cast<double>(other.ready[model]) / shape.size);
  }
  constexpr double weight_of_share = 10;
  constexpr double weight_of_staged = 5;  // 1 to 2 s instead of 12 to 16 s
  constexpr double weight_of_blank = 2;
  return weight_of_share * shape.work_share / shape.size / (replicas + 1) -
         static_cast<double>(missing) / shape.size + (staged ? weight_of_staged : 0) +
         (current ? 0 : weight_of_blank);
}

// Loads the planned models on free engines, within the limit on loads from the weight store.
void replica_keeper::prepare(round& r) {
  const bool rush =
      cold_start_ && !r.own.requests_seen && r.now - started_ >= settings_.cold_start_rush;
  const auto share = std::max<std::size_t>(
      1, r.engine.loads_at_once * std::max<std::size_t>(1, r.own.data_centres.size()) /
             std::max<std::size_t>(1, r.own.all_data_centres));
  for (;;) {
    // Each data centre may use its share of the store's loads, and any part that others leave.
    const bool may_load = rush || r.loading_own < share || r.loading < r.engine.loads_at_once;
    const target_view* best = nullptr;
    std::size_t best_model = 0;
    double best_gain = 0;
    for (const auto& [domain, free] : r.free) {
      for (const target_view* view : free) {
        if (is_loading(*view, memory_[view->record.id])) {
          continue;
        }
        for (std::size_t m = 0; m < r.engine.models.size(); ++m) {
          const auto gain = gain_of_load(r, *view, m);
          const bool allowed = may_load || is_staged(*view, r.engine.models[m].id);
          const bool better = gain && allowed && (best == nullptr || *gain > best_gain);
          if (better && may_order(r, view->record.id)) {
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
    load(r, *best, best_model);
  }
}

void replica_keeper::load(round& r, const target_view& view, std::size_t model) {
  const target_id& id = view.record.id;
  engine_memory& memory = memory_[id];
  domain_state& domain = r.domains[view.record.domain];
  if (const auto current = r.model_index(memory.ready_for)) {
    --domain.ready[*current];
  } else {
    --domain.blank;
  }
  ++domain.ready[model];
  if (!is_staged(view, r.engine.models[model].id)) {
    ++r.loading;
    ++r.loading_own;
  }
  memory.ready_for = {};
  memory.load_for = r.engine.models[model].id;
  memory.load_begun = r.now;
  send(r, view, order_action::join, {spare_name(memory.load_for, id), next_epoch()}, "gets ready",
       memory.load_for, {id});
  std::erase_if(r.free[view.record.domain],
                [&](const target_view* v) { return v->record.id == id; });
}

}  // namespace arbutus
