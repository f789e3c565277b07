// Evidence and verdicts.
#include "process/crash_ledger.h"

#include <algorithm>
#include <cmath>

namespace arbutus {

namespace {

bool ended_before(const crash_mark& a, const crash_mark& b) {
  return a.ended_at < b.ended_at;
}

bool names(const crash_entry& entry, const target_id& target) {
  return std::any_of(entry.marks.begin(), entry.marks.end(),
                     [&](const crash_mark& m) { return m.target == target; });
}

// The entry has one for this target.
const crash_mark& mark_at(const crash_entry& entry, const target_id& target) {
  return *std::find_if(entry.marks.begin(), entry.marks.end(),
                       [&](const crash_mark& m) { return m.target == target; });
}

// Goes wrong with the name of the life alone: a target that is back within a second is known by its
// earlier name until the list tells, so that its ends, one after the other, look like one. Runs of
// one life overlap; one that was sent after another had broken off met a later life. Ages that are
// told lose parts of a millisecond, and the time that they were on their way.
bool knows_end(const crash_entry& entry, const crash_mark& mark) {
  constexpr duration slack = 50ms;
  return std::any_of(entry.marks.begin(), entry.marks.end(), [&](const crash_mark& m) {
    return m.target == mark.target && m.sent_at < mark.ended_at + slack &&
           mark.sent_at < m.ended_at + slack;
  });
}

// The newest that is known of it.
time_point newest_of(const crash_entry& entry) {
  time_point newest = entry.marks.empty() ? time_point{} : entry.marks.back().ended_at;
  newest = std::max(newest, entry.acquitted_at.value_or(time_point{}));
  return std::max(newest, entry.convicted_at.value_or(time_point{}));
}

// Ends of which each came to a run that was sent after the one before: of the marks, by their ends,
// that `counts` wants.
template <class Predicate>
std::size_t events_of(const crash_entry& entry, Predicate counts) {
  std::size_t events = 0;
  time_point last_end{};
  for (const crash_mark& m : entry.marks) {
    if (counts(m) && (events == 0 || m.sent_at >= last_end)) {
      ++events;
      last_end = m.ended_at;
    }
  }
  return events;
}

}  // namespace

void crash_ledger::run_sent(time_point now, const target_id& target) {
  sent_to_[target] = now;
}

void crash_ledger::run_began(duration waited) {
  constexpr double weight = 0.02;
  waits_s_ += weight * (to_seconds(waited) - waits_s_);
}

bool crash_ledger::is_explained(const request_print& print, const target_id& target) const {
  const auto found = explained_.find(target);
  return found != explained_.end() && found->second != print;
}

// Those with the fewest marks give way first, the oldest among equals. Goes wrong otherwise: a
// caller who sends thousands of different requests frees the one that ends the engines.
bool crash_ledger::make_room(const request_print& print) {
  const auto count = of_workspace_.find(print.workspace);
  const bool own_full =
      count != of_workspace_.end() && count->second >= settings_.most_of_workspace;
  if (!own_full && entries_.size() < settings_.most_entries) {
    return true;
  }
  auto least = entries_.end();
  const auto weight = [](const crash_entry& e) {
    return std::pair(e.convicted_at ? std::size_t{1} << 32U : e.marks.size(), e.changed);
  };
  for (auto i = entries_.begin(); i != entries_.end(); ++i) {
    const bool may_go = !own_full || i->first.workspace == print.workspace;
    if (may_go && (least == entries_.end() || weight(i->second) < weight(least->second))) {
      least = i;
    }
  }
  if (least == entries_.end() || least->second.marks.size() > 1 || least->second.convicted_at) {
    return false;
  }
  --of_workspace_[least->first.workspace];
  entries_.erase(least);
  return true;
}

crash_entry* crash_ledger::entry_for(const request_print& print) {
  const auto found = entries_.find(print);
  if (found != entries_.end()) {
    return &found->second;
  }
  if (!make_room(print)) {
    ++turned_away_;
    return nullptr;
  }
  ++of_workspace_[print.workspace];
  return &entries_[print];
}

bool crash_ledger::add_mark(const request_print& print, crash_entry& entry,
                            const crash_mark& mark) {
  const bool acquitted =
      entry.acquitted_at && mark.ended_at <= *entry.acquitted_at + settings_.cleared_for;
  if (acquitted || knows_end(entry, mark) || is_explained(print, mark.target) ||
      entry.marks.size() >= settings_.most_marks) {
    return false;
  }
  const auto place = std::upper_bound(entry.marks.begin(), entry.marks.end(), mark, ended_before);
  entry.marks.insert(place, mark);
  if (entry.convicted_at) {
    explained_[mark.target] = print;
  }
  touch(entry);
  return true;
}

bool crash_ledger::mark(const request_print& print, const crash_mark& mark) {
  const well_run& well = well_[print.hash % well_slots];
  if (well.print == print && well.at != time_point{} &&
      mark.ended_at <= well.at + settings_.cleared_for) {
    return false;
  }
  crash_entry* entry = entry_for(print);
  return entry != nullptr && add_mark(print, *entry, mark);
}

void crash_ledger::clear(crash_entry& entry, time_point acquitted_at) {
  const time_point covered = acquitted_at + settings_.cleared_for;
  entry.acquitted_at = acquitted_at;
  std::erase_if(entry.marks, [&](const crash_mark& m) {
    if (m.ended_at > covered) {
      return false;
    }
    explained_.erase(m.target);
    return true;
  });
  if (entry.marks.empty() || (entry.convicted_at && *entry.convicted_at <= covered)) {
    entry.convicted_at.reset();
  }
  touch(entry);
}

bool crash_ledger::acquit(time_point now, const request_print& print) {
  well_[print.hash % well_slots] = {print, now};
  const auto found = entries_.find(print);
  if (found == entries_.end()) {
    return false;
  }
  crash_entry& entry = found->second;
  const bool suspected = !entry.marks.empty() || entry.convicted_at;
  if (suspected) {
    clear(entry, now);
  }
  return suspected;
}

bool crash_ledger::lift(time_point now, const request_print& print) {
  const auto found = entries_.find(print);
  if (found == entries_.end()) {
    return false;
  }
  clear(found->second, now - settings_.cleared_for);
  return true;
}

bool crash_ledger::is_convicted(const request_print& print) const {
  const auto found = entries_.find(print);
  return found != entries_.end() && found->second.convicted_at;
}

std::optional<duration> crash_ledger::convicted_for(time_point now,
                                                    const request_print& print) const {
  const auto found = entries_.find(print);
  if (found == entries_.end() || !found->second.convicted_at) {
    return std::nullopt;
  }
  return std::max<duration>(newest_of(found->second) + settings_.convicted_for - now, 0ms);
}

std::optional<time_point> crash_ledger::held_until(time_point now,
                                                   const request_print& print) const {
  const auto found = entries_.find(print);
  if (found == entries_.end() || found->second.convicted_at || found->second.marks.empty()) {
    return std::nullopt;
  }
  const crash_entry& entry = found->second;
  const time_point until = entry.marks.back().ended_at + settings_.settle;
  const bool waits = now <= until && events_of(entry, [](const crash_mark&) { return true; }) + 1 >=
                                         settings_.least_events;
  return waits ? std::optional(until) : std::nullopt;
}

std::size_t crash_ledger::convicted() const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const auto& entry) { return entry.second.convicted_at.has_value(); }));
}

