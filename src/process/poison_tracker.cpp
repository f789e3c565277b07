// Stores, exchanges and expires strikes against requests.
#include "process/poison_tracker.h"

#include <algorithm>

namespace arbutus {

namespace {

// Whether the entry has a strike for the same crash already. Comparing the target_id is not
// sufficient: a target that restarts within a second keeps its old id here until the list is
// updated, so its successive crashes would look like one. Runs in one incarnation overlap in time;
// a run that was sent after another one broke off reached a later incarnation. The slack covers
// ages in messages, which are truncated to milliseconds and do not include the time in transit.
bool is_known_end(const poison_entry& entry, const poison_strike& strike) {
  constexpr duration slack = 50ms;
  return std::any_of(entry.strikes.begin(), entry.strikes.end(), [&](const poison_strike& m) {
    return m.target == strike.target && m.sent_at < strike.ended_at + slack &&
           strike.sent_at < m.ended_at + slack;
  });
}

// Takes the strike over in the one for the same end, whose run may have been an earlier one with
// the same block. True if that changes whether it was sent after other ends.
bool merge_into_known_end(poison_entry& entry, const poison_strike& strike) {
  constexpr duration min_difference = 50ms;
  for (poison_strike& m : entry.strikes) {
    const bool same_end =
        m.target == strike.target && m.sent_at < strike.ended_at && strike.sent_at < m.ended_at;
    if (same_end && strike.sent_at > m.sent_at + min_difference) {
      m.sent_at = strike.sent_at;
      return true;
    }
  }
  return false;
}

// Time of the newest event that is recorded in the entry.
time_point newest_time(const poison_entry& entry) {
  time_point newest = entry.strikes.empty() ? time_point{} : entry.strikes.back().ended_at;
  newest = std::max(newest, entry.cleared_at.value_or(time_point{}));
  return std::max(newest, entry.quarantined_at.value_or(time_point{}));
}

}  // namespace

// Whether two times of the end of a target, as observed by different nodes, mean the same end.
bool poison_tracker::is_same_end(time_point a, time_point b) {
  constexpr duration tolerance = 50ms;  // ages in messages do not include the time in transit
  return a - b < tolerance && b - a < tolerance;
}

void poison_tracker::run_sent(time_point now, const target_id& target) {
  last_sent_to_[target] = now;
}

void poison_tracker::first_event_received(duration waited) {
  constexpr double weight = 0.02;
  mean_first_event_delay_s_ += weight * (to_seconds(waited) - mean_first_event_delay_s_);
}

bool poison_tracker::has_quarantined_cause(const request_fingerprint& fingerprint,
                                           const poison_strike& strike) const {
  const auto found = quarantined_causes_.find(strike.target);
  if (found == quarantined_causes_.end() || found->second == fingerprint) {
    return false;
  }
  const bool by_own_request = fingerprint.kind == fingerprint_kind::prompt_block &&
                              found->second.kind == fingerprint_kind::request &&
                              found->second.hash == strike.request_hash;
  return !by_own_request;
}

// Evicts the entry with the fewest strikes, the oldest among equals. Entries with several strikes
// are never evicted: otherwise a caller who sends thousands of different requests would push out
// the one that crashes the engines.
bool poison_tracker::make_room(const request_fingerprint& fingerprint) {
  const bool is_block = fingerprint.kind == fingerprint_kind::prompt_block;
  const auto count = entries_of_workspace_.find(fingerprint.workspace);
  const bool own_full = !is_block && count != entries_of_workspace_.end() &&
                        count->second >= settings_.max_tracked_requests_per_workspace;
  const bool all_full = is_block
                            ? tracked_blocks_ >= settings_.max_tracked_blocks
                            : entries_.size() - tracked_blocks_ >= settings_.max_tracked_requests;
  if (!own_full && !all_full) {
    return true;
  }
  auto weakest = entries_.end();
  const auto weight = [](const poison_entry& e) {
    return std::pair(e.quarantined_at ? std::size_t{1} << 32U : e.strikes.size(),
                     e.change_position);
  };
  for (auto i = entries_.begin(); i != entries_.end(); ++i) {
    const bool may_evict = i->first.kind == fingerprint.kind &&
                           (!own_full || i->first.workspace == fingerprint.workspace);
    if (may_evict && (weakest == entries_.end() || weight(i->second) < weight(weakest->second))) {
      weakest = i;
    }
  }
  if (weakest == entries_.end() || weakest->second.strikes.size() > 1 ||
      weakest->second.quarantined_at) {
    return false;
  }
  --entry_count(weakest->first);
  entries_.erase(weakest);
  return true;
}

std::size_t& poison_tracker::entry_count(const request_fingerprint& fingerprint) {
  return fingerprint.kind == fingerprint_kind::prompt_block
             ? tracked_blocks_
             : entries_of_workspace_[fingerprint.workspace];
}

poison_tracker::cleared_run& poison_tracker::cleared_slot(const request_fingerprint& fingerprint) {
  const bool is_block = fingerprint.kind == fingerprint_kind::prompt_block;
  return (is_block ? cleared_blocks_ : cleared_requests_)[fingerprint.hash % cleared_run_slots];
}

poison_entry* poison_tracker::entry_for(const request_fingerprint& fingerprint) {
  const auto found = entries_.find(fingerprint);
  if (found != entries_.end()) {
    return &found->second;
  }
  if (!make_room(fingerprint)) {
    ++rejected_strikes_;
    return nullptr;
  }
  ++entry_count(fingerprint);
  return &entries_[fingerprint];
}

bool poison_tracker::add_strike(const request_fingerprint& fingerprint, poison_entry& entry,
                                const poison_strike& strike) {
  const bool recently_cleared =
      entry.cleared_at && strike.ended_at <= *entry.cleared_at + settings_.clearance_duration;
  const bool is_block = fingerprint.kind == fingerprint_kind::prompt_block;
  if (is_block && !recently_cleared && merge_into_known_end(entry, strike)) {
    mark_changed(entry);
    return false;
  }
  if (recently_cleared || is_known_end(entry, strike) ||
      has_quarantined_cause(fingerprint, strike) ||
      entry.strikes.size() >=
          (is_block ? settings_.max_strikes_per_block : settings_.max_strikes_per_request)) {
    return false;
  }
  const auto place =
      std::upper_bound(entry.strikes.begin(), entry.strikes.end(), strike, ended_before);
  entry.strikes.insert(place, strike);
  if (entry.quarantined_at) {
    quarantined_causes_[strike.target] = fingerprint;
  }
  mark_changed(entry);
  return true;
}

bool poison_tracker::is_in_use(time_point at, const target_id& target) const {
  const auto sent = last_sent_to_.find(target);
  const bool recent =
      sent != last_sent_to_.end() && at - sent->second < settings_.target_use_window;
  return recent && std::none_of(ends_.begin(), ends_.end(),
                                [&](const observed_end& end) { return end.target == target; });
}

void poison_tracker::note_end(const target_id& target, time_point ended_at) {
  const bool known = std::any_of(ends_.begin(), ends_.end(), [&](const observed_end& end) {
    return end.target == target && is_same_end(end.ended_at, ended_at);
  });
  if (known) {
    return;
  }
  const auto live =
      std::count_if(last_sent_to_.begin(), last_sent_to_.end(),
                    [&](const auto& sent) { return is_in_use(ended_at, sent.first); });
  const auto later = [](time_point at, const observed_end& end) { return at < end.ended_at; };
  const auto place = std::upper_bound(ends_.begin(), ends_.end(), ended_at, later);
  ends_.insert(place, {target, ended_at, std::max(1.0, static_cast<double>(live))});
  if (ends_.size() > max_ends) {
    ends_.erase(ends_.begin());
  }
}

bool poison_tracker::record_strike(const request_fingerprint& fingerprint,
                                   const poison_strike& strike) {
  note_end(strike.target, strike.ended_at);
  const cleared_run& cleared = cleared_slot(fingerprint);
  if (cleared.fingerprint == fingerprint && cleared.at != time_point{} &&
      strike.ended_at <= cleared.at + settings_.clearance_duration) {
    return false;
  }
  poison_entry* entry = entry_for(fingerprint);
  return entry != nullptr && add_strike(fingerprint, *entry, strike);
}

void poison_tracker::clear_entry(poison_entry& entry, time_point cleared_at) {
  const time_point covered = cleared_at + settings_.clearance_duration;
  entry.cleared_at = cleared_at;
  std::erase_if(entry.strikes, [&](const poison_strike& m) {
    if (m.ended_at > covered) {
      return false;
    }
    quarantined_causes_.erase(m.target);
    return true;
  });
  if (entry.strikes.empty() || (entry.quarantined_at && *entry.quarantined_at <= covered)) {
    entry.quarantined_at.reset();
  }
  mark_changed(entry);
}

bool poison_tracker::clear(time_point now, const request_fingerprint& fingerprint) {
  cleared_slot(fingerprint) = {fingerprint, now};
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end()) {
    return false;
  }
  poison_entry& entry = found->second;
  const bool suspected = !entry.strikes.empty() || entry.quarantined_at;
  if (suspected) {
    clear_entry(entry, now);
  }
  return suspected;
}

