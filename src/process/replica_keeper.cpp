// Forming, opening and taking apart replicas.
#include "process/replica_keeper.h"

#include <algorithm>
#include <array>

namespace arbutus {

namespace {

constexpr std::string_view spare_prefix = "s.";
constexpr std::string_view replica_prefix = "r.";

}  // namespace

std::string_view to_string(order_action action) {
  static constexpr std::array<std::string_view, 4> names = {"join", "open", "close", "leave"};
  return names[static_cast<std::size_t>(action)];
}

std::string spare_name(const target_id& id) {
  return std::string(spare_prefix) + id.str();
}

std::string replica_name(const target_id& head) {
  return std::string(replica_prefix) + head.str();
}

bool is_spare_name(std::string_view name) {
  return name.starts_with(spare_prefix);
}

target_id head_of(std::string_view name) {
  return target_id{name.substr(name.find('.') + 1)};
}

// What one tick works on.
struct replica_keeper::round {
  time_point now;
  const fleet_view& fleet;
  const service_shape& service;
  const engine_parameters& engine;
  const duties& own;
  keeper_effects out;
  std::map<replica_key, standing_replica> standing;     // of this node's data centres
  std::map<replica_key, standing_replica> standing_all; // of all
  std::set<target_id> taken;  // members of a replica that stands or forms
  // Engines that may be used for a replica, by domain.
  std::map<fabric_domain_id, std::vector<const target_view*>> free;