// The row of a verdict that lapses is still in the store, and peers may still hold it.
void crash_ledger::lapse(time_point now) {
  for (auto& [print, entry] : entries_) {
    if (entry.convicted_at && now - newest_of(entry) > settings_.convicted_for) {
      clear(entry, now - settings_.cleared_for);
    }
  }
}

void crash_ledger::forget_old(time_point now) {
  constexpr duration interval = 1s;
  if (now - forgot_at_ < interval) {
    return;
  }
  forgot_at_ = now;
  lapse(now);
  std::erase_if(entries_, [&](const entry_map::value_type& known) {
    const auto& [print, entry] = known;
    if (entry.convicted_at || now - newest_of(entry) <= settings_.suspected_for) {
      return false;
    }
    --of_workspace_[print.workspace];
    for (const crash_mark& m : entry.marks) {
      explained_.erase(m.target);
    }
    return true;
  });
  std::erase_if(of_workspace_, [](const auto& entry) { return entry.second == 0; });
  std::erase_if(sent_to_,
                [&](const auto& entry) { return now - entry.second > settings_.looked_back; });
}

// What is newer than `settled` may lack the marks of other nodes.
crash_ledger::suspects_by_target crash_ledger::index(time_point settled) const {
  suspects_by_target ended;
  for (const entry_map::value_type& known : entries_) {
    for (const crash_mark& m : known.second.marks) {
      if (m.ended_at <= settled && !is_explained(known.first, m.target)) {
        ended[m.target].push_back(&known);
      }
    }
  }
  return ended;
}