bool poison_tracker::release(time_point now, const request_fingerprint& fingerprint) {
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end()) {
    return false;
  }
  clear_entry(found->second, now - settings_.clearance_duration);
  return true;
}

bool poison_tracker::has_strike(const request_fingerprint& block) const {
  const auto found = entries_.find(block);
  return found != entries_.end() && !found->second.strikes.empty();
}

bool poison_tracker::is_quarantined(const request_fingerprint& fingerprint) const {
  const auto found = entries_.find(fingerprint);
  return found != entries_.end() && found->second.quarantined_at;
}

std::optional<duration> poison_tracker::quarantine_remaining(
    time_point now, const request_fingerprint& fingerprint) const {
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end() || !found->second.quarantined_at) {
    return std::nullopt;
  }
  return std::max<duration>(newest_time(found->second) + settings_.quarantine_duration - now, 0ms);
}

std::size_t poison_tracker::quarantined() const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const auto& entry) { return entry.second.quarantined_at.has_value(); }));
}

// Expired quarantines are cleared, not erased: the store still has their rows, and peers may still
// hold them.
void poison_tracker::expire_quarantines(time_point now) {
  for (auto& [fingerprint, entry] : entries_) {
    if (entry.quarantined_at && now - newest_time(entry) > settings_.quarantine_duration) {
      clear_entry(entry, now - settings_.clearance_duration);
    }
  }
}

