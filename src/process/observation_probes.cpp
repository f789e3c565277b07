// Schedules the probes of this node within its budget.
#include <algorithm>

#include "process/observations.h"

namespace arbutus {

namespace {

// Capacity of the token bucket for probes: after a late tick, the missed probes are sent together,
// up to this number or those of this time, whichever is larger.
constexpr double max_probe_burst = 3.0;
constexpr duration max_probe_catch_up = 250ms;

}  // namespace

void observation_table::set_own_targets(const std::vector<vm_id>& vms, time_point now) {
  std::map<vm_id, own_target> kept;
  for (const vm_id& vm : vms) {
    if (const auto known = own_target_states_.find(vm); known != own_target_states_.end()) {
      kept.insert(own_target_states_.extract(known));
    }
  }
  own_target_states_ = std::move(kept);
  std::size_t position = 0;
  for (const vm_id& vm : vms) {
    // The probes of the targets are spread over the probe interval to avoid bursts.
    const auto share = timing_.probe_interval * static_cast<duration::rep>(position++) /
                       static_cast<duration::rep>(vms.size());
    if (!own_target_states_.contains(vm) && targets_.contains(vm)) {
      const std::uint32_t slot = free_slot();
      own_target& own = own_target_states_[vm];
      own.slot = slot;
      own.probe_due = now + share;
    }
  }
}

std::uint32_t observation_table::free_slot() const {
  std::set<std::uint32_t> taken;
  for (const auto& [vm, own] : own_target_states_) {
    taken.insert(own.slot);
  }
  std::uint32_t slot = 0;
  while (taken.contains(slot)) {
    ++slot;
  }
  return slot;
}

// Probes per second that this node may send.
double observation_table::probe_rate() const {
  const double needed =
      static_cast<double>(own_target_states_.size()) / to_seconds(timing_.max_probe_interval);
  return std::max(timing_.max_probes_per_second, needed);
}

void observation_table::refill(time_point now) {
  const double elapsed = refilled_at_ ? to_seconds(now - *refilled_at_) : 0.0;
  refilled_at_ = now;
  const double rate = probe_rate();
  const double capacity = std::max(max_probe_burst, rate * to_seconds(max_probe_catch_up));
  probe_tokens_ = std::min(probe_tokens_ + elapsed * rate, capacity);
  urgent_probe_tokens_ =
      std::min(urgent_probe_tokens_ + elapsed * timing_.max_urgent_probes_per_second,
               static_cast<double>(timing_.urgent_probe_burst));
}

bool observation_table::is_probe_in_flight(const vm_id& vm, time_point now) const {
  const auto found = probes_in_flight_.find(vm);
  return found != probes_in_flight_.end() && now - found->second < timing_.probe_timeout;
}

// Suspect targets assigned to this node, and all targets to which its own connections failed: the
// assigned probers would not notice that this node's link works again.
std::vector<vm_id> observation_table::urgent_probes(time_point now) {
  std::vector<vm_id> chosen;
  for (auto& [vm, t] : targets_) {
    if (urgent_probe_tokens_ < 1.0) {
      break;
    }
    const bool relevant =
        own_link_fails(t) || (own_target_states_.contains(vm) && needs_urgent_probe(t, now));
    const bool due_again =
        !t.urgent_probe_at || now - *t.urgent_probe_at >= timing_.urgent_probe_interval;
    if (!relevant || !due_again || t.lost || is_probe_in_flight(vm, now)) {
      continue;
    }
    t.urgent_probe_at = now;
    urgent_probe_tokens_ -= 1.0;
    chosen.push_back(vm);
  }
  return chosen;
}

std::vector<vm_id> observation_table::due_probes(time_point now) {
  std::vector<std::pair<time_point, vm_id>> waiting;
  for (const auto& [vm, own] : own_target_states_) {
    if (own.probe_due <= now && !is_probe_in_flight(vm, now)) {
      waiting.emplace_back(own.probe_due, vm);
    }
  }
  std::ranges::sort(waiting);
  std::vector<vm_id> chosen;
  for (const auto& [due, vm] : waiting) {
    if (probe_tokens_ < 1.0) {
      break;
    }
    probe_tokens_ -= 1.0;
    // A target's next probe keeps its phase in the probe interval unless this one is more than half
    // an interval late.
    own_target_states_.at(vm).probe_due =
        std::max(due, now - timing_.probe_interval / 2) + timing_.probe_interval;
    chosen.push_back(vm);
  }
  return chosen;
}

std::vector<vm_id> observation_table::next_probes(time_point now) {
  refill(now);
  std::vector<vm_id> chosen = urgent_probes(now);
  for (const vm_id& vm : chosen) {
    probes_in_flight_[vm] = now;
  }
  for (vm_id& vm : due_probes(now)) {
    probes_in_flight_[vm] = now;
    chosen.push_back(std::move(vm));
  }
  return chosen;
}

bool observation_table::on_probe_result(const probe_result& result, time_point now) {
  probes_in_flight_.erase(result.vm);
  const auto found = targets_.find(result.vm);
  if (found == targets_.end()) {
    return false;
  }
  const auto* report = std::get_if<engine_report>(&result.result);
  // A response from another engine at this address counts as a failure.
  if (report != nullptr && report->vm == result.vm) {
    record_own_success(*report, result.sent_at, now);
    return false;
  }
  target& t = found->second;
  const bool known = own_link_fails(t);
  add_failure(self_, t, result.sent_at, 1, now);
  return own_link_fails(t) && (!known || t.failures.at(self_).count <= 2);
}

void observation_table::record_own_success(const engine_report& report, time_point sent_at,
                                           time_point now) {
  if (resumed_at_ && sent_at < *resumed_at_) {
    return;
  }
  target& t = targets_.at(report.vm);
  if (!t.own_success_at || sent_at > *t.own_success_at) {
    t.own_success_at = sent_at;
  }
  accept(self_, {report, sent_at}, now);
  const auto own = own_target_states_.find(report.vm);
  if (own == own_target_states_.end()) {
    return;
  }
  engine_report fixed = report;
  apply({}, fixed);
  const target_load load = quantise_load(report);
  own_target& entry = own->second;
  if (!entry.report || *entry.report != fixed) {
    entry.report = fixed;
    ++entry.content;
  }
  if (entry.current_load != load) {
    entry.current_load = load;
    ++entry.load;
  }
  entry.at = sent_at;
}

}  // namespace arbutus
