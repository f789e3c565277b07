// Merges observations and derives the conditions of targets. Probing is in observation_probes.cpp,
// the exchange with peers in observation_deltas.cpp.
#include "process/observations.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace arbutus {

namespace {

constexpr std::size_t max_past_incarnations = 4;
// A peer's failure report is refuted when another node reached the target within this time after.
constexpr duration refutation_window = 2s;
// From this number of refuted failure reports (exponentially decayed) on, the reporting node is
// assumed to have a bad link itself.
constexpr double max_refuted_reports = 3.0;
// A target is a straggler if its token rate is below this share of the median rate of its model.
constexpr double straggler_rate_share = 0.5;
constexpr std::size_t min_compared_targets = 3;

double decayed(double value, duration age, duration half_life) {
  return value * std::exp2(-to_seconds(age) / to_seconds(half_life));
}

double median(std::vector<double> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::ranges::nth_element(values, middle);
  return *middle;
}

}  // namespace

observation_table::observation_table(node_id self, control_timing timing)
    : self_(std::move(self)), timing_(timing) {}

void observation_table::set_targets(const std::vector<vm_id>& vms) {
  std::map<vm_id, target> kept;
  for (const vm_id& vm : vms) {
    if (const auto known = targets_.find(vm); known != targets_.end()) {
      kept.insert(targets_.extract(known));
    } else {
      kept[vm];
    }
  }
  targets_ = std::move(kept);
  std::erase_if(own_target_states_,
                [this](const auto& entry) { return !targets_.contains(entry.first); });
  std::erase_if(probes_in_flight_,
                [this](const auto& entry) { return !targets_.contains(entry.first); });
}

void observation_table::set_models(const std::map<vm_id, model_id>& models) {
  models_ = models;
}

// ---- successful probes ----

void observation_table::accept(const node_id& by, const observation& seen, time_point now) {
  const auto found = targets_.find(seen.report.vm);
  if (found == targets_.end()) {
    return;
  }
  target& t = found->second;
  const std::uint64_t incarnation = seen.report.incarnation;
  if (std::ranges::count(t.past_incarnations, incarnation) != 0) {
    return;
  }
  if (t.newest && seen.at <= t.newest->at) {
    return;
  }
  if (t.newest && t.newest->report.incarnation != incarnation) {
    t.past_incarnations.push_back(t.newest->report.incarnation);
    if (t.past_incarnations.size() > max_past_incarnations) {
      t.past_incarnations.erase(t.past_incarnations.begin());
    }
  }
  t.newest = seen;
  refute_failures(t, by, seen.at, now);
  update_lost(t, now);
}

// Applies a success that `by` observed at `seen_at` to the recorded failures: runs of failures that
// began earlier start anew from it, and other nodes' runs that ended earlier are dropped.
// Otherwise a node with a bad link would repeatedly make each of its targets suspect at all nodes,
// and lost by repeated failures.
void observation_table::refute_failures(target& t, const node_id& by, time_point seen_at,
                                        time_point now) {
  for (auto& [reporter_id, f] : t.failures) {
    if (f.first >= seen_at) {
      continue;
    }
    f.first = seen_at;
    const bool other_node = reporter_id != self_ && reporter_id != by;
    if (other_node && !t.lost && seen_at - f.newest < refutation_window) {
      failure_reporter& a = failure_reporters_[reporter_id];
      a.refuted = decayed(a.refuted, now - a.at, timing_.flap_damping_half_life) + 1.0;
      a.at = now;
    }
  }
  std::erase_if(t.failures, [&](const auto& entry) {
    return entry.first != self_ && entry.second.newest < seen_at;
  });
}

// ---- failed probes and connections ----

void observation_table::add_failure(const node_id& by, target& t, time_point started,
                                    std::uint32_t probes, time_point now) {
  if (resumed_at_ && started < *resumed_at_) {
    return;
  }
  const auto [it, inserted] = t.failures.try_emplace(by);
  failure_run& f = it->second;
  if (!inserted && started <= f.newest) {
    return;
  }
  const bool interrupted = by == self_ ? t.own_success_at && *t.own_success_at > f.newest
                                       : t.newest && t.newest->at > f.newest;
  if (inserted || interrupted) {
    f.first = started;
    f.count = 0;
  }
  f.newest = started;
  f.count = by == self_ ? f.count + probes : std::max(f.count, probes);
  update_lost(t, now);
}