void poison_tracker::remove_expired(time_point now) {
  constexpr duration interval = 1s;
  if (now - last_expiry_at_ < interval) {
    return;
  }
  last_expiry_at_ = now;
  expire_quarantines(now);
  std::erase_if(entries_, [&](const entry_map::value_type& known) {
    const auto& [fingerprint, entry] = known;
    if (entry.quarantined_at || now - newest_time(entry) <= settings_.suspect_retention) {
      return false;
    }
    --entry_count(fingerprint);
    for (const poison_strike& m : entry.strikes) {
      quarantined_causes_.erase(m.target);
    }
    return true;
  });
  std::erase_if(entries_of_workspace_, [](const auto& entry) { return entry.second == 0; });
  std::erase_if(last_sent_to_, [&](const auto& entry) {
    return now - entry.second > settings_.target_use_window;
  });
  std::erase_if(
      ends_, [&](const observed_end& end) { return now - end.ended_at > settings_.end_retention; });
}

// Quarantines the request. The crashes of the targets that ran it now have a known cause, so they
// no longer count as strikes against the other requests that ran there.
void poison_tracker::quarantine(const request_fingerprint& fingerprint, poison_entry& entry,
                                time_point at) {
  entry.quarantined_at = at;
  entry.stored = false;
  for (const poison_strike& m : entry.strikes) {
    quarantined_causes_.try_emplace(m.target, fingerprint);
  }
  for (entry_map::value_type& other : entries_) {
    if (other.first != fingerprint && !other.second.quarantined_at) {
      std::erase_if(other.second.strikes,
                    [&](const poison_strike& m) { return has_quarantined_cause(other.first, m); });
    }
  }
  mark_changed(entry);
}

