// Decides which suspects of the poison tracker are quarantined.
#include <algorithm>
#include <cmath>

#include "process/crash_ledger.h"

namespace arbutus {

namespace {

bool has_strike_at(const crash_entry& entry, const target_id& target) {
  return std::any_of(entry.marks.begin(), entry.marks.end(),
                     [&](const crash_mark& m) { return m.target == target; });
}

// The entry must have a strike for this target.
const crash_mark& mark_at(const crash_entry& entry, const target_id& target) {
  return *std::find_if(entry.marks.begin(), entry.marks.end(),
                       [&](const crash_mark& m) { return m.target == target; });
}

// Number of separate events among the strikes that `counts` selects: each run was sent after the
// target of the previous event had ended.
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

std::optional<time_point> crash_ledger::held_until(time_point now,
                                                   const request_print& print) const {
  const auto found = entries_.find(print);
  if (found == entries_.end() || found->second.convicted_at || found->second.marks.empty()) {
    return std::nullopt;
  }
  const crash_entry& entry = found->second;
  const time_point until = entry.marks.back().ended_at + settings_.settle_time;
  const bool waits = now <= until && events_of(entry, [](const crash_mark&) { return true; }) + 1 >=
                                         settings_.least_events;
  return waits ? std::optional(until) : std::nullopt;
}

// Leaves out strikes newer than `settled`: those of other nodes for the same crashes may still be
// in transit.
crash_ledger::suspects_by_target crash_ledger::index_by_target(time_point settled) const {
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

// Targets that ended at the same time as others with no request in common, as by a signal to many
// processes or a failing rack. Their ends are no evidence against the requests there.
std::set<target_id> crash_ledger::mass_ends(const suspects_by_target& ended) const {
  std::vector<crash_mark> ends;
  for (const auto& [target, suspects] : ended) {
    ends.push_back(mark_at(suspects.front()->second, target));
  }
  std::sort(ends.begin(), ends.end(), ended_before);
  std::set<target_id> mass_failed;
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
      std::for_each(first, last, [&](const crash_mark& m) { mass_failed.insert(m.target); });
    }
  }
  return mass_failed;
}

// Whether a suspect with more strikes than a quarantine needs ran on the target. It is then the
// likelier cause of the crash.
bool crash_ledger::is_explained_by_others(const suspects_by_target& ended,
                                          const target_id& target) const {
  const auto& suspects = ended.at(target);
  return std::any_of(suspects.begin(), suspects.end(), [&](const auto* suspect) {
    return suspect->second.marks.size() > settings_.least_events;
  });
}

// Number of targets that ended between `from` and `to`, did not run the suspect, and have no likely
// cause among the other suspects.
std::size_t crash_ledger::other_ends(const entry_map::value_type& suspect,
                                     const suspects_by_target& ended, time_point from,
                                     time_point to) const {
  std::size_t ends = 0;
  for (const auto& [target, suspects] : ended) {
    const crash_mark& mark = mark_at(suspects.front()->second, target);
    const bool between = mark.ended_at >= from && mark.ended_at <= to;
    ends +=
        between && !has_strike_at(suspect.second, target) && !is_explained_by_others(ended, target);
  }
  return ends;
}

// The probability that a harmless request is cut off early in so many runs in a row, if targets
// fail for other reasons as often as they did around that time.
double crash_ledger::chance_of(const entry_map::value_type& suspect, std::size_t events,
                               const suspects_by_target& ended) const {
  // Seeing no unrelated crash within seconds does not prove a rate of zero; hours usually pass
  // between two.
  constexpr double assumed_ends = 0.05;
  const time_point first = suspect.second.marks.front().ended_at;
  const time_point last = suspect.second.marks.back().ended_at;
  const auto ends_per_s = [&](duration before, double assumed) {
    const auto ends = static_cast<double>(other_ends(suspect, ended, first - before, last));
    return (ends + assumed) / to_seconds(last - first + before);
  };
  // A series of failures may have begun just before the first strike.
  const double rate = std::max(ends_per_s(settings_.lookback_window, assumed_ends),
                               ends_per_s(settings_.lookback_window / 4, 0));
  const auto live_targets = std::count_if(sent_to_.begin(), sent_to_.end(), [&](const auto& known) {
    return !ended.contains(known.first);
  });
  const double targets = std::max<double>(1, static_cast<double>(live_targets));
  const double lost = rate / targets * (waits_s_ + to_seconds(hardly_begun));
  return std::pow(std::min(lost, 1.0), static_cast<double>(events));
}

std::optional<crash_verdict> crash_ledger::judge_one(const entry_map::value_type& suspect,
                                                     const suspects_by_target& ended,
                                                     const std::set<target_id>& mass_failed) const {
  const auto marks_of = [&](const entry_map::value_type* known) {
    return std::count_if(known->second.marks.begin(), known->second.marks.end(),
                         [&](const crash_mark& m) { return ended.contains(m.target); });
  };
  const auto own = marks_of(&suspect);
  const auto settled = [&](const crash_mark& m) {
    return ended.contains(m.target) && !mass_failed.contains(m.target);
  };
  const auto only_suspect = [&](const crash_mark& m) {
    const auto found = ended.find(m.target);
    return found != ended.end() && !mass_failed.contains(m.target) &&
           std::none_of(found->second.begin(), found->second.end(), [&](const auto* other) {
             return other != &suspect && marks_of(other) >= own;
           });
  };
  std::size_t events = events_of(suspect.second, only_suspect);
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

std::vector<crash_verdict> crash_ledger::judge(time_point now) {
  remove_expired(now);
  std::vector<crash_verdict> verdicts;
  const auto may_be_poison = [&](const auto& known) {
    return !known.second.convicted_at && known.second.marks.size() >= settings_.least_events;
  };
  if (std::none_of(entries_.begin(), entries_.end(), may_be_poison)) {
    return verdicts;
  }
  // One at a time: crashes that are attributed to one request no longer count against the next.
  for (bool found = true; found;) {
    found = false;
    const suspects_by_target ended = index_by_target(now - settings_.settle_time);
    const std::set<target_id> mass_failed = mass_ends(ended);
    for (auto& known : entries_) {
      auto verdict = may_be_poison(known) ? judge_one(known, ended, mass_failed) : std::nullopt;
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

}  // namespace arbutus
