// Decides which suspects of the poison tracker are quarantined.
#include <algorithm>
#include <cmath>

#include "process/poison_tracker.h"

namespace arbutus {

namespace {

// The entry's strike for this target, which must exist.
const poison_strike& strike_at(const poison_entry& entry, const target_id& target) {
  return *std::find_if(entry.strikes.begin(), entry.strikes.end(),
                       [&](const poison_strike& m) { return m.target == target; });
}

// Number of separate events among the strikes that `counts` selects: each run was sent after the
// target of the previous event had ended.
template <class Predicate>
std::size_t count_events(const poison_entry& entry, Predicate counts) {
  std::size_t events = 0;
  time_point last_end{};
  for (const poison_strike& m : entry.strikes) {
    if (counts(m) && (events == 0 || m.sent_at >= last_end)) {
      ++events;
      last_end = m.ended_at;
    }
  }
  return events;
}

}  // namespace

std::optional<time_point> poison_tracker::held_until(time_point now,
                                                     const request_fingerprint& fingerprint) const {
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end() || found->second.quarantined_at || found->second.strikes.empty()) {
    return std::nullopt;
  }
  const poison_entry& entry = found->second;
  const time_point until = entry.strikes.back().ended_at + settings_.strike_settle_time;
  const bool waits =
      now <= until && count_events(entry, [](const poison_strike&) { return true; }) + 1 >=
                          settings_.min_quarantine_events;
  return waits ? std::optional(until) : std::nullopt;
}

// Maps each target that ended to the suspects that have a strike for it. Leaves out strikes newer
// than `settled`: strikes of other nodes for the same crashes may still be in transit.
poison_tracker::suspects_by_target poison_tracker::index_by_target(time_point settled) const {
  suspects_by_target ended;
  for (const entry_map::value_type& known : entries_) {
    for (const poison_strike& m : known.second.strikes) {
      if (m.ended_at <= settled && !has_quarantined_cause(known.first, m.target)) {
        ended[m.target].push_back(&known);
      }
    }
  }
  return ended;
}

// Targets that ended at the same time as others with no request in common, as by a signal to many
// processes or a failing rack. Their ends are no evidence against the requests there.
std::set<target_id> poison_tracker::mass_failures(const suspects_by_target& ended) const {
  std::vector<poison_strike> ends;
  for (const auto& [target, suspects] : ended) {
    ends.push_back(strike_at(suspects.front()->second, target));
  }
  std::sort(ends.begin(), ends.end(), ended_before);
  std::set<target_id> mass_failed;
  for (auto first = ends.begin(); first != ends.end(); ++first) {
    const auto last = std::find_if(first, ends.end(), [&](const poison_strike& m) {
      return m.ended_at - first->ended_at > settings_.mass_failure_window;
    });
    std::set<const entry_map::value_type*> seen;
    const bool none_in_common = std::all_of(first, last, [&](const poison_strike& m) {
      const auto& suspects = ended.at(m.target);
      return std::all_of(suspects.begin(), suspects.end(),
                         [&](const auto* s) { return seen.insert(s).second; });
    });
    if (none_in_common &&
        static_cast<std::size_t>(last - first) >= settings_.mass_failure_min_targets) {
      std::for_each(first, last, [&](const poison_strike& m) { mass_failed.insert(m.target); });
    }
  }
  return mass_failed;
}

