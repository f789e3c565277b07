// Stores, exchanges and expires strikes against requests.
#include "process/crash_ledger.h"

#include <algorithm>

namespace arbutus {

namespace {

// Whether the entry has a strike for the same crash already. The target_id alone does not tell: a
// target that restarts within a second keeps its old id here until the list is updated, so its
// successive crashes would look like one. Runs in one incarnation overlap in time; a run that was
// sent after another one broke off reached a later incarnation. The slack covers ages in messages,
// which are truncated to milliseconds and do not include the time in transit.
bool knows_end(const crash_entry& entry, const crash_mark& mark) {
  constexpr duration slack = 50ms;
  return std::any_of(entry.marks.begin(), entry.marks.end(), [&](const crash_mark& m) {
    return m.target == mark.target && m.sent_at < mark.ended_at + slack &&
           mark.sent_at < m.ended_at + slack;
  });
}

// Time of the newest event that is recorded in the entry.
time_point newest_of(const crash_entry& entry) {
  time_point newest = entry.marks.empty() ? time_point{} : entry.marks.back().ended_at;
  newest = std::max(newest, entry.acquitted_at.value_or(time_point{}));
  return std::max(newest, entry.convicted_at.value_or(time_point{}));
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

// Evicts the entry with the fewest strikes, the oldest among equals. Entries with several strikes
// are never evicted: otherwise a caller who sends thousands of different requests would push out
// the one that crashes the engines.
bool crash_ledger::make_room(const request_print& print) {
  const auto count = of_workspace_.find(print.workspace);
  const bool own_full =
      count != of_workspace_.end() && count->second >= settings_.most_of_workspace;
  if (!own_full && entries_.size() < settings_.max_entries) {
    return true;
  }
  auto weakest = entries_.end();
  const auto weight = [](const crash_entry& e) {
    return std::pair(e.convicted_at ? std::size_t{1} << 32U : e.marks.size(), e.changed);
  };
  for (auto i = entries_.begin(); i != entries_.end(); ++i) {
    const bool may_evict = !own_full || i->first.workspace == print.workspace;
    if (may_evict && (weakest == entries_.end() || weight(i->second) < weight(weakest->second))) {
      weakest = i;
    }
  }
  if (weakest == entries_.end() || weakest->second.marks.size() > 1 ||
      weakest->second.convicted_at) {
    return false;
  }
  --of_workspace_[weakest->first.workspace];
  entries_.erase(weakest);
  return true;
}

crash_entry* crash_ledger::entry_for(const request_print& print) {
  const auto found = entries_.find(print);
  if (found != entries_.end()) {
    return &found->second;
  }
  if (!make_room(print)) {
    ++rejected_strikes_;
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
  const well_run& cleared = well_[print.hash % well_slots];
  if (cleared.print == print && cleared.at != time_point{} &&
      mark.ended_at <= cleared.at + settings_.cleared_for) {
    return false;
  }
  crash_entry* entry = entry_for(print);
  return entry != nullptr && add_mark(print, *entry, mark);
}

void crash_ledger::clear_entry(crash_entry& entry, time_point acquitted_at) {
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
    clear_entry(entry, now);
  }
  return suspected;
}

bool crash_ledger::lift(time_point now, const request_print& print) {
  const auto found = entries_.find(print);
  if (found == entries_.end()) {
    return false;
  }
  clear_entry(found->second, now - settings_.cleared_for);
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
  return std::max<duration>(newest_of(found->second) + settings_.quarantine_duration - now, 0ms);
}

std::size_t crash_ledger::convicted() const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const auto& entry) { return entry.second.convicted_at.has_value(); }));
}

// Expired quarantines are cleared, not erased: the store still has their rows, and peers may still
// hold them.
void crash_ledger::expire_quarantines(time_point now) {
  for (auto& [print, entry] : entries_) {
    if (entry.convicted_at && now - newest_of(entry) > settings_.quarantine_duration) {
      clear_entry(entry, now - settings_.cleared_for);
    }
  }
}

void crash_ledger::remove_expired(time_point now) {
  constexpr duration interval = 1s;
  if (now - forgot_at_ < interval) {
    return;
  }
  forgot_at_ = now;
  expire_quarantines(now);
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
                [&](const auto& entry) { return now - entry.second > settings_.lookback_window; });
}

// The crashes of its targets now have a known cause, so they no longer count as strikes against the
// other requests that ran there.
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

bool crash_ledger::take(time_point now, const crash_row& row) {
  crash_entry* entry = entry_for(row.print);
  if (entry == nullptr) {
    return false;
  }
  const well_run& cleared = well_[row.print.hash % well_slots];
  std::optional<time_point> acquitted_at;
  if (row.acquitted_ago) {
    acquitted_at = now - *row.acquitted_ago;
  }
  const bool cleared_here = cleared.print == row.print && cleared.at != time_point{};
  if (cleared_here && (!acquitted_at || *acquitted_at < cleared.at)) {
    acquitted_at = cleared.at;
  }
  // An age in a message is slightly short: it does not include the time in transit.
  constexpr duration tolerance = 50ms;
  const bool newer =
      acquitted_at && (!entry->acquitted_at || *acquitted_at > *entry->acquitted_at + tolerance);
  if (newer) {
    clear_entry(*entry, *acquitted_at);
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
                                                   std::size_t max_rows) const {
  std::vector<const entry_map::value_type*> changed;
  for (const entry_map::value_type& known : entries_) {
    if (known.second.changed > after) {
      changed.push_back(&known);
    }
  }
  std::sort(changed.begin(), changed.end(),
            [](const auto* a, const auto* b) { return a->second.changed < b->second.changed; });
  if (changed.size() > max_rows) {
    changed.resize(max_rows);
  }
  std::vector<crash_row> rows;
  for (const entry_map::value_type* known : changed) {
    rows.push_back(to_row(now, *known));
    after = known->second.changed;
  }
  if (rows.size() < max_rows) {
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
