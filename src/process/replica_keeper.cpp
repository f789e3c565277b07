// Forming, opening and taking apart replicas.
#include "process/replica_keeper.h"

#include <algorithm>
#include <array>

#include "process/replica_keeper_round.h"

namespace arbutus {

namespace {

// Engines that leave do so one or two at a time. When the list drops more at once they are cut off
// from it, and to take their replicas apart would cost those as well that stand in.
constexpr std::size_t few_dropped = 2;

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

keeper_effects replica_keeper::tick(time_point now, const fleet_view& fleet,
                                    const service_shape& service, const duties& own) {
  if (!service.engine) {
    return {};
  }
  round r{now, fleet, service, *service.engine, own};
  note_engines(r);
  note_duties(own);
  note_dark(r);
  ask_reports(r);
  advance_forming(r);
  mend_standing(r);
  find_free(r);
  form(r);
  survey(r);
  prepare(r);
  return std::move(r.out);
}

// Goes wrong: an order of the keeper before this one arrives seconds late, at an engine that has
// started again meanwhile. Its count fits, as counts start anew, and the engine leaves a replica
// that serves. So the first epoch of a keeper for a data centre is beyond all that the one before
// it can have used, and engines refuse to join under a lower one than they know.
void replica_keeper::note_duties(const duties& own) {
  const bool is_new =
      std::any_of(own.data_centres.begin(), own.data_centres.end(),
                  [this](const data_centre_id& d) { return !kept_data_centres_.contains(d); });
  kept_data_centres_ = own.data_centres;
  if (is_new) {
    last_epoch_ += epoch_leap;
  }
}

// Goes wrong: a hub that is cut off takes all other data centres over, whose nodes it does not
// hear, and finds their engines lost. In the instant in which the cut heals its orders to take
// their replicas apart arrive; it took 0.2 s, with 5 and 7 replicas, and a second until they served
// again. The other side does the same with what was behind the cut.
void replica_keeper::note_dark(round& r) {
  std::map<data_centre_id, std::pair<double, double>> away_of;  // away, all
  for (const auto& [id, view] : r.fleet.all()) {
    const bool counts = view.listed || r.now - view.unlisted_at < settings_.away_counts_for;
    if (view.record.service == r.service.id && counts) {
      auto& [away, all] = away_of[view.record.data_centre];
      away += round::alive(&view) ? 0 : 1;
      all += 1;
    }
  }
  for (const auto& [data_centre, counts] : away_of) {
    if (counts.first > counts.second * settings_.dark_share) {
      dark_at_[data_centre] = r.now;
    }
  }
  std::erase_if(dark_at_,
                [&](const auto& entry) { return r.now - entry.second >= settings_.back_within; });
  for (const auto& [data_centre, at] : dark_at_) {
    r.dark.insert(data_centre);
  }
}

void replica_keeper::note_engines(round& r) {
  for (auto& [id, memory] : memory_) {
    // An order to load that was lost leaves the engine as it was.
    if (!memory.load_for.empty() && r.now - memory.load_begun > settings_.load_timeout) {
      memory.load_for = {};
    }
  }
  std::erase_if(memory_, [&](const auto& entry) { return r.fleet.find(entry.first) == nullptr; });
  for (const auto& [id, view] : r.fleet.all()) {
    if (view.record.service != r.service.id) {
      continue;
    }
    if (round::alive(&view)) {
      ++r.engines_of[view.record.domain];
      ++r.engines_in[view.record.data_centre];
    }
    if (view.record.member_of) {
      const membership& own = *view.record.member_of;
      last_epoch_ = std::max(last_epoch_, own.replica.epoch);
      standing_replica& group = r.standing_all[own.replica];
      group.key = own.replica;
      group.members.push_back(&view);
      engine_memory& memory = memory_[id];
      if (own.state != member_state::joining && !view.record.loaded.empty()) {
        memory.ready_for = view.record.loaded;
        if (memory.load_for == view.record.loaded) {
          memory.load_for = {};
        }
      }
      r.dropped += view.listed || view.lost || is_spare_name(own.replica.name) ? 0 : 1;
    } else if (engine_memory& memory = memory_[id];
               memory.ready_for.empty() && memory.load_for.empty()) {
      // This keeper never saw it in a replica, another did: it joins one of that model at once, or
      // within the 1 to 2 s of warming up. Taken for blank, it would get ready a second time first.
      memory.ready_for = view.record.loaded;
    }
  }
  std::erase_if(first_seen_,
                [&](const auto& entry) { return !r.standing_all.contains(entry.first); });
  for (const auto& [key, group] : r.standing_all) {
    first_seen_.emplace(key, r.now);
    const bool own = std::any_of(group.members.begin(), group.members.end(),
                                 [&](const target_view* v) { return r.is_own(*v); });
    if (own) {
      r.standing.emplace(key, group);
    }
  }
}

void replica_keeper::ask(round& r, const target_view& view) {
  engine_memory& memory = memory_[view.record.id];
  if (!memory.report_pending && r.now >= memory.ask_after) {
    memory.report_pending = true;
    r.out.emplace_back(report_question{view.record.id, view.record.address});
  }
}

// The count of obeyed orders stands only in an engine's own report.
void replica_keeper::ask_reports(round& r) {
  for (const auto& [id, view] : r.fleet.all()) {
    if (view.record.service != r.service.id || !r.is_own(view) || !round::alive(&view)) {
      continue;
    }
    if (!is_current(view, memory_[id])) {
      ask(r, view);
    }
  }
}

// Whether the count of orders was seen together with what the fleet view says of the engine now.
bool replica_keeper::is_current(const target_view& view, const engine_memory& memory) {
  return memory.orders && memory.at_that_count == replica_of(view) && !view.doubted;
}

bool replica_keeper::may_order(round& r, const target_id& id) {
  const auto found = memory_.find(id);
  const target_view* view = r.fleet.find(id);
  const bool fits = found != memory_.end() && view != nullptr && is_current(*view, found->second) &&
                    !found->second.order_pending && r.now >= found->second.ask_after;
  // Goes wrong: this node hears nothing of the list, the engine has started again and joined a
  // replica of another keeper, and its new count is by chance the one of before. An engine takes
  // seconds from its start until it serves; so without news a count is good for less.
  if (fits && r.own.list_age > settings_.list_is_old &&
      r.now - found->second.counted_at > settings_.count_good_for) {
    ask(r, *view);
    return false;
  }
  return fits;
}

void replica_keeper::send(round& r, const target_view& to, order_action action,
                          const replica_key& replica, std::string_view reason,
                          const model_id& model, const std::vector<target_id>& members) {
  engine_memory& memory = memory_[to.record.id];
  memory.order_pending = true;
  r.out.emplace_back(replica_order{to.record.id, to.record.address, action, replica, model, members,
                                   *memory.orders, reason});
}

std::optional<replica_key> replica_keeper::replica_of(const target_view& view) {
  if (!view.record.member_of) {
    return std::nullopt;
  }
  return view.record.member_of->replica;
}

// Goes wrong: another node used a member meanwhile; told to join after all, it would leave a
// replica that serves.
bool replica_keeper::is_still_chosen(const round& r, const forming_replica& f) const {
  return std::all_of(f.members.begin(), f.members.end(), [&](const target_id& id) {
    const auto in = replica_of(*r.fleet.find(id));
    return in == f.key || (!f.told.contains(id) && in == f.chosen_from.at(id));
  });
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
    if (any_gone || r.now - f.begun > settings_.form_timeout || !is_still_chosen(r, f)) {
      f.failed = true;
      continue;
    }
    for (const target_id& id : f.members) {
      const target_view& view = *r.fleet.find(id);
      const auto& own = view.record.member_of;
      const bool joined = own && own->replica == f.key;
      const bool is_head = id == f.members.front();
      // Members after their head, see mend_standing.
      if (!joined && !f.told.contains(id) && (is_head || f.head_joined) && may_order(r, id)) {
        send(r, view, order_action::join, f.key, "forms", f.model, f.members);
      }
      whole = whole && joined && own->state != member_state::joining;
    }
    const target_view& head = *r.fleet.find(f.members.front());
    if (whole && head.record.member_of->state == member_state::ready &&
        may_order(r, head.record.id)) {
      send(r, head, order_action::open, f.key, "whole");
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
  std::erase_if(closing_since_,
                [&](const auto& entry) { return !r.standing_all.contains(entry.first); });
  for (const auto& [key, group] : r.standing) {
    if (is_spare_name(key.name)) {
      continue;
    }
    const bool is_forming = std::any_of(forming_.begin(), forming_.end(),
                                        [&k = key](const auto& f) { return f.key == k; });
    if (is_forming) {
      continue;
    }
    const bool dark =
        std::any_of(group.members.begin(), group.members.end(),
                    [&](const target_view* m) { return r.dark.contains(m->record.data_centre); });
    if (dark) {
      for (const target_view* member : group.members) {
        r.taken.insert(member->record.id);
      }
      continue;
    }
    const target_id head_id = head_of(key.name);
    const target_view* head = r.fleet.find(head_id);
    const bool head_in =
        head != nullptr && head->record.member_of && head->record.member_of->replica == key;
    // Its own word alone: its row may be one of before, see fleet_view.
    const bool head_out = head != nullptr && head->told_replica != key;
    if (head_out && !head_in && head->told_at > first_seen_.at(key)) {
      r.left.insert(key);  // its head has left since: the members are free
      continue;
    }
    if (head != nullptr && !head_in && round::alive(head)) {
      // Members join after their head, so that it was inside before they said so.
      ask(r, *head);
      for (const target_view* member : group.members) {
        r.taken.insert(member->record.id);
      }
      continue;
    }
    if (const std::string_view reason = why_apart(r, group, head); !reason.empty()) {
      take_apart(r, group, reason);
      continue;
    }
    if (spans_domains(group.members)) {
      r.far.push_back(group);
      if (const auto since = closing_since_.find(key); since != closing_since_.end()) {
        take_apart(r, group, "a domain needs its members");
        continue;
      }
    }
    for (const target_view* member : group.members) {
      r.taken.insert(member->record.id);
    }
    const bool all_ready = std::all_of(
        group.members.begin(), group.members.end(),
        [](const target_view* m) { return m->record.member_of->state != member_state::joining; });
    // Formed by a node that ended before it could open it.
    if (all_ready && head->record.member_of->state == member_state::ready && r.is_own(*head) &&
        may_order(r, head_id)) {
      send(r, *head, order_action::open, key, "whole");
    }
  }
}

// Empty: the replica serves, or will. Otherwise why it has to be taken apart.
std::string_view replica_keeper::why_apart(const round& r, const standing_replica& replica,
                                           const target_view* head) const {
  const bool head_in =
      head != nullptr && head->record.member_of && head->record.member_of->replica == replica.key;
  const model_shape* model =
      head_in ? r.engine.find_model(model_of_name(replica.key.name)) : nullptr;
  if (model == nullptr) {
    return head_in ? "its model is not configured" : "its head is gone";
  }
  if (replica.members.size() != model->size) {
    return "a member is in another replica or gone";
  }
  std::size_t dropped = 0;
  std::vector<target_id> lives;
  for (const target_view* member : replica.members) {
    lives.push_back(member->record.id);
    if (member->lost) {
      return "a member is lost";
    }
    if (member->record.draining) {
      return "a member leaves";
    }
    // A member that the list dropped may be cut off from the list alone, see serving_replicas.
    dropped += member->listed ? 0 : 1;
  }
  if (!head->listed) {
    return "its head is not listed";
  }
  // With a member that started again since it was formed it serves nobody.
  if (!matches_incarnations(replica.key.name, lives)) {
    return "a member started again";
  }
  const member_state state = head->record.member_of->state;
  if (state == member_state::broken || state == member_state::closing) {
    return state == member_state::broken ? "its head gave up" : "its head closes";
  }
  const bool replaceable = dropped > 0 && r.dropped <= few_dropped;
  return replaceable && has_spares(r, *head, *model, dropped) ? "spares replace an unlisted member"
                                                              : "";
}

// Whether so many engines of the head's domain are ready for its model and in no real replica.
bool replica_keeper::has_spares(const round& r, const target_view& head, const model_shape& model,
                                std::size_t desired) const {
  std::size_t count = 0;
  for (const auto& [id, view] : r.fleet.all()) {
    const auto& own = view.record.member_of;
    const bool spare = own && is_spare_name(own->replica.name) && own->state == member_state::ready;
    const auto memory = memory_.find(id);
    const bool ready = memory != memory_.end() && memory->second.ready_for == model.id;
    const bool here = view.record.domain == head.record.domain;
    count += spare && ready && here && round::alive(&view) && !view.record.draining ? 1 : 0;
  }
  return count >= desired;
}

// Head first. Until it is out, the members stay where they are.
void replica_keeper::take_apart(round& r, const standing_replica& replica,
                                std::string_view reason) {
  const target_view* head = r.fleet.find(head_of(replica.key.name));
  const bool head_in =
      head != nullptr && head->record.member_of && head->record.member_of->replica == replica.key;
  if (!head_in || !round::alive(head)) {
    orphan(r, replica, reason);
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
  const model_shape* model = r.engine.find_model(model_of_name(replica.key.name));
  // A replica across domains is slow: its requests end sooner if they go on elsewhere.
  const bool graceful = works && model != nullptr && replica.members.size() == model->size &&
                        !spans_domains(replica.members);
  // Goes wrong: the keepers of two data centres have members each; while the one forms the replica,
  // the other takes it for one that is not whole, and tells its head to leave.
  const bool reclaimed = closing_since_.contains(replica.key);
  if (!r.is_own(*head) && !reclaimed) {
    return;
  }
  const auto since = closing_since_.emplace(replica.key, r.now).first->second;
  if (!may_order(r, head->record.id)) {
    if (!r.is_own(*head)) {
      ask(r, *head);
    }
    return;
  }
  if (graceful && r.now - since < settings_.close_timeout) {
    if (state == member_state::open) {
      send(r, *head, order_action::close, replica.key, reason);
    }
    return;
  }
  send(r, *head, order_action::leave, replica.key, reason);
}

// The head does not answer, and may serve all the same: it may be cut off from this node alone.
// What goes wrong: its members join another replica and are still counted on by the old head. So
// they are first ordered to leave, and used only once they were seen outside: an engine without a
// replica works for nobody, and a head without a member moves nothing.
void replica_keeper::orphan(round& r, const standing_replica& replica, std::string_view reason) {
  const target_view* head = r.fleet.find(head_of(replica.key.name));
  // Another data centre's keeper sees more of its head; this node may have lost it alone.
  const bool judged_too_soon = head != nullptr && !r.is_own(*head) && head->listed &&
                               r.now - head->lost_at < settings_.back_within;
  if (judged_too_soon) {
    for (const target_view* member : replica.members) {
      r.taken.insert(member->record.id);
    }
    return;
  }
  if (head != nullptr) {
    if (may_order(r, head->record.id)) {
      send(r, *head, order_action::leave, replica.key, reason);
    } else if (!is_current(*head, memory_[head->record.id])) {
      ask(r, *head);
    }
  }
  for (const target_view* member : replica.members) {
    const target_id& id = member->record.id;
    if (member == head) {
      continue;
    }
    r.taken.insert(id);
    if (round::alive(member) && r.is_own(*member) && may_order(r, id)) {
      send(r, *member, order_action::leave, replica.key, reason);
    }
  }
}

// Engines that belong to no replica and may join one.
void replica_keeper::find_free(round& r) {
  for (const auto& [id, view] : r.fleet.all()) {
    const bool usable = view.record.service == r.service.id && r.is_own(view) &&
                        round::alive(&view) && !view.record.draining && !r.taken.contains(id) &&
                        !r.dark.contains(view.record.data_centre);
    if (!usable) {
      continue;
    }
    r.free[view.record.domain].push_back(&view);
  }
}

}  // namespace arbutus