// Targets that ended at the same moment as others, with no request in common: a signal to many
// processes, or a rack that fails. They say nothing of the requests there.
std::set<target_id> crash_ledger::mass_ends(const suspects_by_target& ended) const {
  std::vector<crash_mark> ends;
  for (const auto& [target, suspects] : ended) {
    ends.push_back(mark_at(suspects.front()->second, target));
  }
  std::sort(ends.begin(), ends.end(), ended_before);
  std::set<target_id> mass;
  for (auto first = ends.begin(); first != ends.end(); ++first) {
    const auto last = std::find_if(first, ends.end(), [&](const crash_mark& m) {
      return m.ended_at - first->ended_at > settings_.same_moment;
    });
    std::set<const entry_map::value_type*> seen;
    const bool none_in_common = std::all_of(first, last, [&](const crash_mark& m) {
      const auto& suspects = ended.at(m.target);
      return std::all_of(suspects.begin(), suspects.end(),
                         [&](const auto* s) { return seen.insert(s).second; });
    });
    if (none_in_common && static_cast<std::size_t>(last - first) >= settings_.targets_of_mass) {
      std::for_each(first, last, [&](const crash_mark& m) { mass.insert(m.target); });
    }
  }
  return mass;
}

// Whether another suspect was there with more marks than a verdict needs at the least: then that
// one is the likelier cause.
bool crash_ledger::is_explained_by_others(const suspects_by_target& ended,
                                          const target_id& target) const {
  const auto& suspects = ended.at(target);
  return std::any_of(suspects.begin(), suspects.end(), [&](const auto* suspect) {
    return suspect->second.marks.size() > settings_.least_events;
  });
}

// Targets that ended between, not under the suspect, and that nothing explains: for reasons of
// their own.
std::size_t crash_ledger::other_ends(const entry_map::value_type& suspect,
                                     const suspects_by_target& ended, time_point from,
                                     time_point to) const {
  std::size_t ends = 0;
  for (const auto& [target, suspects] : ended) {
    const crash_mark& mark = mark_at(suspects.front()->second, target);
    const bool between = mark.ended_at >= from && mark.ended_at <= to;
    ends += between && !names(suspect.second, target) && !is_explained_by_others(ended, target);
  }
  return ends;
}

// If targets end as often as they did around then, for reasons of their own: the probability that a
// request is lost in so many runs in a row, each time before it has gone on for a while.
double crash_ledger::chance_of(const entry_map::value_type& suspect, std::size_t events,
                               const suspects_by_target& ended) const {
  // None in a few seconds does not prove that there are none; usually there are hours between two.
  constexpr double ends_assumed = 0.05;
  const time_point first = suspect.second.marks.front().ended_at;
  const time_point last = suspect.second.marks.back().ended_at;
  const auto ends_per_s = [&](duration before, double assumed) {
    const auto ends = static_cast<double>(other_ends(suspect, ended, first - before, last));
    return (ends + assumed) / to_seconds(last - first + before);
  };
  // A series may have begun just before.
  const double rate = std::max(ends_per_s(settings_.looked_back, ends_assumed),
                               ends_per_s(settings_.looked_back / 4, 0));
  const auto living = std::count_if(sent_to_.begin(), sent_to_.end(), [&](const auto& known) {
    return !ended.contains(known.first);
  });
  const double targets = std::max<double>(1, static_cast<double>(living));
  const double lost = rate / targets * (waits_s_ + to_seconds(hardly_begun));
  return std::pow(std::min(lost, 1.0), static_cast<double>(events));
}

std::optional<crash_verdict> crash_ledger::judge_one(const entry_map::value_type& suspect,
                                                     const suspects_by_target& ended,
                                                     const std::set<target_id>& mass) const {
  const auto marks_of = [&](const entry_map::value_type* known) {
    return std::count_if(known->second.marks.begin(), known->second.marks.end(),
                         [&](const crash_mark& m) { return ended.contains(m.target); });
  };
  const auto own = marks_of(&suspect);
  const auto settled = [&](const crash_mark& m) {
    return ended.contains(m.target) && !mass.contains(m.target);
  };
  const auto alone = [&](const crash_mark& m) {
    const auto found = ended.find(m.target);
    return found != ended.end() && !mass.contains(m.target) &&
           std::none_of(found->second.begin(), found->second.end(), [&](const auto* other) {
             return other != &suspect && marks_of(other) >= own;
           });
  };
  std::size_t events = events_of(suspect.second, alone);
  if (events < settings_.least_events) {
    events = events_of(suspect.second, settled);
    if (events < settings_.events_of_inseparable) {
      return std::nullopt;
    }
  }
  const double chance = chance_of(suspect, events, ended);
  if (chance > settings_.accepted_chance) {
    return std::nullopt;
  }
  crash_verdict verdict{suspect.first, {}, events, chance};
  for (const crash_mark& m : suspect.second.marks) {
    verdict.targets.push_back(m.target);
  }
  return verdict;
}

// Its ends are explained by it: they say nothing of what else ran there.
void crash_ledger::convict(const request_print& print, crash_entry& entry, time_point at) {
  entry.convicted_at = at;
  entry.stored = false;
  for (const crash_mark& m : entry.marks) {
    explained_.try_emplace(m.target, print);
  }
  for (entry_map::value_type& other : entries_) {
    if (other.first != print && !other.second.convicted_at) {
      std::erase_if(other.second.marks,
                    [&](const crash_mark& m) { return is_explained(other.first, m.target); });
    }
  }
  touch(entry);
}

