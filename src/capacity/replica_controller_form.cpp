// Chooses free engines for new replicas: first within a domain, then across the domains of a data
// centre, then across data centres.
#include <algorithm>

#include "capacity/replica_controller_tick.h"

namespace arbutus {

void replica_controller::form_replicas(tick_context& ctx) {
  std::vector<fabric_domain_id> domains;
  for (const auto& entry : ctx.free_engines) {
    domains.push_back(entry.first);
  }
  // The model with the fewest replicas relative to its work comes first.
  std::vector<const model_spec*> models;
  for (const model_spec& model : ctx.engine.models) {
    models.push_back(&model);
  }
  std::map<model_id, double> replicas;
  for (const auto& [key, group] : ctx.formed_in_all_data_centres) {
    if (!is_spare_name(key.name) && !ctx.is_evacuated(*group.members.front())) {
      replicas[model_of_name(key.name)] += 1;
    }
  }
  const auto engines_per_share = [&](const model_spec* model) {
    const auto index = static_cast<std::size_t>(model - ctx.engine.models.data());
    return replicas[model->id] * model->size / std::max(ctx.shares[index], 1e-3);
  };
  std::stable_sort(models.begin(), models.end(), [&](const auto* a, const auto* b) {
    return engines_per_share(a) < engines_per_share(b);
  });
  for (const fabric_domain_id& domain : domains) {
    for (const model_spec* model : models) {
      form_in_domain(ctx, domain, *model);
    }
  }
  // At a cold start, ready engines wait for the engines of their domain that are still loading.
  for (const model_spec* model : models) {
    const bool fits = std::any_of(ctx.engines_by_domain.begin(), ctx.engines_by_domain.end(),
                                  [&](const auto& e) { return e.second >= model->size; });
    if (!fits || !ctx.own.is_first_start || ctx.own.requests_seen) {
      form_across_domains(ctx, *model);
      form_across_data_centres(ctx, *model);
    }
  }
}

// Free engines that can join a replica of the model immediately.
std::vector<const target_view*> replica_controller::ready_engines(
    const std::vector<const target_view*>& free, const model_spec& model) const {
  std::vector<const target_view*> ready;
  for (const target_view* view : free) {
    const local_engine_state& local = local_states_.at(view->record.id);
    const auto& member_of = view->record.member_of;
    const bool loading = member_of && member_of->state == member_state::joining;
    if (withheld_.contains({view->record.domain, model.id})) {
      continue;
    }
    if (local.ready_model == model.id && !loading && local.loading_model.empty() &&
        is_current(*view, local) && !local.order_pending) {
      ready.push_back(view);
    }
  }
  return ready;
}

void replica_controller::form_in_domain(tick_context& ctx, const fabric_domain_id& domain,
                                        const model_spec& model) {
  auto& free = ctx.free_engines[domain];
  for (;;) {
    std::vector<const target_view*> ready = ready_engines(free, model);
    if (ready.size() < model.size) {
      reclaim(ctx, domain, model, ready.size());
      return;
    }
    ready.resize(model.size);
    start_forming(ctx, model, ready);
  }
}

void replica_controller::start_forming(tick_context& ctx, const model_spec& model,
                                       const std::vector<const target_view*>& members) {
  forming_replica f;
  f.model = model.id;
  f.started_at = ctx.now;
  for (const target_view* view : members) {
    f.members.push_back(view->record.id);
    f.replica_when_chosen.emplace(view->record.id, replica_of(*view));
  }
  f.key = {replica_name(model.id, origin_, f.members), next_epoch()};
  if (can_order(ctx, f.members.front())) {
    send(ctx, *members.front(), order_action::join, f.key, "forms", f.model, f.members);
  }
  ctx.engines_in_use.insert(f.members.begin(), f.members.end());
  for (auto& [domain, free] : ctx.free_engines) {
    std::erase_if(free,
                  [&](const target_view* v) { return ctx.engines_in_use.contains(v->record.id); });
  }
  forming_.push_back(std::move(f));
}

// Forms a replica of engines that remain in several domains of a data centre. It is slow, but its
// callers are served late rather than refused.
void replica_controller::form_across_domains(tick_context& ctx, const model_spec& model) {
  for (const data_centre_id& data_centre : ctx.own.data_centres) {
    std::vector<const target_view*> ready = free_engines_in(ctx, data_centre, model);
    if (ready.size() >= model.size) {
      ready.resize(model.size);
      start_forming(ctx, model, ready);
    }
  }
}

std::vector<const target_view*> replica_controller::free_engines_in(
    const tick_context& ctx, const data_centre_id& data_centre, const model_spec& model) const {
  std::vector<const target_view*> ready;
  for (const auto& [domain, free] : ctx.free_engines) {
    for (const target_view* view : ready_engines(free, model)) {
      if (view->record.data_centre == data_centre) {
        ready.push_back(view);
      }
    }
  }
  return ready;
}

// Engines in data centres of other controllers that are ready for the model and, as far as this
// node knows, in no replica. Their own controller may use them simultaneously: then the count in
// one of the orders does not match, and the replica of that order is abandoned.
std::vector<const target_view*> replica_controller::free_engines_in_other_data_centres(
    const tick_context& ctx, const model_spec& model) const {
  std::map<data_centre_id, std::vector<const target_view*>> by_data_centre;
  for (const auto& [id, view] : ctx.fleet.all()) {
    const bool usable = view.record.service == ctx.service.id && !ctx.is_in_own_data_centre(view) &&
                        tick_context::alive(&view) && !view.record.draining &&
                        !ctx.is_evacuated(view) && !ctx.engines_in_use.contains(id) &&
                        !ctx.unreachable.contains(view.record.data_centre);
    const auto local = local_states_.find(id);
    if (!usable || local == local_states_.end() || local->second.ready_model != model.id) {
      continue;
    }
    const auto& member_of = view.record.member_of;
    const bool spare = member_of && is_spare_name(member_of->replica.name) &&
                       member_of->state == member_state::ready;
    if (!member_of || spare || ctx.vacated_replicas.contains(member_of->replica)) {
      by_data_centre[view.record.data_centre].push_back(&view);
    }
  }
  std::vector<const target_view*> result;
  for (const auto& [data_centre, ready] : by_data_centre) {
    // A data centre with enough engines forms a replica of its own.
    if (ready.size() < model.size) {
      result.insert(result.end(), ready.begin(), ready.end());
    }
  }
  return result;
}

// Forms a replica across data centres for a model that none of them can hold. Without this, five
// data centres of 13 engines each refuse all requests for a model of size 16 although 65 engines
// work. The controller of the data centre with the most free engines of the model uses those of
// other data centres as well. The head is one of its own engines, because only the controller of
// the head opens and dissolves the replica.
void replica_controller::form_across_data_centres(tick_context& ctx, const model_spec& model) {
  // Records of a replica whose members have ended remain for a while, so all members are checked.
  const auto is_local = [&](const formed_replica& replica) {
    return model_of_name(replica.key.name) == model.id && !is_spare_name(replica.key.name) &&
           replica.members.size() == model.size &&
           std::all_of(replica.members.begin(), replica.members.end(), [&](const target_view* m) {
             return tick_context::alive(m) && !ctx.is_evacuated(*m) &&
                    m->record.data_centre == replica.members.front()->record.data_centre;
           });
  };
  const bool has_local =
      std::any_of(ctx.formed_in_all_data_centres.begin(), ctx.formed_in_all_data_centres.end(),
                  [&](const auto& entry) { return is_local(entry.second); });
  if (has_local) {
    no_local_replica_since_.erase(model.id);
    return;
  }
  const time_point since = no_local_replica_since_.emplace(model.id, ctx.now).first->second;
  const bool too_small_everywhere =
      std::all_of(ctx.engines_by_data_centre.begin(), ctx.engines_by_data_centre.end(),
                  [&](const auto& e) { return e.second < model.size; });
  if (!too_small_everywhere && ctx.now - since < settings_.cross_data_centre_delay) {
    return;
  }
  std::vector<const target_view*> own;
  for (const data_centre_id& data_centre : ctx.own.data_centres) {
    const auto ready = free_engines_in(ctx, data_centre, model);
    own.insert(own.end(), ready.begin(), ready.end());
  }
  const std::vector<const target_view*> others = free_engines_in_other_data_centres(ctx, model);
  if (own.empty() || own.size() + others.size() < model.size ||
      !has_most_free_engines(own, others)) {
    return;
  }
  std::vector<const target_view*> members = std::move(own);
  for (const target_view* view : others) {
    if (is_current(*view, local_states_.at(view->record.id))) {
      members.push_back(view);
    } else {
      request_report(ctx, *view);
    }
  }
  if (members.size() >= model.size) {
    members.resize(model.size);
    start_forming(ctx, model, members);
  }
}

// Whether no other data centre has more of the engines, or equally many and a lower name. This way
// all controllers agree on the one that forms the replica.
bool replica_controller::has_most_free_engines(const std::vector<const target_view*>& own,
                                               const std::vector<const target_view*>& others) {
  std::map<data_centre_id, std::size_t> counts;
  for (const target_view* view : others) {
    ++counts[view->record.data_centre];
  }
  const data_centre_id& home = own.front()->record.data_centre;
  return std::all_of(counts.begin(), counts.end(), [&](const auto& entry) {
    return entry.second < own.size() || (entry.second == own.size() && home < entry.first);
  });
}

// Dissolves a cross-domain replica if the domain could form a replica with its members.
void replica_controller::reclaim(tick_context& ctx, const fabric_domain_id& domain,
                                 const model_spec& model, std::size_t ready) {
  if (ready == 0) {
    return;
  }
  for (const formed_replica& cross_domain_replicas : ctx.cross_domain_replicas) {
    const auto here =
        std::count_if(cross_domain_replicas.members.begin(), cross_domain_replicas.members.end(),
                      [&](const target_view* member) { return member->record.domain == domain; });
    const bool fits = model_of_name(cross_domain_replicas.key.name) == model.id &&
                      ready + static_cast<std::size_t>(here) >= model.size;
    if (fits && !closing_since_.contains(cross_domain_replicas.key)) {
      closing_since_.emplace(cross_domain_replicas.key, ctx.now);
      return;
    }
  }
}

}  // namespace arbutus
