// Updates a node's view of the targets, and derives from it the replicas that can serve.
#include "process/fleet_view.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

#include "process/replica_name.h"
#include "process/target_incarnation.h"

namespace arbutus {

namespace {

std::optional<replica_key> replica_in(const std::optional<membership>& member_of) {
  return member_of ? std::optional<replica_key>(member_of->replica) : std::nullopt;
}

}  // namespace

std::string_view to_string(member_state state) {
  static constexpr std::array<std::string_view, 5> names = {"joining", "ready", "open", "closing",
                                                            "broken"};
  return names[static_cast<std::size_t>(state)];
}

bool fleet_view::accept_incarnation(time_point now, const target_id& incarnation) {
  engine_incarnations& known = incarnations_by_engine_[std::string(engine_of(incarnation))];
  if (known.current == incarnation) {
    return true;
  }
  if (std::find(known.ended.begin(), known.ended.end(), incarnation) != known.ended.end()) {
    return false;
  }
  if (!known.current.empty()) {
    targets_.erase(known.current);
    known.ended.push_back(known.current);
    if (known.ended.size() > max_ended_incarnations) {
      known.ended.erase(known.ended.begin());
    }
    ++revision_;
  }
  known.current = incarnation;
  targets_[incarnation].incarnation_seen_at = now;
  return true;
}

// Keeps membership and model from the target's answers if they are newer than the row. While the
// store is unavailable, no rows are written but replicas are still formed, so the rows read after
// it returns can be older than the answers.
void fleet_view::apply_row_state(target_view& view, const target_record& record, time_point as_of) {
  if (as_of >= view.state_at) {
    view.record = record;
    view.state_at = as_of;
    view.ambiguous = false;
    return;
  }
  const bool differs =
      view.record.member_of != record.member_of || view.record.loaded != record.loaded;
  const std::optional<membership> member_of = view.record.member_of;
  const model_id loaded = view.record.loaded;
  view.record = record;
  view.record.member_of = member_of;
  view.record.loaded = loaded;
  view.ambiguous = view.ambiguous || differs;
}

bool fleet_view::apply_record(time_point observed_at, target_record record,
                              std::uint64_t row_version, std::optional<time_point> written_after) {
  if (!accept_address(record, row_version) || !accept_incarnation(observed_at, record.id)) {
    return false;
  }
  target_view& view = targets_[record.id];
  const bool changed = !view.listed || view.record != record || view.lost;
  // A new record was written by a running process. Unchanged rows of a complete list do not prove
  // that; replace_all() skips them.
  view.listed = true;
  view.lost = false;
  view.ended = false;
  view.failed_probes = 0;
  view.last_contact_at = std::max(view.last_contact_at, observed_at);
  view.row_version = std::max(view.row_version, row_version);
  if (!written_after) {
    // The list is watched without a gap, so this row was written after the last query of the list
    // and is newer than any answer before that.
    view.state_at = std::max(view.state_at, observed_at);
    view.ambiguous = false;
    view.record = std::move(record);
  } else {
    apply_row_state(view, record, *written_after);
  }
  revision_ += changed ? 1 : 0;
  return true;
}

// Without this, when an engine ends and another one starts at its address under another name, a
// probe of the ended engine returns the membership of the new one, because reports do not name
// their sender. The replica then has a surplus member and is dissolved and formed again about once
// per second for as long as the old name is stored. The ended engine would also receive requests
// until its row expires.
bool fleet_view::accept_address(const target_record& record, std::uint64_t row_version) {
  if (row_version == 0) {
    return true;
  }
  target_id& owner = address_owners_[record.address];
  if (!owner.empty() && owner != record.id) {
    const target_view* other = find(owner);
    const bool is_there = other != nullptr && other->record.address == record.address;
    if (is_there && other->row_version > row_version) {
      return false;
    }
    if (is_there) {
      remove_target(owner);
    }
  }
  owner = record.id;
  return true;
}

void fleet_view::remove_target(const target_id& id) {
  incarnations_by_engine_.erase(std::string(engine_of(id)));
  targets_.erase(id);
  ++revision_;
}

void fleet_view::mark_engine_unlisted(time_point now, std::string_view engine) {
  mark_unlisted(now, current_incarnation(engine));
}

target_id fleet_view::current_incarnation(std::string_view engine) const {
  const auto found = incarnations_by_engine_.find(engine);
  return found == incarnations_by_engine_.end() ? target_id{} : found->second.current;
}

void fleet_view::mark_unlisted(time_point now, const target_id& id) {
  const auto found = targets_.find(id);
  if (found == targets_.end() || !found->second.listed) {
    return;
  }
  found->second.listed = false;
  found->second.unlisted_since = now;
  ++revision_;
}

void fleet_view::replace_all(time_point now, const std::vector<listed_row>& rows,
                             std::optional<time_point> written_after) {
  std::set<target_id> present;
  for (const auto& [record, version] : rows) {
    present.insert(record.id);
    const auto known = targets_.find(record.id);
    const bool is_new_row = known == targets_.end() || !known->second.listed ||
                            known->second.row_version < version || version == 0;
    if (is_new_row) {
      apply_record(now, record, version, written_after);
    }
  }
  for (const auto& [id, view] : targets_) {
    if (!present.contains(id)) {
      mark_unlisted(now, id);
    }
  }
}

bool fleet_view::contradicts_others(const target_record& record) const {
  const target_id current = current_incarnation(engine_of(record.id));
  const auto owner = address_owners_.find(record.address);
  return (!current.empty() && current != record.id) ||
         (owner != address_owners_.end() && owner->second != record.id &&
          targets_.contains(owner->second));
}

void fleet_view::merge_restored(time_point now, const std::vector<listed_row>& rows) {
  for (const auto& [record, version] : rows) {
    const auto known = targets_.find(record.id);
    if (known == targets_.end()) {
      if (!contradicts_others(record)) {
        apply_record(now, record, version, time_point{});
      }
      continue;
    }
    target_view& view = known->second;
    const target_record before = view.record;
    constexpr time_point long_ago{};
    apply_row_state(view, record, long_ago);
    view.record.draining = record.draining || before.draining;
    view.row_version = std::max(view.row_version, version);
    revision_ += view.record != before ? 1 : 0;
  }
}

bool fleet_view::apply_answer(time_point queried_at, time_point as_of, const target_id& id,
                              const target_answer& answer) {
  if (answer.incarnation != id) {
    replace_incarnation(queried_at, as_of, id, answer);
    return false;
  }
  const auto found = targets_.find(id);
  if (found == targets_.end()) {
    return true;
  }
  target_view& view = found->second;
  bool changed = view.lost || view.slowdown_factor != answer.slowdown_factor;
  view.last_contact_at = std::max(view.last_contact_at, queried_at);
  view.failed_probes = 0;
  view.lost = false;
  view.ended = false;
  view.slowdown_factor = answer.slowdown_factor;
  if (as_of > view.reported_at) {
    view.reported_at = as_of;
    view.last_reported_replica = replica_in(answer.member_of);
  }
  if (as_of > view.state_at) {
    view.ambiguous = false;
    changed =
        changed || view.record.member_of != answer.member_of || view.record.loaded != answer.loaded;
    view.state_at = as_of;
    view.record.member_of = answer.member_of;
    view.record.loaded = answer.loaded;
  }
  if (changed) {
    ++revision_;
  }
  return true;
}

// The answering incarnation is newer than `id` only if `id` was already known when the probe was
// sent; otherwise the engine has restarted again since it answered.
void fleet_view::replace_incarnation(time_point queried_at, time_point as_of, const target_id& id,
                                     const target_answer& answer) {
  const target_view* before = find(id);
  const bool is_newer = before != nullptr && engine_of(answer.incarnation) == engine_of(id) &&
                        before->incarnation_seen_at <= queried_at;
  if (!is_newer) {
    return;
  }
  target_view next = *before;
  next.record.id = answer.incarnation;
  next.record.member_of = answer.member_of;
  next.record.loaded = answer.loaded;
  next.record.draining = false;
  next.last_contact_at = queried_at;
  next.state_at = as_of;
  next.incarnation_seen_at = queried_at;
  next.reported_at = as_of;
  next.last_reported_replica = replica_in(answer.member_of);
  next.ambiguous = false;
  next.failed_probes = 0;
  next.lost = false;
  next.ended = false;
  next.slowdown_factor = answer.slowdown_factor;
  if (accept_incarnation(queried_at, answer.incarnation)) {
    targets_[answer.incarnation] = std::move(next);
    ++revision_;
  }
}

void fleet_view::apply_order(time_point now, const target_id& id,
                             const std::optional<membership>& member_of) {
  const auto found = targets_.find(id);
  if (found == targets_.end()) {
    return;
  }
  target_view& view = found->second;
  view.state_at = std::max(view.state_at, now);
  view.ambiguous = false;
  view.reported_at = view.state_at;
  view.last_reported_replica = replica_in(member_of);
  if (view.record.member_of != member_of) {
    view.record.member_of = member_of;
    ++revision_;
  }
}

void fleet_view::probe_failed(time_point now, const target_id& id, unanswered_probe failure) {
  const auto found = targets_.find(id);
  if (found == targets_.end()) {
    return;
  }
  target_view& view = found->second;
  const bool may_stop_listening = !view.listed || view.record.draining;
  view.ended = view.ended || (failure == unanswered_probe::refused && !may_stop_listening);
  if (view.lost) {
    return;
  }
  ++view.failed_probes;
  if (view.failed_probes >= probes_until_lost) {
    view.lost = true;
    view.marked_lost_at = now;
    ++revision_;
  }
}

void fleet_view::answered_a_peer(const target_id& id) {
  const auto found = targets_.find(id);
  if (found != targets_.end()) {
    found->second.failed_probes = 0;
    found->second.ended = false;
  }
}

void fleet_view::revoke_losses(time_point from) {
  for (auto& [id, view] : targets_) {
    view.failed_probes = 0;
    if (view.lost && view.marked_lost_at >= from) {
      view.lost = false;
      view.ended = false;
      ++revision_;
    }
  }
}

void fleet_view::set_slowdown_factor(const target_id& id, double slowdown_factor) {
  const auto found = targets_.find(id);
  if (found != targets_.end() && found->second.slowdown_factor != slowdown_factor) {
    found->second.slowdown_factor = slowdown_factor;
    ++revision_;
  }
}

void fleet_view::apply_hub_losses(time_point now, const std::vector<target_id>& still_lost) {
  for (auto& [id, view] : targets_) {
    // A lost target that is also unlisted becomes reachable again only through a new record.
    if (!view.lost || !view.listed || now - view.marked_lost_at <= hub_loss_report_delay) {
      continue;
    }
    if (std::find(still_lost.begin(), still_lost.end(), id) == still_lost.end()) {
      view.lost = false;
      view.ended = false;
      view.failed_probes = 0;
      ++revision_;
    }
  }
}

void fleet_view::remove_expired(time_point now) {
  std::erase_if(targets_, [now](const auto& entry) {
    return !entry.second.listed && now - entry.second.unlisted_since > unlisted_retention;
  });
  std::erase_if(incarnations_by_engine_,
                [this](const auto& entry) { return !targets_.contains(entry.second.current); });
  std::erase_if(address_owners_,
                [this](const auto& entry) { return !targets_.contains(entry.second); });
}

const target_view* fleet_view::find(const target_id& id) const {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : &found->second;
}

std::vector<serving_replica> serving_replicas(const fleet_view& fleet, const service_id& service,
                                              const model_id& model, std::uint32_t size,
                                              lost_target_policy lost) {
  std::map<replica_key, std::vector<const target_view*>> groups;
  for (const auto& [id, view] : fleet.all()) {
    if (view.record.service != service || !view.record.member_of) {
      continue;
    }
    const bool is_head = view.record.member_of->rank == 0;
    const bool present = lost == lost_target_policy::include || !view.lost;
    if ((view.listed || !is_head) && present && !view.record.draining) {
      groups[view.record.member_of->replica].push_back(&view);
    }
  }
  std::vector<serving_replica> result;
  for (const auto& [key, members] : groups) {
    if (members.size() != size) {
      continue;
    }
    serving_replica replica;
    std::set<std::uint32_t> ranks;
    std::set<fabric_domain_id> domains;
    std::set<data_centre_id> data_centres;
    const target_view* head = nullptr;
    for (const target_view* member : members) {
      const membership& role = *member->record.member_of;
      if (role.rank == 0 && role.state == member_state::open && member->record.loaded == model) {
        head = member;
      }
      const bool works =
          role.rank == 0 || role.state == member_state::ready || role.state == member_state::open;
      if (works) {
        ranks.insert(role.rank);
      }
      domains.insert(member->record.domain);
      data_centres.insert(member->record.data_centre);
      replica.members.push_back(member->record.id);
      replica.slowdown_factor = std::max(replica.slowdown_factor, member->slowdown_factor);
    }
    if (head == nullptr || ranks.size() != size) {
      continue;
    }
    // A member has restarted, and a late order made it join again under the same replica name. The
    // head does not work with the new incarnation.
    if (!matches_incarnations(key.name, replica.members)) {
      continue;
    }
    replica.key = key;
    replica.service = service;
    replica.model = model;
    replica.head = head->record.id;
    replica.address = head->record.address;
    replica.data_centre = head->record.data_centre;
    data_centres.erase(replica.data_centre);
    replica.other_data_centres.assign(data_centres.begin(), data_centres.end());
    replica.crosses_domains = domains.size() > 1;
    result.push_back(std::move(replica));
  }
  return result;
}

}  // namespace arbutus