  [[nodiscard]] bool is_own(const target_view& view) const {
    return own.data_centres.contains(view.record.data_centre);
  }
  [[nodiscard]] static bool alive(const target_view* view) {
    return view != nullptr && view->listed && !view->lost;
  }
};

keeper_effects replica_keeper::tick(time_point now, const fleet_view& fleet,
                                    const service_shape& service, const duties& own) {
  if (!service.engine) {
    return {};
  }
  round r{now, fleet, service, *service.engine, own, {}, {}, {}, {}, {}};
  note_engines(r);
  ask_reports(r);
  advance_forming(r);
  mend_standing(r);
  find_free(r);
  form(r);
  prepare(r);
  return std::move(r.out);
}

const model_id& replica_keeper::model_of(const target_view& view) const {
  return view.record.loaded;
}

void replica_keeper::note_engines(round& r) {
  std::erase_if(memory_, [&](const auto& entry) { return r.fleet.find(entry.first) == nullptr; });
  for (const auto& [id, view] : r.fleet.all()) {
    if (view.record.service != r.service.id) {
      continue;
    }
    if (view.record.member_of) {
      const membership& own = *view.record.member_of;
      last_epoch_ = std::max(last_epoch_, own.replica.epoch);
      standing_replica& group = r.standing_all[own.replica];
      group.key = own.replica;
      group.members.push_back(&view);
      if (own.state != member_state::joining && !view.record.loaded.empty()) {
        memory_[id].ready_for = view.record.loaded;
      }
    }
  }
  for (const auto& [key, group] : r.standing_all) {
    const bool own = std::any_of(group.members.begin(), group.members.end(),
                                 [&](const target_view* v) { return r.is_own(*v); });
    if (own) {
      r.standing.emplace(key, group);
    }
  }
}

// The count of obeyed orders stands only in an engine's own report.
void replica_keeper::ask_reports(round& r) {
  for (const auto& [id, view] : r.fleet.all()) {
    if (view.record.service != r.service.id || !r.is_own(view) || !round::alive(&view)) {
      continue;
    }
    engine_memory& memory = memory_[id];
    if (!memory.orders && !memory.report_pending && r.now >= memory.ask_after) {
      memory.report_pending = true;
      r.out.emplace_back(report_question{id, view.record.address});
    }
  }
}

bool replica_keeper::may_order(const round& r, const target_id& id) const {
  const auto found = memory_.find(id);
  return found != memory_.end() && found->second.orders && !found->second.order_pending &&
         r.now >= found->second.ask_after;
}

void replica_keeper::send(round& r, const target_view& to, order_action action,
                          const replica_key& replica, const model_id& model,
                          const std::vector<target_id>& members) {
  engine_memory& memory = memory_[to.record.id];
  memory.order_pending = true;
  r.out.emplace_back(
      replica_order{to.record.id, to.record.address, action, replica, model, members,
                    *memory.orders});
}

std::uint64_t replica_keeper::next_epoch(const round& /*r*/) {
  return ++last_epoch_;
}

// Replicas that this node has begun to form: members that have not joined are told again, a whole
// one is opened.
void replica_keeper::advance_forming(round& r) {
  for (forming_replica& f : forming_) {
    bool whole = true;
    bool any_gone = false;
    for (const target_id& id : f.members) {
      const target_view* view = r.fleet.find(id);
      if (!round::alive(view) || view->record.draining) {
        any_gone = true;
        break;
      }
    }
    if (any_gone || r.now - f.begun > settings_.form_timeout) {
      f.failed = true;
      continue;
    }
    for (const target_id& id : f.members) {
      const target_view& view = *r.fleet.find(id);
      const auto& own = view.record.member_of;
      const bool joined = own && own->replica == f.key;
      if (!joined && may_order(r, id)) {
        send(r, view, order_action::join, f.key, f.model, f.members);
      }
      whole = whole && joined && own->state != member_state::joining;
    }
    const target_view& head = *r.fleet.find(f.members.front());
    if (whole && head.record.member_of->state == member_state::ready &&
        may_order(r, head.record.id)) {
      send(r, head, order_action::open, f.key);
    }
    if (whole && head.record.member_of->state == member_state::open) {
      f.failed = true;  // done: from now on it is one that stands
    }
  }
  std::erase_if(forming_, [](const forming_replica& f) { return f.failed; });
  for (const forming_replica& f : forming_) {
    r.taken.insert(f.members.begin(), f.members.end());
  }
}

// Replicas that stand, whoever formed them.
void replica_keeper::mend_standing(round& r) {
  for (const auto& [key, group] : r.standing) {
    if (is_spare_name(key.name)) {
      continue;
    }
    const bool is_forming = std::any_of(forming_.begin(), forming_.end(),
                                        [&k = key](const auto& f) { return f.key == k; });
    if (is_forming) {
      continue;
    }
    const target_id head_id = head_of(key.name);
    const target_view* head = r.fleet.find(head_id);
    const bool head_in = head != nullptr && head->record.member_of &&
                         head->record.member_of->replica == key;
    if (head != nullptr && !head_in) {
      continue;  // its head was seen outside of it: the members are free
    }
    const model_shape* model =
        head_in ? r.engine.find_model(model_of(*head)) : nullptr;
    bool whole = model != nullptr && group.members.size() == model->size;
    bool all_ready = true;
    for (const target_view* member : group.members) {
      whole = whole && round::alive(member) && !member->record.draining;
      all_ready = all_ready && member->record.member_of->state != member_state::joining;
    }
    whole = whole && head->record.member_of->state != member_state::broken &&
            head->record.member_of->state != member_state::closing;
    if (!whole) {
      take_apart(r, group);
      continue;
    }
    for (const target_view* member : group.members) {
      r.taken.insert(member->record.id);
    }
    // Formed by a node that ended before it could open it.
    if (all_ready && head->record.member_of->state == member_state::ready && r.is_own(*head) &&
        may_order(r, head_id)) {
      send(r, *head, order_action::open, key);
    }
  }
}

// Head first. Until it is out, the members stay where they are.
void replica_keeper::take_apart(round& r, const standing_replica& replica) {
  const target_view* head = r.fleet.find(head_of(replica.key.name));
  const bool head_in = head != nullptr && head->record.member_of &&
                       head->record.member_of->replica == replica.key;
  if (!head_in || !round::alive(head)) {
    orphan(r, replica);
    return;
  }
  for (const target_view* member : replica.members) {
    r.taken.insert(member->record.id);
  }
  const member_state state = head->record.member_of->state;
  const bool works = std::all_of(replica.members.begin(), replica.members.end(),
                                 [](const target_view* m) { return !m->lost; }) &&
                     (state == member_state::open || state == member_state::closing);
  // A member that only leaves stays as long as the head has work: let that finish.
  const model_shape* model = r.engine.find_model(model_of(*head));
  const bool graceful = works && model != nullptr && replica.members.size() == model->size;
  const auto since = closing_since_.emplace(replica.key, r.now).first->second;
  if (!may_order(r, head->record.id)) {
    return;
  }
  if (graceful && r.now - since < settings_.close_timeout) {
    if (state == member_state::open) {
      send(r, *head, order_action::close, replica.key);
    }
    return;
  }
  send(r, *head, order_action::leave, replica.key);
}

// The head does not answer, and may serve all the same: it may be cut off from this node alone.
// What goes wrong: its members join another replica while it still accepts requests. So the members
// leave, which stops it, and are used only after the time in which it must have noticed.
void replica_keeper::orphan(round& r, const standing_replica& replica) {
  const target_view* head = r.fleet.find(head_of(replica.key.name));
  if (head != nullptr) {
    engine_memory& memory = memory_[head->record.id];
    if (may_order(r, head->record.id)) {
      send(r, *head, order_action::leave, replica.key);
    } else if (!memory.orders && !memory.report_pending && r.now >= memory.ask_after) {
      memory.report_pending = true;
      r.out.emplace_back(report_question{head->record.id, head->record.address});
    }
  }
  for (const target_view* member : replica.members) {
    const target_id& id = member->record.id;
    if (member == head) {
      continue;
    }
    r.taken.insert(id);
    memory_[id].orphan_of = replica.key;
    if (round::alive(member) && r.is_own(*member) && may_order(r, id)) {
      send(r, *member, order_action::leave, replica.key);
    }
  }
}

// Engines that belong to no replica and may join one.
void replica_keeper::find_free(round& r) {
  for (const auto& [id, view] : r.fleet.all()) {
    const bool usable = view.record.service == r.service.id && r.is_own(view) &&
                        round::alive(&view) && !view.record.draining && !r.taken.contains(id);
    if (!usable) {
      continue;
    }
    engine_memory& memory = memory_[id];
    if (memory.orphan_of) {
      // Counted from when it was seen outside, since the order to leave may have been late.
      memory.orphan_of.reset();
      memory.usable_from = r.now + settings_.stall + settings_.stall_margin;
    }
    if (memory.usable_from && r.now < *memory.usable_from) {
      continue;
    }
    r.free[view.record.domain].push_back(&view);
  }
}

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
    const target_view* head = r.fleet.find(head_of(key.name));
    if (!is_spare_name(key.name) && head != nullptr) {
      replicas[model_of(*head)] += 1;
    }
  }
  std::stable_sort(models.begin(), models.end(), [&](const auto* a, const auto* b) {
    return replicas[a->id] / std::max(a->work_share, 1e-3) <
           replicas[b->id] / std::max(b->work_share, 1e-3);
  });
  for (const fabric_domain_id& domain : domains) {
    for (const model_shape* model : models) {
      form_in(r, domain, *model);
    }
  }
}

