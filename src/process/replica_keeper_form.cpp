// Which free engines form which replica: within a domain first, across domains of a data centre
// next, across data centres last.
#include <algorithm>

#include "process/replica_keeper_round.h"

namespace arbutus {

void replica_keeper::form(round& r) {
  std::vector<fabric_domain_id> domains;
  for (const auto& entry : r.free) {
    domains.push_back(entry.first);
  }
  // The model with the fewest replicas for its work first.
  std::vector<const model_shape*> models;
  for (const model_shape& model : r.engine.models) {
    models.push_back(&model);
  }
  std::map<model_id, double> replicas;
  for (const auto& [key, group] : r.standing_all) {
    if (!is_spare_name(key.name)) {
      replicas[model_of_name(key.name)] += 1;
    }
  }
  std::stable_sort(models.begin(), models.end(), [&](const auto* a, const auto* b) {
    return replicas[a->id] * a->size / std::max(a->work_share, 1e-3) <
           replicas[b->id] * b->size / std::max(b->work_share, 1e-3);
  });
  for (const fabric_domain_id& domain : domains) {
    for (const model_shape* model : models) {
      form_in(r, domain, *model);
    }
  }
  // While the first replicas load, what is ready waits for the rest of its domain.
  for (const model_shape* model : models) {
    const bool fits = std::any_of(r.engines_of.begin(), r.engines_of.end(),
                                  [&](const auto& e) { return e.second >= model->size; });
    if (!fits || !cold_start_ || r.own.requests_seen) {
      form_across(r, *model);
      form_across_data_centres(r, *model);
    }
  }
}

// Free engines that join a replica of the model at once.
std::vector<const target_view*> replica_keeper::ready_engines(
    const std::vector<const target_view*>& free, const model_shape& model) const {
  std::vector<const target_view*> ready;
  for (const target_view* view : free) {
    const engine_memory& memory = memory_.at(view->record.id);
    const auto& own = view->record.member_of;
    const bool loading = own && own->state == member_state::joining;
    if (memory.ready_for == model.id && !loading && memory.load_for.empty() &&
        is_current(*view, memory) && !memory.order_pending) {
      ready.push_back(view);
    }
  }
  return ready;
}

void replica_keeper::form_in(round& r, const fabric_domain_id& domain, const model_shape& model) {
  auto& free = r.free[domain];
  for (;;) {
    std::vector<const target_view*> ready = ready_engines(free, model);
    if (ready.size() < model.size) {
      reclaim(r, domain, model, ready.size());
      return;
    }
    ready.resize(model.size);
    begin_forming(r, model, ready);
  }
}

void replica_keeper::begin_forming(round& r, const model_shape& model,
                                   const std::vector<const target_view*>& members) {
  forming_replica f;
  f.model = model.id;
  f.begun = r.now;
  for (const target_view* view : members) {
    f.members.push_back(view->record.id);
    f.chosen_from.emplace(view->record.id, replica_of(*view));
  }
  f.key = {replica_name(model.id, origin_, f.members), next_epoch()};
  if (may_order(r, f.members.front())) {
    send(r, *members.front(), order_action::join, f.key, "forms", f.model, f.members);
  }
  r.taken.insert(f.members.begin(), f.members.end());
  for (auto& [domain, free] : r.free) {
    std::erase_if(free, [&](const target_view* v) { return r.taken.contains(v->record.id); });
  }
  forming_.push_back(std::move(f));
}

// What is left over in the domains of a data centre still makes a replica, a slow one: callers are
// served late by it rather than refused.
void replica_keeper::form_across(round& r, const model_shape& model) {
  for (const data_centre_id& data_centre : r.own.data_centres) {
    std::vector<const target_view*> ready = free_in(r, data_centre, model);
    if (ready.size() >= model.size) {
      ready.resize(model.size);
      begin_forming(r, model, ready);
    }
  }
}

std::vector<const target_view*> replica_keeper::free_in(const round& r,
                                                        const data_centre_id& data_centre,
                                                        const model_shape& model) const {
  std::vector<const target_view*> ready;
  for (const auto& [domain, free] : r.free) {
    for (const target_view* view : ready_engines(free, model)) {
      if (view->record.data_centre == data_centre) {
        ready.push_back(view);
      }
    }
  }
  return ready;
}

// Engines of data centres that other nodes keep, ready for the model and in no replica as far as
// can be seen here. Whoever keeps them may use them in the same instant: then the count of one
// order does not fit, and that replica is given up.
std::vector<const target_view*> replica_keeper::free_elsewhere(const round& r,
                                                               const model_shape& model) const {
  std::map<data_centre_id, std::vector<const target_view*>> by_data_centre;
  for (const auto& [id, view] : r.fleet.all()) {
    const bool usable = view.record.service == r.service.id && !r.is_own(view) &&
                        round::alive(&view) && !view.record.draining && !r.taken.contains(id) &&
                        !r.dark.contains(view.record.data_centre);
    const auto memory = memory_.find(id);
    if (!usable || memory == memory_.end() || memory->second.ready_for != model.id) {
      continue;
    }
    const auto& own = view.record.member_of;
    const bool spare = own && is_spare_name(own->replica.name) && own->state == member_state::ready;
    if (!own || spare || r.left.contains(own->replica)) {
      by_data_centre[view.record.data_centre].push_back(&view);
    }
  }
  std::vector<const target_view*> result;
  for (const auto& [data_centre, ready] : by_data_centre) {
    // One that can form a replica of its own does so.
    if (ready.size() < model.size) {
      result.insert(result.end(), ready.begin(), ready.end());
    }
  }
  return result;
}

// Goes wrong without it: data centres of 13 engines each and a model of 16; its callers are refused
// all day, beside 65 engines that work. So the keeper of the data centre with the most free engines
// of the model takes those of others in. The head is its own: only the head's keeper opens and
// takes apart.
void replica_keeper::form_across_data_centres(round& r, const model_shape& model) {
  // What is left of one whose members ended stands in the records for a while.
  const auto near = [&](const standing_replica& replica) {
    return model_of_name(replica.key.name) == model.id && !is_spare_name(replica.key.name) &&
           replica.members.size() == model.size &&
           std::all_of(replica.members.begin(), replica.members.end(), [&](const target_view* m) {
             return round::alive(m) &&
                    m->record.data_centre == replica.members.front()->record.data_centre;
           });
  };
  const bool has_near = std::any_of(r.standing_all.begin(), r.standing_all.end(),
                                    [&](const auto& entry) { return near(entry.second); });
  if (has_near) {
    no_near_since_.erase(model.id);
    return;
  }
  const time_point since = no_near_since_.emplace(model.id, r.now).first->second;
  const bool hopeless = std::all_of(r.engines_in.begin(), r.engines_in.end(),
                                    [&](const auto& e) { return e.second < model.size; });
  if (!hopeless && r.now - since < settings_.across_after) {
    return;
  }
  std::vector<const target_view*> own;
  for (const data_centre_id& data_centre : r.own.data_centres) {
    const auto ready = free_in(r, data_centre, model);
    own.insert(own.end(), ready.begin(), ready.end());
  }
  const std::vector<const target_view*> others = free_elsewhere(r, model);
  if (own.empty() || own.size() + others.size() < model.size || !has_most(own, others)) {
    return;
  }
  std::vector<const target_view*> members = std::move(own);
  for (const target_view* view : others) {
    if (is_current(*view, memory_.at(view->record.id))) {
      members.push_back(view);
    } else {
      ask(r, *view);
    }
  }
  if (members.size() >= model.size) {
    members.resize(model.size);
    begin_forming(r, model, members);
  }
}

// Whether no other data centre has more of the engines, or as many and a lower name: all keepers
// see the same one first.
bool replica_keeper::has_most(const std::vector<const target_view*>& own,
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

// A domain that lacks members which a slow replica across domains holds gets them back.
void replica_keeper::reclaim(round& r, const fabric_domain_id& domain, const model_shape& model,
                             std::size_t ready) {
  if (ready == 0) {
    return;
  }
  for (const standing_replica& far : r.far) {
    const auto here =
        std::count_if(far.members.begin(), far.members.end(),
                      [&](const target_view* member) { return member->record.domain == domain; });
    const bool fits = model_of_name(far.key.name) == model.id &&
                      ready + static_cast<std::size_t>(here) >= model.size;
    if (fits && !closing_since_.contains(far.key)) {
      closing_since_.emplace(far.key, r.now);
      return;
    }
  }
}

}  // namespace arbutus
