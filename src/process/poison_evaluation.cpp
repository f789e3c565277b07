// Decides which suspects of the poison tracker are quarantined.
#include <algorithm>
#include <cmath>

#include "process/poison_tracker.h"

namespace arbutus {

namespace {

bool has_strike_at(const poison_entry& entry, const target_id& target) {
  return std::any_of(entry.strikes.begin(), entry.strikes.end(),
                     [&](const poison_strike& m) { return m.target == target; });
}

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

// Whether a suspect with more strikes than a quarantine needs ran on the target. It is then the
// likelier cause of the crash.
bool poison_tracker::has_likelier_cause(const suspects_by_target& ended,
                                        const target_id& target) const {
  const auto& suspects = ended.at(target);
  return std::any_of(suspects.begin(), suspects.end(), [&](const auto* suspect) {
    return suspect->second.strikes.size() > settings_.min_quarantine_events;
  });
}

// Number of targets that ended between `from` and `to`, did not run the suspect, and have no likely
// cause among the other suspects.
std::size_t poison_tracker::count_unrelated_crashes(const entry_map::value_type& suspect,
                                                    const suspects_by_target& ended,
                                                    time_point from, time_point to) const {
  std::size_t ends = 0;
  for (const auto& [target, suspects] : ended) {
    const poison_strike& strike = strike_at(suspects.front()->second, target);
    const bool between = strike.ended_at >= from && strike.ended_at <= to;
    ends += between && !has_strike_at(suspect.second, target) && !has_likelier_cause(ended, target);
  }
  return ends;
}

// The probability that a harmless request is cut off early in `events` runs in a row, if targets
// fail for other reasons as often as they did around that time.
double poison_tracker::coincidence_probability(const entry_map::value_type& suspect,
                                               std::size_t events,
                                               const suspects_by_target& ended) const {
  // Crashes assumed if none were seen. Seeing no unrelated crash within seconds does not prove a
  // rate of zero; hours usually pass between two.
  constexpr double assumed_ends = 0.05;
  const time_point first = suspect.second.strikes.front().ended_at;
  const time_point last = suspect.second.strikes.back().ended_at;
  const auto ends_per_s = [&](duration before, double assumed) {
    const auto ends =
        static_cast<double>(count_unrelated_crashes(suspect, ended, first - before, last));
    return (ends + assumed) / to_seconds(last - first + before);
  };
  // A series of failures may have begun just before the first strike.
  const double rate = std::max(ends_per_s(settings_.base_rate_lookback, assumed_ends),
                               ends_per_s(settings_.base_rate_lookback / 4, 0));
  const auto live_targets =
      std::count_if(last_sent_to_.begin(), last_sent_to_.end(),
                    [&](const auto& known) { return !ended.contains(known.first); });
  const double targets = std::max<double>(1, static_cast<double>(live_targets));
  const double lost = rate / targets * (mean_first_event_delay_s_ + to_seconds(strike_window));
  return std::pow(std::min(lost, 1.0), static_cast<double>(events));
}

std::optional<quarantine_decision> poison_tracker::evaluate_suspect(
    const entry_map::value_type& suspect, const suspects_by_target& ended,
    const std::set<target_id>& mass_failed) const {
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
  const double probability = coincidence_probability(suspect, events, ended);
  if (probability > settings_.max_false_positive_probability) {
    return std::nullopt;
  }
  quarantine_decision decision{suspect.first, {}, events, probability};
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
    const suspects_by_target ended = index_by_target(now - settings_.strike_settle_time);
    const std::set<target_id> mass_failed = mass_failures(ended);
    for (auto& known : entries_) {
      auto decision =
          may_be_poison(known) ? evaluate_suspect(known, ended, mass_failed) : std::nullopt;
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