void replica_keeper::form_in(round& r, const fabric_domain_id& domain, const model_shape& model) {
  auto& free = r.free[domain];
  for (;;) {
    std::vector<const target_view*> ready;
    for (const target_view* view : free) {
      const engine_memory& memory = memory_[view->record.id];
      const auto& own = view->record.member_of;
      const bool loading = own && own->state == member_state::joining;
      if (memory.ready_for == model.id && !loading && memory.orders && !memory.order_pending) {
        ready.push_back(view);
      }
    }
    if (ready.size() < model.size) {
      return;
    }
    ready.resize(model.size);
    forming_replica f;
    f.key = {replica_name(ready.front()->record.id), next_epoch(r)};
    f.model = model.id;
    f.begun = r.now;
    for (const target_view* view : ready) {
      f.members.push_back(view->record.id);
    }
    for (const target_view* view : ready) {
      if (may_order(r, view->record.id)) {
        send(r, *view, order_action::join, f.key, f.model, f.members);
      }
      r.taken.insert(view->record.id);
    }
    std::erase_if(free, [&](const target_view* v) { return r.taken.contains(v->record.id); });
    forming_.push_back(std::move(f));
  }
}

// Gives engines that are ready for no model one, within what the weight store allows.
void replica_keeper::prepare(round& r) {
  std::uint32_t loading = 0;
  std::map<fabric_domain_id, std::uint32_t> engines;
  std::map<fabric_domain_id, std::map<model_id, std::uint32_t>> assigned;
  std::map<fabric_domain_id, std::map<model_id, double>> replicas;
  for (const auto& [id, view] : r.fleet.all()) {
    if (view.record.service != r.service.id || !round::alive(&view) || view.record.draining) {
      continue;
    }
    ++engines[view.record.domain];
    const auto& own = view.record.member_of;
    const engine_memory& memory = memory_[id];
    const bool loads = own && own->state == member_state::joining && memory.ready_for.empty();
    if (loads || (memory.order_pending && memory.ready_for.empty())) {
      loading += r.is_own(view) ? 1 : 0;
    }
    const model_id& model = loads || memory.ready_for.empty() ? view.record.loaded
                                                              : memory.ready_for;
    if (!model.empty()) {
      ++assigned[view.record.domain][model];
    }
  }
  for (const auto& [domain, models] : assigned) {
    for (const model_shape& model : r.engine.models) {
      const auto found = models.find(model.id);
      if (found != models.end()) {
        replicas[domain][model.id] = static_cast<double>(found->second / model.size);
      }
    }
  }
  const bool rush = cold_start_ && !r.own.requests_seen &&
                    r.now - started_ >= settings_.cold_start_rush;
  const auto share = std::max<std::size_t>(
      1, r.engine.loads_at_once * std::max<std::size_t>(1, r.own.data_centres.size()) /
             std::max<std::size_t>(1, r.own.all_data_centres));
  const std::size_t most_loading = rush ? 1000 : share;
  // Whole replicas first, those that take the fewest loads to complete.
  struct candidate {
    const target_view* view;
    const model_shape* model;
    double urgency;
  };
  for (;;) {
    if (loading >= most_loading) {
      return;
    }
    std::optional<candidate> best;
    for (const auto& [domain, free] : r.free) {
      std::vector<shape_demand> demands;
      for (const model_shape& model : r.engine.models) {
        double elsewhere = 0;
        for (auto& [other, counts] : replicas) {
          elsewhere += other == domain ? 0 : counts[model.id];
        }
        demands.push_back({model.size, model.work_share, elsewhere});
      }
      const domain_shape wanted = shape_domain(engines[domain], demands);
      for (const target_view* view : free) {
        const engine_memory& memory = memory_[view->record.id];
        const bool loading_now =
            view->record.member_of && view->record.member_of->state == member_state::joining;
        if (!memory.ready_for.empty() || loading_now || !may_order(r, view->record.id)) {
          continue;
        }
        for (std::size_t i = 0; i < r.engine.models.size(); ++i) {
          const model_shape& model = r.engine.models[i];
          const std::uint32_t have = assigned[domain][model.id];
          const std::uint32_t in_replicas = wanted.replicas[i] * model.size;
          if (have >= in_replicas + wanted.spares[i]) {
            continue;
          }
          const bool staged = std::find(view->record.staged.begin(), view->record.staged.end(),
                                        model.id) != view->record.staged.end();
          const std::uint32_t missing = model.size - have % model.size;
          double urgency = have < in_replicas ? 10.0 - missing : 1.0;
          double total = demands[i].replicas_elsewhere + have / model.size;
          urgency += model.work_share / (total + 1.0) + (staged ? 5.0 : 0.0);
          if (!best || urgency > best->urgency) {
            best = candidate{view, &model, urgency};
          }
        }
      }
    }
    if (!best) {
      return;
    }
    const target_id id = best->view->record.id;
    const fabric_domain_id domain = best->view->record.domain;
    send(r, *best->view, order_action::join, {spare_name(id), next_epoch(r)}, best->model->id,
         {id});
    ++loading;
    ++assigned[domain][best->model->id];
    replicas[domain][best->model->id] =
        static_cast<double>(assigned[domain][best->model->id] / best->model->size);
    std::erase_if(r.free[domain], [&](const target_view* v) { return v->record.id == id; });
  }
}