bool poison_tracker::merge_row(time_point now, const poison_row& row) {
  poison_entry* entry = entry_for(row.fingerprint);
  if (entry == nullptr) {
    return false;
  }
  const cleared_run& cleared = cleared_slot(row.fingerprint);
  std::optional<time_point> cleared_at;
  if (row.cleared_ago) {
    cleared_at = now - *row.cleared_ago;
  }
  const bool cleared_here = cleared.fingerprint == row.fingerprint && cleared.at != time_point{};
  if (cleared_here && (!cleared_at || *cleared_at < cleared.at)) {
    cleared_at = cleared.at;
  }
  // An age in a message is slightly too short, as it does not include the time in transit. Where
  // nothing has to be dropped, a later time seldom matters, and nodes clear a common block all the
  // time: each would tell the others of each time.
  const bool drops = !entry->strikes.empty() || entry->quarantined_at;
  const duration tolerance = drops ? 50ms : settings_.clearance_duration / 6;
  const bool newer =
      cleared_at && (!entry->cleared_at || *cleared_at > *entry->cleared_at + tolerance);
  if (newer) {
    clear_entry(*entry, *cleared_at);
  }
  for (const poison_row::strike& m : row.strikes) {
    note_end(m.target, now - m.ended_ago);
    add_strike(row.fingerprint, *entry,
               {m.target, now - m.sent_ago, now - m.ended_ago, m.request_hash});
  }
  bool quarantined = false;
  if (row.quarantined_ago && !entry->quarantined_at) {
    const time_point at = now - *row.quarantined_ago;
    if (!entry->cleared_at || at > *entry->cleared_at + settings_.clearance_duration) {
      quarantine(row.fingerprint, *entry, at);
      quarantined = true;
    }
  }
  if (row.stored && entry->quarantined_at && !entry->stored) {
    entry->stored = true;
    mark_changed(*entry);
  }
  return quarantined;
}

poison_row poison_tracker::to_row(time_point now, const entry_map::value_type& known) {
  const auto& [fingerprint, entry] = known;
  poison_row row;
  row.fingerprint = fingerprint;
  for (const poison_strike& m : entry.strikes) {
    row.strikes.push_back({m.target, now - m.sent_at, now - m.ended_at, m.request_hash});
  }
  if (entry.cleared_at) {
    row.cleared_ago = now - *entry.cleared_at;
  }
  if (entry.quarantined_at) {
    row.quarantined_ago = now - *entry.quarantined_at;
  }
  row.stored = entry.stored;
  return row;
}

std::vector<poison_row> poison_tracker::changed_since(time_point now, std::uint64_t& after,
                                                      std::size_t max_rows) const {
  std::vector<const entry_map::value_type*> changed;
  for (const entry_map::value_type& known : entries_) {
    if (known.second.change_position > after) {
      changed.push_back(&known);
    }
  }
  std::sort(changed.begin(), changed.end(), [](const auto* a, const auto* b) {
    return a->second.change_position < b->second.change_position;
  });
  if (changed.size() > max_rows) {
    changed.resize(max_rows);
  }
  std::vector<poison_row> rows;
  for (const entry_map::value_type* known : changed) {
    rows.push_back(to_row(now, *known));
    after = known->second.change_position;
  }
  if (rows.size() < max_rows) {
    after = position_;
  }
  return rows;
}

poison_tracker::store_changes poison_tracker::pending_store_changes() const {
  store_changes changes;
  for (const auto& [fingerprint, entry] : entries_) {
    if (entry.quarantined_at && !entry.stored) {
      changes.to_write.push_back(fingerprint);
    } else if (!entry.quarantined_at && entry.stored) {
      changes.to_remove.push_back(fingerprint);
    }
  }
  return changes;
}

void poison_tracker::set_stored(const request_fingerprint& fingerprint, bool stored) {
  const auto found = entries_.find(fingerprint);
  if (found != entries_.end() && found->second.stored != stored) {
    found->second.stored = stored;
    mark_changed(found->second);
  }
}

void poison_tracker::forget_stored() {
  for (auto& [fingerprint, entry] : entries_) {
    entry.stored = false;
  }
}

std::optional<poison_row> poison_tracker::quarantine_row(
    time_point now, const request_fingerprint& fingerprint) const {
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end() || !found->second.quarantined_at) {
    return std::nullopt;
  }
  return to_row(now, *found);
}

}  // namespace arbutus
