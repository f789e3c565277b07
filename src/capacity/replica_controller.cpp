// Forms, opens and dissolves replicas.
#include "capacity/replica_controller.h"

#include <algorithm>
#include <array>

#include "capacity/replica_controller_tick.h"

namespace arbutus {

namespace {

// Engines leave one or two at a time. If the list drops more, they have probably lost their
// connection to it and still work; dissolving their replicas would use up the spares as well.
constexpr std::size_t max_replaceable_unlisted = 2;

bool spans_domains(const std::vector<const target_view*>& members) {
  return std::any_of(members.begin(), members.end(), [&](const target_view* m) {
    return m->record.domain != members.front()->record.domain;
  });
}

}  // namespace

std::string_view to_string(order_action action) {
  static constexpr std::array<std::string_view, 4> names = {"join", "open", "close", "leave"};
  return names[static_cast<std::size_t>(action)];
}

controller_effects replica_controller::tick(time_point now, const fleet_view& fleet,
                                            const service_spec& service,
                                            const responsibilities& own) {
  if (!service.engine) {
    return {};
  }
  tick_context ctx{now, fleet, service, *service.engine, own};
  collect_engines(ctx);
  update_engines(ctx);
  update_responsibilities(own);
  update_unreachable(ctx);
  refresh_order_counts(ctx);
  advance_forming(ctx);
  check_formed(ctx);
  collect_free_engines(ctx);
  update_shares(ctx);
  form_replicas(ctx);
  update_plan(ctx);
  choose_surplus(ctx);
  assign_models(ctx);
  return std::move(ctx.effects);
}

// A new controller of a data centre starts with an epoch above all that its predecessor can have
// used, and engines refuse to join at a lower epoch than they know. Without this, an order of the
// predecessor could arrive seconds late at an engine that has restarted; the count of orders starts
// again with each incarnation and could match, and the engine would leave a serving replica.
void replica_controller::update_responsibilities(const responsibilities& own) {
  const bool is_new = std::any_of(
      own.data_centres.begin(), own.data_centres.end(),
      [this](const data_centre_id& d) { return !controlled_data_centres_.contains(d); });
  controlled_data_centres_ = own.data_centres;
  if (is_new) {
    last_epoch_ += epoch_margin;
  }
}

// Finds unreachable data centres, whose engines get no orders. Without this, a hub that is
// partitioned takes responsibility for all other data centres, as it receives nothing from their
// nodes, and marks their engines as lost. When the partition heals, its orders to dissolve their
// replicas arrive: 5 and 7 replicas were dissolved within 0.2 s and did not serve for 1 s. The
// other side does the same to the partitioned engines.
void replica_controller::update_unreachable(tick_context& ctx) {
  std::map<data_centre_id, std::pair<double, double>> engine_counts;  // unavailable, all
  for (const engine_ref& engine : ctx.engines) {
    const target_view& view = engine.view;
    const bool counts =
        view.listed || ctx.now - view.unlisted_since < settings_.unlisted_engine_count_window;
    if (counts) {
      auto& [unavailable, all] = engine_counts[view.record.data_centre];
      unavailable += tick_context::alive(&view) ? 0 : 1;
      all += 1;
    }
  }
  for (const auto& [data_centre, counts] : engine_counts) {
    if (counts.first > counts.second * settings_.unreachable_engine_share) {
      last_unreachable_at_[data_centre] = ctx.now;
    }
  }
  std::erase_if(last_unreachable_at_, [&](const auto& entry) {
    return ctx.now - entry.second >= settings_.reconnect_window;
  });
  for (const auto& [data_centre, at] : last_unreachable_at_) {
    ctx.unreachable.insert(data_centre);
  }
}

// Pairs the engines of the service with their local states, and forgets the states of engines that
// are gone. Both maps are ordered by id, so this needs no search for each engine.
void replica_controller::collect_engines(tick_context& ctx) {
  auto local = local_states_.begin();
  for (const auto& [id, view] : ctx.fleet.all()) {
    while (local != local_states_.end() && local->first < id) {
      local = local_states_.erase(local);
    }
    if (view.record.service != ctx.service.id) {
      continue;
    }
    if (local == local_states_.end() || local->first != id) {
      local = local_states_.emplace_hint(local, id, local_engine_state{});
    }
    ctx.engines.push_back({view, local->second});
    ++local;
  }
  local_states_.erase(local, local_states_.end());
}

void replica_controller::update_engines(tick_context& ctx) {
  for (const engine_ref& engine : ctx.engines) {
    const target_view& view = engine.view;
    local_engine_state& local = engine.local;
    // The order to load the model was probably lost before it reached the engine, which is
    // unchanged.
    if (!local.loading_model.empty() && ctx.now - local.load_started_at > settings_.load_timeout) {
      local.loading_model = {};
    }
    if (tick_context::alive(&view) && !ctx.is_evacuated(view)) {
      ++ctx.engines_by_domain[view.record.domain];
      ++ctx.engines_by_data_centre[view.record.data_centre];
    }
    if (view.record.member_of) {
      const membership& role = *view.record.member_of;
      last_epoch_ = std::max(last_epoch_, role.replica.epoch);
      formed_replica& group = ctx.formed_in_all_data_centres[role.replica];
      group.key = role.replica;
      group.members.push_back(&view);
      if (role.state != member_state::joining && !view.record.loaded.empty()) {
        local.ready_model = view.record.loaded;
        if (local.loading_model == view.record.loaded) {
          local.loading_model = {};
        }
      }
      ctx.unlisted_members += view.listed || view.lost || is_spare_name(role.replica.name) ? 0 : 1;
    } else if (local.ready_model.empty() && local.loading_model.empty()) {
      // This controller has not seen the engine in a replica, but another one has. The engine joins
      // a replica of its loaded model immediately or after 1 to 2 s of warm-up. Without this, it
      // would load the model a second time first.
      local.ready_model = view.record.loaded;
    }
  }
  std::erase_if(first_seen_, [&](const auto& entry) {
    return !ctx.formed_in_all_data_centres.contains(entry.first);
  });
  for (const auto& [key, group] : ctx.formed_in_all_data_centres) {
    first_seen_.emplace(key, ctx.now);
    const bool own =
        std::any_of(group.members.begin(), group.members.end(),
                    [&](const target_view* v) { return ctx.is_in_own_data_centre(*v); });
    if (own) {
      ctx.formed.emplace(key, group);
    }
  }
}

void replica_controller::request_report(tick_context& ctx, const target_view& view) {
  local_engine_state& local = local_states_[view.record.id];
  if (!local.report_pending && ctx.now >= local.next_attempt_at) {
    local.report_pending = true;
    local.report_requested_at = ctx.now;
    ctx.effects.emplace_back(report_request{view.record.id, view.record.address});
  }
}

// Requests reports of engines whose count of orders is not current; only reports contain the count.
void replica_controller::refresh_order_counts(tick_context& ctx) {
  for (const engine_ref& engine : ctx.engines) {
    const bool own = tick_context::alive(&engine.view) && ctx.is_in_own_data_centre(engine.view);
    if (own && !is_current(engine.view, engine.local)) {
      request_report(ctx, engine.view);
    }
  }
}

// Whether the count of orders belongs to the engine's membership in the fleet view.
bool replica_controller::is_current(const target_view& view, const local_engine_state& local) {
  return local.orders && local.replica_at_order_count == replica_of(view) && !view.ambiguous;
}

bool replica_controller::can_order(tick_context& ctx, const target_id& id) {
  const auto found = local_states_.find(id);
  const target_view* view = ctx.fleet.find(id);
  const bool fits = found != local_states_.end() && view != nullptr &&
                    is_current(*view, found->second) && !found->second.order_pending &&
                    ctx.now >= found->second.next_attempt_at;
  // With a stale list, the engine may have restarted unnoticed and joined a replica of another
  // controller, and its new count may equal the old one by chance. It takes seconds from its start
  // until it serves, so a count that was confirmed more recently than that is safe.
  if (fits && ctx.own.target_list_age > settings_.max_target_list_age &&
      ctx.now - found->second.order_count_confirmed_at > settings_.order_count_max_age) {
    request_report(ctx, *view);
    return false;
  }
  return fits;
}

void replica_controller::send(tick_context& ctx, const target_view& to, order_action action,
                              const replica_key& replica, std::string_view reason,
                              const model_id& model, const std::vector<target_id>& members) {
  local_engine_state& local = local_states_[to.record.id];
  local.order_pending = true;
  ctx.effects.emplace_back(replica_order{to.record.id, to.record.address, action, replica, model,
                                         members, *local.orders, reason});
}

std::optional<replica_key> replica_controller::replica_of(const target_view& view) {
  if (!view.record.member_of) {
    return std::nullopt;
  }
  return view.record.member_of->replica;
}

// Whether no other node has used a member since it was chosen. Such a member would leave a serving
// replica if it were ordered to join this one.
bool replica_controller::members_still_available(const tick_context& ctx,
                                                 const forming_replica& f) const {
  return std::all_of(f.members.begin(), f.members.end(), [&](const target_id& id) {
    const auto in = replica_of(*ctx.fleet.find(id));
    return in == f.key || (!f.ordered_members.contains(id) && in == f.replica_when_chosen.at(id));
  });
}

// Advances the replicas that this node is forming: repeats the orders to members that have not
// joined, and opens complete replicas.
void replica_controller::advance_forming(tick_context& ctx) {
  for (forming_replica& f : forming_) {
    bool complete = true;
    bool member_unavailable = false;
    for (const target_id& id : f.members) {
      const target_view* view = ctx.fleet.find(id);
      if (!tick_context::alive(view) || view->record.draining) {
        member_unavailable = true;
        break;
      }
    }
    if (member_unavailable || ctx.now - f.started_at > settings_.form_timeout ||
        !members_still_available(ctx, f)) {
      f.finished = true;
      continue;
    }
    for (const target_id& id : f.members) {
      const target_view& view = *ctx.fleet.find(id);
      const auto& member_of = view.record.member_of;
      const bool joined = member_of && member_of->replica == f.key;
      const bool is_head = id == f.members.front();
      // Members join after their head, see check_formed().
      if (!joined && !f.ordered_members.contains(id) && (is_head || f.head_joined) &&
          can_order(ctx, id)) {
        send(ctx, view, order_action::join, f.key, "forms", f.model, f.members);
      }
      complete = complete && joined && member_of->state != member_state::joining;
    }
    const target_view& head = *ctx.fleet.find(f.members.front());
    if (complete && head.record.member_of->state == member_state::ready &&
        can_order(ctx, head.record.id)) {
      send(ctx, head, order_action::open, f.key, "whole");
    }
    if (complete && head.record.member_of->state == member_state::open) {
      f.finished = true;  // formed: check_formed() handles it from now on
    }
  }
  std::erase_if(forming_, [](const forming_replica& f) { return f.finished; });
  for (const forming_replica& f : forming_) {
    ctx.engines_in_use.insert(f.members.begin(), f.members.end());
  }
}

// Checks all formed replicas, whichever node formed them, and opens or dissolves them as needed.
void replica_controller::check_formed(tick_context& ctx) {
  std::erase_if(closing_since_, [&](const auto& entry) {
    return !ctx.formed_in_all_data_centres.contains(entry.first);
  });
  for (const auto& [key, group] : ctx.formed) {
    if (is_spare_name(key.name)) {
      continue;
    }
    const bool is_forming = std::any_of(forming_.begin(), forming_.end(),
                                        [&k = key](const auto& f) { return f.key == k; });
    if (is_forming) {
      continue;
    }
    const bool unreachable = std::any_of(
        group.members.begin(), group.members.end(),
        [&](const target_view* m) { return ctx.unreachable.contains(m->record.data_centre); });
    if (unreachable) {
      for (const target_view* member : group.members) {
        ctx.engines_in_use.insert(member->record.id);
      }
      continue;
    }
    const target_id head_id = head_of(key.name);
    const target_view* head = ctx.fleet.find(head_id);
    const bool head_is_inside =
        head != nullptr && head->record.member_of && head->record.member_of->replica == key;
    // Only the head's own answer counts here; its row may be older, see fleet_view.
    const bool head_is_outside = head != nullptr && head->last_reported_replica != key;
    if (head_is_outside && !head_is_inside && head->reported_at > first_seen_.at(key)) {
      ctx.vacated_replicas.insert(key);  // the head has left the replica, so its members are free
      continue;
    }
    if (head != nullptr && !head_is_inside && tick_context::alive(head)) {
      // Members join after their head, so the head was in the replica before they reported it and
      // may have left since. Queries it before the members are reused.
      request_report(ctx, *head);
      for (const target_view* member : group.members) {
        ctx.engines_in_use.insert(member->record.id);
      }
      continue;
    }
    if (const std::string_view reason = dissolve_reason(ctx, group, head); !reason.empty()) {
      dissolve_replica(ctx, group, reason);
      continue;
    }
    if (surplus_.contains(key)) {
      dissolve_replica(ctx, group, "its engines are needed for another model");
      continue;
    }
    if (spans_domains(group.members)) {
      ctx.cross_domain_replicas.push_back(group);
      if (const auto since = closing_since_.find(key); since != closing_since_.end()) {
        dissolve_replica(ctx, group, "a fabric domain can use its members");
        continue;
      }
    }
    if (!spans_domains(group.members)) {
      closing_since_.erase(key);  // it is whole again
    }
    for (const target_view* member : group.members) {
      ctx.engines_in_use.insert(member->record.id);
    }
    const bool all_ready = std::all_of(
        group.members.begin(), group.members.end(),
        [](const target_view* m) { return m->record.member_of->state != member_state::joining; });
    // The node that formed the replica stopped before it opened it.
    if (all_ready && head->record.member_of->state == member_state::ready &&
        ctx.is_in_own_data_centre(*head) && can_order(ctx, head_id)) {
      send(ctx, *head, order_action::open, key, "whole");
    }
  }
}

// Returns why the replica has to be dissolved, or an empty text if it serves or will serve.
std::string_view replica_controller::dissolve_reason(const tick_context& ctx,
                                                     const formed_replica& replica,
                                                     const target_view* head) const {
  const bool head_is_inside =
      head != nullptr && head->record.member_of && head->record.member_of->replica == replica.key;
  const model_spec* model =
      head_is_inside ? ctx.engine.find_model(model_of_name(replica.key.name)) : nullptr;
  if (model == nullptr) {
    return head_is_inside ? "its model is not configured" : "its head is gone";
  }
  if (replica.members.size() != model->size) {
    return "a member is in another replica or gone";
  }
  std::size_t unlisted = 0;
  std::vector<target_id> incarnations;
  for (const target_view* member : replica.members) {
    incarnations.push_back(member->record.id);
    if (member->lost) {
      return member->ended ? "a member has ended" : "a member is silent";
    }
    if (member->record.draining) {
      return "a member is draining";
    }
    // An unlisted member may only have lost its connection to the list, see serving_replicas().
    unlisted += member->listed ? 0 : 1;
  }
  if (!head->listed) {
    return "its head is not listed";
  }
  // A replica does not work with a member that has restarted since it was formed.
  if (!matches_incarnations(replica.key.name, incarnations)) {
    return "a member started again";
  }
  const member_state state = head->record.member_of->state;
  if (state == member_state::broken || state == member_state::closing) {
    return state == member_state::broken ? "its head is broken" : "its head is closing";
  }
  const bool replaceable =
      unlisted > 0 && !ctx.is_evacuated(*head) && ctx.unlisted_members <= max_replaceable_unlisted;
  return replaceable && has_spares(ctx, *head, *model, unlisted)
             ? "spares replace an unlisted member"
             : "";
}

// Whether the head's domain has at least `required` spares that are ready for its model.
bool replica_controller::has_spares(const tick_context& ctx, const target_view& head,
                                    const model_spec& model, std::size_t required) const {
  std::size_t count = 0;
  for (const auto& [id, view] : ctx.fleet.all()) {
    const auto& member_of = view.record.member_of;
    const bool spare = member_of && is_spare_name(member_of->replica.name) &&
                       member_of->state == member_state::ready;
    const auto local = local_states_.find(id);
    const bool ready = local != local_states_.end() && local->second.ready_model == model.id;
    const bool here = view.record.domain == head.record.domain;
    count += spare && ready && here && tick_context::alive(&view) && !view.record.draining ? 1 : 0;
  }
  return count >= required;
}

// Removes the head first; the members stay in the replica until the head has left.
void replica_controller::dissolve_replica(tick_context& ctx, const formed_replica& replica,
                                          std::string_view reason) {
  const target_view* head = ctx.fleet.find(head_of(replica.key.name));
  const bool head_is_inside =
      head != nullptr && head->record.member_of && head->record.member_of->replica == replica.key;
  if (!head_is_inside || !tick_context::alive(head)) {
    release_headless_members(ctx, replica, reason);
    return;
  }
  for (const target_view* member : replica.members) {
    ctx.engines_in_use.insert(member->record.id);
  }
  // Only the controller of the head's data centre dissolves a replica, unless the replica is being
  // reclaimed. Otherwise, while one controller forms a replica across data centres, the other one
  // would find it incomplete and order its head to leave.
  const bool reclaimed = closing_since_.contains(replica.key);
  if (!ctx.is_in_own_data_centre(*head) && !reclaimed) {
    return;
  }
  const std::optional<time_point> silent = silent_since(replica);
  if (requests_may_finish(ctx, replica, *head)) {
    if (silent && ctx.now - *silent < settings_.silence_tolerance) {
      close_when_idle(ctx, *head, replica.key, *silent);
      return;
    }
    const auto since = closing_since_.emplace(replica.key, ctx.now).first->second;
    // A replica across domains is slow, and its engines serve more elsewhere.
    const bool may_finish = !silent && !spans_domains(replica.members);
    if (may_finish && ctx.now - since < settings_.close_timeout) {
      send_close(ctx, *head, replica.key, reason);
      return;
    }
    if (silent) {
      reason = "a member is silent for too long";
    }
  } else if (silent && head->record.member_of->state == member_state::ready) {
    reason = "a member is silent, no requests run";
  }
  order_head(ctx, *head, order_action::leave, replica.key, reason);
}

// Whether the replica may still finish the requests that its head runs, perhaps after a silence of
// one of its members.
bool replica_controller::requests_may_finish(const tick_context& ctx, const formed_replica& replica,
                                             const target_view& head) {
  const member_state state = head.record.member_of->state;
  const model_spec* model = ctx.engine.find_model(model_of_name(replica.key.name));
  const bool complete = model == nullptr || replica.members.size() == model->size;
  if (!complete || (state != member_state::open && state != member_state::closing)) {
    return false;
  }
  std::vector<target_id> incarnations;
  for (const target_view* member : replica.members) {
    incarnations.push_back(member->record.id);
    if (member->lost && member->ended) {
      return false;
    }
  }
  return matches_incarnations(replica.key.name, incarnations);
}

// When the first silent member was lost. A draining member is not counted: it stops listening while
// the requests of its head run.
std::optional<time_point> replica_controller::silent_since(const formed_replica& replica) {
  std::optional<time_point> first;
  for (const target_view* member : replica.members) {
    if (member->lost && !member->ended && !member->record.draining) {
      first = std::min(first.value_or(member->marked_lost_at), member->marked_lost_at);
    }
  }
  return first;
}

// Closes the head of a replica with a silent member once no requests run there, so that a dead
// member is replaced before the tolerance has passed. No new requests are sent to the replica, but
// one may be on its way: the head is not ordered to leave before it has closed.
void replica_controller::close_when_idle(tick_context& ctx, const target_view& head,
                                         const replica_key& key, time_point silent_since) {
  local_engine_state& local = local_states_[head.record.id];
  local.next_attempt_at = std::min(local.next_attempt_at, ctx.now);
  // A report asked for earlier may not yet show requests that began before the silence.
  const time_point ask_from = silent_since + ctx.engine.report_lag + ctx.engine.report_lag / 4;
  if (local.idle_at >= ask_from) {
    send_close(ctx, head, key, "a member is silent, no requests run");
    return;
  }
  const time_point ask_at =
      std::max(ask_from, local.report_requested_at + settings_.idle_check_interval);
  if (ctx.now >= ask_at) {
    request_report(ctx, head);
  }
}

// Orders an open head to finish its requests and to accept no more. The head's state shows the
// order's effect only later.
void replica_controller::send_close(tick_context& ctx, const target_view& head,
                                    const replica_key& key, std::string_view reason) {
  local_engine_state& local = local_states_[head.record.id];
  const bool sent = ctx.now - local.close_sent_at < settings_.order_retry_interval;
  if (head.record.member_of->state == member_state::open && !sent &&
      order_head(ctx, head, order_action::close, key, reason)) {
    local.close_sent_at = ctx.now;
  }
}

// Returns false if the head's count of orders has to be known first. The counts of other data
// centres' engines are not kept up to date.
bool replica_controller::order_head(tick_context& ctx, const target_view& head, order_action action,
                                    const replica_key& key, std::string_view reason) {
  if (can_order(ctx, head.record.id)) {
    send(ctx, head, action, key, reason);
    return true;
  }
  if (!ctx.is_in_own_data_centre(head)) {
    request_report(ctx, head);
  }
  return false;
}

// Whether the head may go on with its requests after a silence.
bool replica_controller::may_only_be_silent(const tick_context& ctx, const replica_key& key,
                                            const target_view* head) const {
  if (head == nullptr || replica_of(*head) != key || !head->lost || head->ended) {
    return false;
  }
  const member_state state = head->record.member_of->state;
  if (state != member_state::open && state != member_state::closing) {
    return false;  // it runs no requests
  }
  // A draining head stops listening while its last requests run.
  const duration tolerance =
      head->record.draining ? settings_.close_timeout : settings_.silence_tolerance;
  return ctx.now - head->marked_lost_at < tolerance;
}

// Orders the members of a replica whose head does not answer to leave. The head may still serve, if
// only this node cannot reach it, and would go on using its members. So the members are reused only
// after they were seen outside of the replica: an engine without a replica works for no head, and a
// head without all members makes no progress.
void replica_controller::release_headless_members(tick_context& ctx, const formed_replica& replica,
                                                  std::string_view reason) {
  const target_view* head = ctx.fleet.find(head_of(replica.key.name));
  // The controller of the head's data centre observes it more closely; possibly only this node has
  // lost it.
  const bool may_be_reachable = head != nullptr && !ctx.is_in_own_data_centre(*head) &&
                                head->listed &&
                                ctx.now - head->marked_lost_at < settings_.reconnect_window;
  if (may_be_reachable || may_only_be_silent(ctx, replica.key, head)) {
    for (const target_view* member : replica.members) {
      ctx.engines_in_use.insert(member->record.id);
    }
    return;
  }
  if (head != nullptr) {
    reason = head->lost && !head->ended ? "its head is silent for too long" : reason;
    if (can_order(ctx, head->record.id)) {
      send(ctx, *head, order_action::leave, replica.key, reason);
    } else if (!is_current(*head, local_states_[head->record.id])) {
      request_report(ctx, *head);
    }
  }
  for (const target_view* member : replica.members) {
    const target_id& id = member->record.id;
    if (member == head) {
      continue;
    }
    ctx.engines_in_use.insert(id);
    if (tick_context::alive(member) && ctx.is_in_own_data_centre(*member) && can_order(ctx, id)) {
      send(ctx, *member, order_action::leave, replica.key, reason);
    }
  }
}

// Collects the engines that can join a new replica.
void replica_controller::collect_free_engines(tick_context& ctx) {
  for (const engine_ref& engine : ctx.engines) {
    const target_view& view = engine.view;
    const bool usable = tick_context::alive(&view) && !view.record.draining &&
                        ctx.is_in_own_data_centre(view) && !ctx.is_evacuated(view) &&
                        !ctx.engines_in_use.contains(view.record.id) &&
                        !ctx.unreachable.contains(view.record.data_centre);
    if (usable) {
      ctx.free_engines[view.record.domain].push_back(&view);
    }
  }
}

}  // namespace arbutus