void replica_keeper::on_order(time_point now, const replica_order& order, order_outcome outcome) {
  const auto found = memory_.find(order.to);
  if (found == memory_.end()) {
    return;
  }
  engine_memory& memory = found->second;
  memory.order_pending = false;
  switch (outcome) {
    case order_outcome::begun:
      memory.orders = order.expected_orders + 1;
      memory.ask_after = now + settings_.order_retry;
      break;
    case order_outcome::holds:
      memory.ask_after = now + settings_.order_retry;
      break;
    case order_outcome::outdated:
      last_epoch_ += 1000;
      memory.orders.reset();
      memory.ask_after = now;
      break;
    case order_outcome::conflict:
    case order_outcome::another:
    case order_outcome::refused:
    case order_outcome::no_answer:
    case order_outcome::not_sent:
      memory.orders.reset();
      memory.ask_after = now + settings_.order_retry;
      break;
  }
  if (outcome == order_outcome::outdated) {
    for (forming_replica& f : forming_) {
      f.failed = f.failed || f.key == order.replica;
    }
    std::erase_if(forming_, [](const forming_replica& f) { return f.failed; });
  }
}

void replica_keeper::on_report(time_point now, const target_id& id,
                               const std::optional<target_report>& report) {
  const auto found = memory_.find(id);
  if (found == memory_.end()) {
    return;
  }
  found->second.report_pending = false;
  found->second.ask_after = now + settings_.report_retry;
  if (report) {
    found->second.orders = report->orders;
    found->second.ask_after = now;
  }
}

}  // namespace arbutus