bool observation_table::on_connection_error(const vm_id& vm, time_point now) {
  const auto found = targets_.find(vm);
  if (found == targets_.end()) {
    return false;
  }
  target& t = found->second;
  // The target counts as unreachable already; further errors of requests in flight add no
  // information.
  if (own_link_fails(t)) {
    return false;
  }
  add_failure(self_, t, now, 0, now);
  return true;
}

void observation_table::merge(const heartbeat& message, const receive_result& h, time_point now) {
  received_slots& slots = received_slots_[message.from];
  for (const observation_delta& d : message.observations) {
    std::optional<engine_report> report = restore(slots, d);
    if (report && h.composed) {
      const time_point at = observed_after(*h.composed, d.age, now, timing_.clock_drift);
      accept(message.from, {std::move(*report), at}, now);
    }
  }
  for (const probe_failure& failure : message.failures) {
    merge(message.from, failure, h, now);
  }
}

void observation_table::merge(const node_id& from, const lost_notice& notice,
                              const receive_result& h, time_point now) {
  merge(from, notice.failure, h, now);
}

// Failure reports whose age has no known upper bound are ignored, as are such reports of successes;
// the probers report again.
void observation_table::merge(const node_id& from, const probe_failure& failure,
                              const receive_result& h, time_point now) {
  const auto found = targets_.find(failure.vm);
  if (found == targets_.end() || !h.composed) {
    return;
  }
  target& t = found->second;
  if (std::ranges::count(t.past_incarnations, failure.incarnation) != 0) {
    return;
  }
  const time_point started = observed_after(*h.composed, failure.age, now, timing_.clock_drift);
  if (t.newest && started < t.newest->at) {
    return;
  }
  add_failure(from, t, started, failure.count, now);
}

// ---- leaving targets ----

bool observation_table::mark_leaving(const vm_id& vm, std::uint64_t incarnation) {
  const auto found = targets_.find(vm);
  if (found == targets_.end()) {
    return false;
  }
  target& t = found->second;
  if (std::ranges::count(t.past_incarnations, incarnation) != 0 || is_leaving(t)) {
    return false;
  }
  if (incarnation == 0) {
    t.listed_leaving = true;
  } else {
    t.leaving_incarnation = incarnation;
  }
  return true;
}

void observation_table::clear_leaving(const vm_id& vm) {
  if (const auto found = targets_.find(vm); found != targets_.end()) {
    found->second.listed_leaving = false;
    found->second.leaving_incarnation.reset();
  }
}

bool observation_table::is_leaving(const target& t) const {
  if (t.listed_leaving) {
    return true;
  }
  if (!t.newest) {
    return t.leaving_incarnation.has_value();
  }
  return t.newest->report.leaving || t.leaving_incarnation == t.newest->report.incarnation;
}

// ---- conditions of targets ----

// State from before a pause of this process is outdated, and probes that ended during the pause
// failed because of it. Using them would take every replica out of service.
void observation_table::on_resumed(time_point now) {
  resumed_at_ = now;
  probes_in_flight_.clear();
  for (auto& [vm, t] : targets_) {
    t.failures.clear();
    t.lost = false;
    t.recovering_since.reset();
  }
}

// Whether no success in reaching the target has ended this run of failures since.
bool observation_table::is_unresolved(const target& t, const failure_run& f) const {
  return !t.newest || f.newest >= t.newest->at;
}

// Whether this node's newest attempt to reach the target failed; other nodes may still reach it.
bool observation_table::own_link_fails(const target& t) const {
  const auto own = t.failures.find(self_);
  if (own == t.failures.end()) {
    return false;
  }
  return !t.own_success_at || own->second.newest >= *t.own_success_at;
}

bool observation_table::is_credible_reporter(const node_id& by, time_point now) const {
  const auto found = failure_reporters_.find(by);
  if (found == failure_reporters_.end()) {
    return true;
  }
  const failure_reporter& a = found->second;
  return decayed(a.refuted, now - a.at, timing_.flap_damping_half_life) < max_refuted_reports;
}

bool observation_table::needs_urgent_probe(const target& t, time_point now) const {
  if (own_link_fails(t)) {
    return true;
  }
  return std::ranges::any_of(t.failures, [&](const auto& entry) {
    return entry.first != self_ && is_unresolved(t, entry.second) &&
           is_credible_reporter(entry.first, now);
  });
}

