// Decides which suspects of the poison tracker are quarantined.
#include <algorithm>
#include <cmath>
#include <map>
#include <set>

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

// Strikes against a block that do not follow from each other. Those of a request that was cut off
// again and again count once: it may be poison by itself.
std::size_t count_independent_strikes(const poison_entry& entry) {
  constexpr std::size_t max_of_request = 2;
  std::map<std::uint64_t, std::size_t> strikes_of_request;
  for (const poison_strike& m : entry.strikes) {
    ++strikes_of_request[m.request_hash];
  }
  std::size_t count = 0;
  for (const auto& [request, strikes] : strikes_of_request) {
    count += strikes > max_of_request ? 1 : strikes;
  }
  return count;
}

}  // namespace

bool poison_tracker::is_suspect(const entry_map::value_type& known) const {
  const auto& [fingerprint, entry] = known;
  return fingerprint.kind == fingerprint_kind::request ||
         count_independent_strikes(entry) >= settings_.min_quarantine_events;
}

// Whether one more strike might suffice. A block waits sooner: each of its requests is new, so that
// nothing but the block itself tells whether to send the next one.
bool poison_tracker::is_held_after_strikes(const entry_map::value_type& known) const {
  const auto& [fingerprint, entry] = known;
  if (fingerprint.kind == fingerprint_kind::prompt_block) {
    return entry.strikes.size() >= settings_.min_held_ends_of_block;
  }
  const std::size_t events = count_events(entry, [](const poison_strike&) { return true; });
  return events + 1 >= settings_.min_quarantine_events;
}

std::optional<time_point> poison_tracker::held_until(time_point now,
                                                     const request_fingerprint& fingerprint) const {
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end() || found->second.quarantined_at || found->second.strikes.empty()) {
    return std::nullopt;
  }
  const poison_entry& entry = found->second;
  const time_point until = entry.strikes.back().ended_at + settings_.strike_settle_time;
  const bool waits = now <= until && is_held_after_strikes(*found);
  return waits ? std::optional(until) : std::nullopt;
}

// Maps each target that ended to the suspects that have a strike for it. Leaves out strikes newer
// than `settled`: strikes of other nodes for the same crashes may still be in transit.
poison_tracker::suspects_by_target poison_tracker::index_by_target(time_point settled) const {
  suspects_by_target ended;
  for (const entry_map::value_type& known : entries_) {
    const bool is_known_poison =
        known.first.kind == fingerprint_kind::request && known.second.quarantined_at;
    if (!is_suspect(known) || is_known_poison) {
      continue;
    }
    for (const poison_strike& m : known.second.strikes) {
      if (m.ended_at <= settled && !has_quarantined_cause(known.first, m)) {
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
      return std::all_of(suspects.begin(), suspects.end(), [&](const auto* s) {
        return s->first.kind == fingerprint_kind::prompt_block || seen.insert(s).second;
      });
    });
    if (none_in_common &&
        static_cast<std::size_t>(last - first) >= settings_.mass_failure_min_targets) {
      std::for_each(first, last, [&](const poison_strike& m) { mass_failed.insert(m.target); });
    }
  }
  return mass_failed;
}

std::map<request_fingerprint, double> poison_tracker::accepted_causes(
    time_point settled, const suspects_by_target& ended) const {
  // `ended` also has ends under a quarantined request that a block of it may have caused.
  std::vector<observed_end> ends;
  for (const observed_end& end : ends_) {
    const bool is_open = ended.contains(end.target) || !quarantined_causes_.contains(end.target);
    if (end.ended_at <= settled && is_open) {
      ends.push_back(end);
    }
  }
  std::vector<const entry_map::value_type*> suspects;
  for (const entry_map::value_type& known : entries_) {
    if (!known.second.quarantined_at && is_suspect(known) &&
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
  const double evidence = -static_cast<double>(own) * std::log(cut_off_share());
  if (evidence < settings_.min_evidence_against_request) {
    return std::nullopt;
  }
  quarantine_decision decision{suspect.first, {}, events, std::exp(-cause->second)};
  for (const poison_strike& m : suspect.second.strikes) {
    decision.targets.push_back(m.target);
  }
  return decision;
}

// Whether all ends that the block may have caused may be due to another block, which has more: they
// were in the same prompts.
bool poison_tracker::is_dominated(const entry_map::value_type& block,
                                  const suspects_by_target& ended) const {
  std::map<const entry_map::value_type*, std::size_t> common;
  for (const poison_strike& m : block.second.strikes) {
    const auto found = ended.find(m.target);
    if (found == ended.end()) {
      continue;
    }
    for (const auto* other : found->second) {
      common[other] += other->first.kind == fingerprint_kind::prompt_block ? 1 : 0;
    }
  }
  const std::size_t own = common[&block];
  return std::any_of(common.begin(), common.end(), [&](const auto& entry) {
    return entry.first != &block && entry.second == own &&
           entry.first->second.strikes.size() > block.second.strikes.size();
  });
}

// A block that is no cause would have to be cut off by chance each time, and never to survive.
std::optional<quarantine_decision> poison_tracker::evaluate_block(
    const entry_map::value_type& block, const suspects_by_target& ended,
    const std::set<target_id>& mass_failed,
    const std::map<request_fingerprint, double>& causes) const {
  const auto counts = [&](const poison_strike& m) {
    return ended.contains(m.target) && !mass_failed.contains(m.target);
  };
  poison_entry settled = block.second;
  std::erase_if(settled.strikes, [&](const poison_strike& m) { return !counts(m); });
  const std::size_t events = count_events(settled, counts);
  const auto strikes = static_cast<double>(count_independent_strikes(settled));
  const double log_chance = strikes * std::log(cut_off_share());
  const double required = causes.contains(block.first) ? settings_.min_evidence_against_cause
                                                       : settings_.min_evidence_against_block;
  if (events < settings_.min_quarantine_events_of_block || -log_chance < required ||
      is_dominated(block, ended)) {
    return std::nullopt;
  }
  quarantine_decision decision{block.first, {}, events, std::exp(log_chance)};
  for (const poison_strike& m : block.second.strikes) {
    decision.targets.push_back(m.target);
  }
  return decision;
}

double poison_tracker::cut_off_share() const {
  // Until some runs were seen, a twentieth is assumed.
  constexpr double assumed_runs = 20;
  constexpr double assumed_share = 0.05;
  return (runs_cut_off_ + assumed_runs * assumed_share) / (runs_ended_ + assumed_runs);
}

void poison_tracker::run_ended(time_point now, bool cut_off) {
  constexpr duration memory = 10s;
  const double kept = std::exp(-to_seconds(now - last_run_ended_at_) / to_seconds(memory));
  runs_ended_ = runs_ended_ * kept + 1;
  runs_cut_off_ = runs_cut_off_ * kept + (cut_off ? 1 : 0);
  last_run_ended_at_ = now;
}

std::vector<quarantine_decision> poison_tracker::evaluate(time_point now) {
  remove_expired(now);
  std::vector<quarantine_decision> decisions;
  const auto may_be_poison = [&](const auto& known) {
    return !known.second.quarantined_at && is_suspect(known) &&
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
    const auto causes = accepted_causes(settled, ended);
    for (auto& known : entries_) {
      if (!may_be_poison(known)) {
        continue;
      }
      auto decision = known.first.kind == fingerprint_kind::prompt_block
                          ? evaluate_block(known, ended, mass_failed, causes)
                          : evaluate_suspect(known, ended, mass_failed, causes);
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