std::map<request_fingerprint, double> poison_tracker::accepted_causes(time_point settled) const {
  std::vector<observed_end> ends;
  for (const observed_end& end : ends_) {
    if (end.ended_at <= settled && !quarantined_causes_.contains(end.target)) {
      ends.push_back(end);
    }
  }
  std::vector<const entry_map::value_type*> suspects;
  for (const entry_map::value_type& known : entries_) {
    if (!known.second.quarantined_at &&
        known.second.strikes.size() >= settings_.min_quarantine_events) {
      suspects.push_back(&known);
    }
  }
  std::stable_sort(suspects.begin(), suspects.end(), [](const auto* a, const auto* b) {
    return a->second.strikes.size() > b->second.strikes.size();
  });
  suspects.resize(std::min(suspects.size(), max_weighed_suspects));
  std::vector<request_fingerprint> weighed;
  std::vector<std::vector<std::size_t>> ends_of_suspects;
  for (const auto* suspect : suspects) {
    std::vector<std::size_t> own;
    for (std::size_t e = 0; e < ends.size(); ++e) {
      const auto& strikes = suspect->second.strikes;
      if (std::any_of(strikes.begin(), strikes.end(), [&](const poison_strike& m) {
            return m.target == ends[e].target && is_same_end(m.ended_at, ends[e].ended_at);
          })) {
        own.push_back(e);
      }
    }
    if (own.size() >= settings_.min_quarantine_events) {
      weighed.push_back(suspect->first);
      ends_of_suspects.push_back(std::move(own));
    }
  }
  const duration exposure = from_seconds(mean_first_event_delay_s_) + strike_window;
  std::map<request_fingerprint, double> causes;
  for (const accepted_cause& cause :
       find_causes(ends, ends_of_suspects, exposure, settings_.explanation)) {
    causes.emplace(weighed[cause.suspect], cause.gain);
  }
  return causes;
}

std::optional<quarantine_decision> poison_tracker::evaluate_suspect(
    const entry_map::value_type& suspect, const suspects_by_target& ended,
    const std::set<target_id>& mass_failed,
    const std::map<request_fingerprint, double>& causes) const {
  const auto cause = causes.find(suspect.first);
  if (cause == causes.end()) {
    return std::nullopt;
  }
  const auto marks_of = [&](const entry_map::value_type* known) {
    return std::count_if(known->second.strikes.begin(), known->second.strikes.end(),
                         [&](const poison_strike& m) { return ended.contains(m.target); });
  };
  const auto own = marks_of(&suspect);
  const auto settled = [&](const poison_strike& m) {
    return ended.contains(m.target) && !mass_failed.contains(m.target);
  };
  const auto only_suspect = [&](const poison_strike& m) {
    const auto found = ended.find(m.target);
    return found != ended.end() && !mass_failed.contains(m.target) &&
           std::none_of(found->second.begin(), found->second.end(), [&](const auto* other) {
             return other != &suspect && marks_of(other) >= own;
           });
  };
  std::size_t events = count_events(suspect.second, only_suspect);
  if (events < settings_.min_quarantine_events) {
    events = count_events(suspect.second, settled);
    if (events < settings_.min_quarantine_events_inseparable) {
      return std::nullopt;
    }
  }
  quarantine_decision decision{suspect.first, {}, events, std::exp(-cause->second)};
  for (const poison_strike& m : suspect.second.strikes) {
    decision.targets.push_back(m.target);
  }
  return decision;
}

std::vector<quarantine_decision> poison_tracker::evaluate(time_point now) {
  remove_expired(now);
  std::vector<quarantine_decision> decisions;
  const auto may_be_poison = [&](const auto& known) {
    return !known.second.quarantined_at &&
           known.second.strikes.size() >= settings_.min_quarantine_events;
  };
  if (std::none_of(entries_.begin(), entries_.end(), may_be_poison)) {
    return decisions;
  }
  // Quarantines one request at a time: crashes that are attributed to it no longer count against
  // the others.
  for (bool found = true; found;) {
    found = false;
    const time_point settled = now - settings_.strike_settle_time;
    const suspects_by_target ended = index_by_target(settled);
    const std::set<target_id> mass_failed = mass_failures(ended);
    const auto causes = accepted_causes(settled);
    for (auto& known : entries_) {
      auto decision =
          may_be_poison(known) ? evaluate_suspect(known, ended, mass_failed, causes) : std::nullopt;
      if (decision) {
        quarantine(known.first, known.second, now);
        decisions.push_back(std::move(*decision));
        found = true;
        break;
      }
    }
  }
  return decisions;
}

}  // namespace arbutus