bool observation_table::is_lost(const target& t) const {
  std::size_t reporters = 0;
  for (const auto& [by, f] : t.failures) {
    // Connection errors alone (no failed probe) may be caused by load; a probe has to confirm them.
    if (!is_unresolved(t, f) || f.count == 0) {
      continue;
    }
    ++reporters;
    const bool persistent =
        f.count >= 2 && f.newest - f.first >= timing_.single_prober_loss_timeout;
    if (reporters >= 2 || persistent) {
      return true;
    }
  }
  return false;
}

// How long a lost target must respond before it gets work again. Doubles with each loss, so that a
// flapping target does not change the assignment each time.
duration observation_table::recovery_time(const target& t, time_point now) const {
  const double losses =
      decayed(t.recent_losses, now - t.losses_decayed_at, timing_.flap_damping_half_life);
  const double seconds =
      to_seconds(timing_.target_recovery_duration) * std::exp2(std::clamp(losses - 1.0, 0.0, 16.0));
  return std::min(from_seconds(seconds), timing_.max_flap_damping);
}

void observation_table::update_lost(target& t, time_point now) {
  if (is_lost(t)) {
    if (!t.lost) {
      t.recent_losses =
          decayed(t.recent_losses, now - t.losses_decayed_at, timing_.flap_damping_half_life) + 1.0;
      t.losses_decayed_at = now;
    }
    t.lost = true;
    t.recovering_since.reset();
    return;
  }
  if (!t.lost || !t.newest) {
    return;
  }
  const bool failing_now = std::ranges::any_of(
      t.failures, [&](const auto& entry) { return is_unresolved(t, entry.second); });
  if (failing_now) {
    t.recovering_since.reset();
    return;
  }
  if (!t.recovering_since) {
    t.recovering_since = t.newest->at;
  }
  if (t.newest->at - *t.recovering_since >= recovery_time(t, now)) {
    t.lost = false;
    t.recovering_since.reset();
  }
}

target_condition observation_table::evaluate(const target& t, time_point now) const {
  if (t.lost) {
    return t.recovering_since ? target_condition::suspect : target_condition::lost;
  }
  if (needs_urgent_probe(t, now)) {
    return target_condition::suspect;
  }
  const bool recent = t.newest && now - t.newest->at <= timing_.condition_unknown_after;
  if (!recent || (resumed_at_ && t.newest->at < *resumed_at_)) {
    return target_condition::unknown;
  }
  return is_leaving(t) ? target_condition::leaving : target_condition::working;
}

target_condition observation_table::condition(const vm_id& vm, time_point now) const {
  const auto found = targets_.find(vm);
  return found == targets_.end() ? target_condition::unknown : evaluate(found->second, now);
}

const observation* observation_table::latest(const vm_id& vm) const {
  const auto found = targets_.find(vm);
  if (found == targets_.end() || !found->second.newest) {
    return nullptr;
  }
  return &*found->second.newest;
}

std::vector<condition_change> observation_table::take_changes(time_point now) {
  std::vector<condition_change> changes;
  for (auto& [vm, t] : targets_) {
    const target_condition present = evaluate(t, now);
    if (present != t.reported) {
      changes.push_back({vm, t.reported, present});
      t.reported = present;
    }
  }
  return changes;
}

// At least three targets are compared, and at most a quarter of them (one of three) count as slow:
// under load that slows all of them, some replicas have to remain in use.
std::set<vm_id> observation_table::stragglers(time_point now) const {
  std::map<model_id, std::vector<std::pair<double, vm_id>>> rates;
  for (const auto& [vm, model] : models_) {
    const observation* seen = latest(vm);
    if (seen != nullptr && seen->report.tokens_per_second > 0 &&
        condition(vm, now) == target_condition::working) {
      rates[model].emplace_back(seen->report.tokens_per_second, vm);
    }
  }
  std::set<vm_id> slow;
  for (auto& [model, list] : rates) {
    if (list.size() < min_compared_targets) {
      continue;
    }
    std::ranges::sort(list);
    std::vector<double> values;
    std::ranges::transform(list, std::back_inserter(values), [](const auto& p) { return p.first; });
    const double limit = straggler_rate_share * median(std::move(values));
    const std::size_t max_stragglers = std::max<std::size_t>(1, list.size() / 4);
    for (std::size_t i = 0; i < max_stragglers && list[i].first < limit; ++i) {
      slow.insert(list[i].second);
    }
  }
  return slow;
}

}  // namespace arbutus