std::vector<crash_verdict> crash_ledger::judge(time_point now) {
  forget_old(now);
  std::vector<crash_verdict> verdicts;
  const auto may_be_guilty = [&](const auto& known) {
    return !known.second.convicted_at && known.second.marks.size() >= settings_.least_events;
  };
  if (std::none_of(entries_.begin(), entries_.end(), may_be_guilty)) {
    return verdicts;
  }
  // One at a time: what the first one explains is no evidence against the next.
  for (bool found = true; found;) {
    found = false;
    const suspects_by_target ended = index(now - settings_.settle);
    const std::set<target_id> mass = mass_ends(ended);
    for (auto& known : entries_) {
      auto verdict = may_be_guilty(known) ? judge_one(known, ended, mass) : std::nullopt;
      if (verdict) {
        convict(known.first, known.second, now);
        verdicts.push_back(std::move(*verdict));
        found = true;
        break;
      }
    }
  }
  return verdicts;
}

bool crash_ledger::take(time_point now, const crash_row& row) {
  crash_entry* entry = entry_for(row.print);
  if (entry == nullptr) {
    return false;
  }
  const well_run& well = well_[row.print.hash % well_slots];
  std::optional<time_point> acquitted_at;
  if (row.acquitted_ago) {
    acquitted_at = now - *row.acquitted_ago;
  }
  const bool well_here = well.print == row.print && well.at != time_point{};
  if (well_here && (!acquitted_at || *acquitted_at < well.at)) {
    acquitted_at = well.at;
  }
  // A told age is a little short, by the time that the beat was on its way.
  constexpr duration same = 50ms;
  const bool newer =
      acquitted_at && (!entry->acquitted_at || *acquitted_at > *entry->acquitted_at + same);
  if (newer) {
    clear(*entry, *acquitted_at);
  }
  for (const crash_row::mark& m : row.marks) {
    add_mark(row.print, *entry, {m.target, now - m.sent_ago, now - m.ended_ago});
  }
  bool convicted = false;
  if (row.convicted_ago && !entry->convicted_at) {
    const time_point at = now - *row.convicted_ago;
    if (!entry->acquitted_at || at > *entry->acquitted_at + settings_.cleared_for) {
      convict(row.print, *entry, at);
      convicted = true;
    }
  }
  if (row.stored && entry->convicted_at && !entry->stored) {
    entry->stored = true;
    touch(*entry);
  }
  return convicted;
}

crash_row crash_ledger::to_row(time_point now, const entry_map::value_type& known) {
  const auto& [print, entry] = known;
  crash_row row;
  row.print = print;
  for (const crash_mark& m : entry.marks) {
    row.marks.push_back({m.target, now - m.sent_at, now - m.ended_at});
  }
  if (entry.acquitted_at) {
    row.acquitted_ago = now - *entry.acquitted_at;
  }
  if (entry.convicted_at) {
    row.convicted_ago = now - *entry.convicted_at;
  }
  row.stored = entry.stored;
  return row;
}

std::vector<crash_row> crash_ledger::changed_since(time_point now, std::uint64_t& after,
                                                   std::size_t most) const {
  std::vector<const entry_map::value_type*> changed;
  for (const entry_map::value_type& known : entries_) {
    if (known.second.changed > after) {
      changed.push_back(&known);
    }
  }
  std::sort(changed.begin(), changed.end(),
            [](const auto* a, const auto* b) { return a->second.changed < b->second.changed; });
  if (changed.size() > most) {
    changed.resize(most);
  }
  std::vector<crash_row> rows;
  for (const entry_map::value_type* known : changed) {
    rows.push_back(to_row(now, *known));
    after = known->second.changed;
  }
  if (rows.size() < most) {
    after = position_;
  }
  return rows;
}

crash_ledger::store_changes crash_ledger::for_store() const {
  store_changes changes;
  for (const auto& [print, entry] : entries_) {
    if (entry.convicted_at && !entry.stored) {
      changes.to_write.push_back(print);
    } else if (!entry.convicted_at && entry.stored) {
      changes.to_remove.push_back(print);
    }
  }
  return changes;
}

void crash_ledger::set_stored(const request_print& print, bool stored) {
  const auto found = entries_.find(print);
  if (found != entries_.end() && found->second.stored != stored) {
    found->second.stored = stored;
    touch(found->second);
  }
}

std::optional<crash_row> crash_ledger::row_of(time_point now, const request_print& print) const {
  const auto found = entries_.find(print);
  if (found == entries_.end() || !found->second.convicted_at) {
    return std::nullopt;
  }
  return to_row(now, *found);
}

}  // namespace arbutus
