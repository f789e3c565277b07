// Divides the engines among the models by demand: which shares are in force, and which serving
// replicas are closed so that their engines can load another model.
#include <algorithm>

#include "capacity/replica_controller_tick.h"

namespace arbutus {

// What a search for surplus replicas knows about a fabric domain of this node's data centres.
struct replica_controller::surplus_search {
  const domain_state& state;
  std::uint32_t needed = 0;     // engines that other models are short of
  std::uint32_t available = 0;  // free engines that will load another model
  std::uint32_t closing = 0;    // engines of replicas that are being closed
  // Replicas that are formed or being formed and not being closed, by model.
  std::vector<std::uint32_t> replicas = {};

  // Whether the domain has more engines of the model than planned, and the planned replicas of it.
  [[nodiscard]] bool has_surplus(std::size_t model, std::uint32_t size) const {
    return needed > 0 && state.ready[model] > state.desired[model] &&
           replicas[model] >= state.desired[model] / size;
  }
};

namespace {

bool is_serving(const target_view* head) {
  return head != nullptr && head->listed && !head->lost && head->record.member_of &&
         head->record.member_of->state == member_state::open;
}

}  // namespace

// Determines the models' shares of engine time for this tick.
void replica_controller::update_shares(tick_context& ctx) {
  for (const model_spec& model : ctx.engine.models) {
    ctx.shares.push_back(model.expected_engine_time_fraction);
  }
  if (!ctx.own.plans_by_demand) {
    demand_plan_ = {};
    return;
  }
  std::set<model_id> served;
  for (const auto& [key, group] : ctx.formed_in_all_data_centres) {
    if (!is_spare_name(key.name) && is_serving(ctx.fleet.find(head_of(key.name)))) {
      served.insert(model_of_name(key.name));
    }
  }
  std::size_t engines = 0;
  for (const auto& entry : ctx.engines_by_domain) {
    engines += entry.second;
  }
  const bool has_unserved_model =
      std::any_of(ctx.engine.models.begin(), ctx.engine.models.end(),
                  [&](const model_spec& m) { return !served.contains(m.id); });
  ctx.shares_changed = demand_plan_.update(
      ctx.now, ctx.engine,
      {ctx.service.id, ctx.own.demand, ctx.own.heard_nodes, engines, has_unserved_model});
  demand_changes_ += ctx.shares_changed ? 1 : 0;
  ctx.shares = demand_plan_.shares();
}

void replica_controller::update_model_plans(const tick_context& ctx) {
  model_plans_.clear();
  if (!ctx.own.plans_by_demand) {
    return;
  }
  const std::vector<double> work = demand_plan_.work();
  for (std::size_t m = 0; m < ctx.engine.models.size(); ++m) {
    const model_spec& model = ctx.engine.models[m];
    model_plan plan{model.id,
                    total_demand(ctx.own.demand, {ctx.service.id, model.id}).calls_per_second,
                    work[m], ctx.shares[m], 0};
    for (const auto& [id, domain] : ctx.domains) {
      plan.planned_replicas += domain.desired[m] / model.size;
    }
    model_plans_.push_back(std::move(plan));
  }
}

// Whether a shortage that arises now is due to a change by demand. If a domain has lost or gained
// engines since the change, the shortage may be due to that.
bool replica_controller::is_demand_change(const tick_context& ctx) const {
  if (!ctx.own.plans_by_demand || !demand_changed_at_ ||
      ctx.now - *demand_changed_at_ >= settings_.demand_change_window ||
      engines_at_demand_change_.size() != ctx.domains.size()) {
    return false;
  }
  return std::all_of(ctx.domains.begin(), ctx.domains.end(), [&](const auto& entry) {
    const auto known = engines_at_demand_change_.find(entry.first);
    return known != engines_at_demand_change_.end() && known->second == entry.second.engines();
  });
}

// Whether closing the replica could leave its model without a serving replica. Controllers of
// several data centres may close replicas at the same time, so the first data centre with a replica
// of the model keeps one.
bool replica_controller::is_last_of_model(const tick_context& ctx,
                                          const formed_replica& replica) const {
  const model_id model = model_of_name(replica.key.name);
  bool first_data_centre = true;
  std::size_t elsewhere = 0;
  for (const auto& [key, group] : ctx.formed_in_all_data_centres) {
    const target_view* head = ctx.fleet.find(head_of(key.name));
    if (key == replica.key || is_spare_name(key.name) || model_of_name(key.name) != model ||
        surplus_.contains(key) || !is_serving(head)) {
      continue;
    }
    if (ctx.is_in_own_data_centre(*head)) {
      return false;
    }
    ++elsewhere;
    first_data_centre = first_data_centre &&
                        !(head->record.data_centre < replica.members.front()->record.data_centre);
  }
  return elsewhere == 0 || first_data_centre;
}

// The domains that are short of a model, and what they have in this node's data centres.
std::map<fabric_domain_id, replica_controller::surplus_search>
replica_controller::find_short_domains(const tick_context& ctx) const {
  const std::vector<model_spec>& models = ctx.engine.models;
  std::map<fabric_domain_id, surplus_search> result;
  for (const auto& [id, domain] : ctx.domains) {
    surplus_search search{domain};
    search.replicas.resize(models.size());
    for (std::size_t m = 0; m < models.size(); ++m) {
      search.needed += is_short(ctx, id, m) ? domain.desired[m] - domain.ready[m] : 0;
    }
    if (search.needed > 0) {
      result.emplace(id, std::move(search));
    }
  }
  return result;
}

// Chooses the replicas to close because the plan needs their engines for another model. Closes no
// more at once than the weight store can then load: engines that wait for a load would serve
// longer.
void replica_controller::choose_surplus(tick_context& ctx) {
  withheld_.clear();
  std::map<fabric_domain_id, surplus_search> searches;
  if (ctx.own.plans_by_demand) {
    searches = find_short_domains(ctx);
  }
  const auto search_of = [&](const target_view* head) -> surplus_search* {
    const auto found = head == nullptr ? searches.end() : searches.find(head->record.domain);
    return found == searches.end() ? nullptr : &found->second;
  };
  // A replica goes on serving if its engines are no longer needed elsewhere, or no other replica of
  // its model serves.
  std::erase_if(surplus_, [&](const replica_key& key) {
    const auto group = ctx.formed.find(key);
    return group == ctx.formed.end() || search_of(ctx.fleet.find(head_of(key.name))) == nullptr ||
           is_last_of_model(ctx, group->second);
  });
  if (searches.empty()) {
    return;
  }
  std::vector<const formed_replica*> serving;
  for (const auto& [key, group] : ctx.formed) {
    const target_view* head = ctx.fleet.find(head_of(key.name));
    surplus_search* search = search_of(head);
    const auto model = ctx.model_index(model_of_name(key.name));
    if (search == nullptr || !model || is_spare_name(key.name) ||
        group.members.size() != ctx.engine.models[*model].size) {
      continue;
    }
    if (surplus_.contains(key)) {
      search->closing += ctx.engine.models[*model].size;
      continue;
    }
    ++search->replicas[*model];
    const bool in_one_domain = std::all_of(
        group.members.begin(), group.members.end(),
        [&](const target_view* member) { return member->record.domain == head->record.domain; });
    if (is_serving(head) && in_one_domain && ctx.is_in_own_data_centre(*head)) {
      serving.push_back(&group);
    }
  }
  for (auto& [id, search] : searches) {
    count_available(ctx, id, search);
  }
  close_surplus(ctx, searches, serving);
  for (const auto& [id, search] : searches) {
    for (const model_spec& model : ctx.engine.models) {
      if (search.has_surplus(*ctx.model_index(model.id), model.size)) {
        withheld_.emplace(id, model.id);
      }
    }
  }
}

void replica_controller::count_available(const tick_context& ctx, const fabric_domain_id& domain,
                                         surplus_search& search) const {
  const auto free = ctx.free_engines.find(domain);
  if (free == ctx.free_engines.end()) {
    return;
  }
  for (const target_view* view : free->second) {
    const local_engine_state& local = local_states_.at(view->record.id);
    const auto model = ctx.model_index(local.ready_model);
    const bool surplus = model && search.has_surplus(*model, ctx.engine.models[*model].size);
    search.available += surplus && !is_loading(*view, local) ? 1 : 0;
  }
}

void replica_controller::close_surplus(const tick_context& ctx,
                                       std::map<fabric_domain_id, surplus_search>& searches,
                                       const std::vector<const formed_replica*>& serving) {
  std::size_t loading = ctx.loading_in_own_data_centres;
  for (const auto& [id, search] : searches) {
    loading += std::min(search.available, search.needed) + search.closing;
  }
  // Idle replicas first, and of equally loaded ones the newest.
  std::vector<std::pair<double, const formed_replica*>> by_load;
  for (const formed_replica* replica : serving) {
    const bool known = ctx.own.loads != nullptr;
    by_load.emplace_back(known ? ctx.own.loads->total(head_of(replica->key.name)).active : 0,
                         replica);
  }
  std::sort(by_load.begin(), by_load.end(), [](const auto& a, const auto& b) {
    return a.first < b.first || (a.first == b.first && a.second->key.epoch > b.second->key.epoch);
  });
  for (const auto& [active, replica] : by_load) {
    if (loading >= ctx.own_load_limit()) {
      return;
    }
    const std::size_t model = *ctx.model_index(model_of_name(replica->key.name));
    const std::uint32_t size = ctx.engine.models[model].size;
    surplus_search& search = searches.at(replica->members.front()->record.domain);
    const bool may_close = search.has_surplus(model, size) &&
                           search.replicas[model] > search.state.desired[model] / size &&
                           search.available + search.closing < search.needed;
    if (!may_close || is_last_of_model(ctx, *replica)) {
      continue;
    }
    surplus_.insert(replica->key);
    ++surplus_closed_;
    --search.replicas[model];
    search.closing += size;
    loading += size;
  }
}

}  // namespace arbutus
