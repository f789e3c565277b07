// Schedules the probes of this node within its budget.
#include <algorithm>

#include "process/observations.h"

namespace arbutus {

namespace {

// Capacity of the token bucket for probes: after a late tick, the missed probes are sent together,
// up to this number or those of this time, whichever is larger.
constexpr double max_burst_tokens = 3.0;
constexpr duration max_catch_up = 250ms;

}  // namespace

void observation_table::set_own_targets(const std::vector<vm_id>& vms, time_point now) {
  std::map<vm_id, own_target> kept;
  for (const vm_id& vm : vms) {
    if (const auto known = own_.find(vm); known != own_.end()) {
      kept.insert(own_.extract(known));
    }
  }
  own_ = std::move(kept);
  std::size_t position = 0;
  for (const vm_id& vm : vms) {
    // The probes of the targets are spread over the probe interval to avoid bursts.
    const auto share = timing_.probe_interval * static_cast<duration::rep>(position++) /
                       static_cast<duration::rep>(vms.size());
    if (!own_.contains(vm) && targets_.contains(vm)) {
      const std::uint32_t slot = free_slot();
      own_target& own = own_[vm];
      own.slot = slot;
      own.probe_due = now + share;
    }
  }
}

std::uint32_t observation_table::free_slot() const {
  std::set<std::uint32_t> taken;
  for (const auto& [vm, own] : own_) {
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
  const double needed = static_cast<double>(own_.size()) / to_seconds(timing_.max_probe_interval);
  return std::max(timing_.probes_per_second, needed);
}

void observation_table::refill(time_point now) {
  const double elapsed = refilled_at_ ? to_seconds(now - *refilled_at_) : 0.0;
  refilled_at_ = now;
  const double rate = probe_rate();
  const double capacity = std::max(max_burst_tokens, rate * to_seconds(max_catch_up));
  tokens_ = std::min(tokens_ + elapsed * rate, capacity);
  urgent_tokens_ = std::min(urgent_tokens_ + elapsed * timing_.urgent_probes_per_second,
                            static_cast<double>(timing_.urgent_probe_burst));
}

bool observation_table::in_flight(const vm_id& vm, time_point now) const {
  const auto found = in_flight_.find(vm);
  return found != in_flight_.end() && now - found->second < timing_.probe_timeout;
}

// Suspect targets assigned to this node, and all targets to which its own connections failed: the
// assigned probers would not notice that this node's link works again.
std::vector<vm_id> observation_table::urgent_probes(time_point now) {
  std::vector<vm_id> chosen;
  for (auto& [vm, t] : targets_) {
    if (urgent_tokens_ < 1.0) {
      break;
    }
    const bool relevant = own_link_fails(t) || (own_.contains(vm) && is_doubted(t, now));
    const bool due_again =
        !t.urgent_probe_at || now - *t.urgent_probe_at >= timing_.urgent_probe_interval;
    if (!relevant || !due_again || t.lost || in_flight(vm, now)) {
      continue;
    }
    t.urgent_probe_at = now;
    urgent_tokens_ -= 1.0;
    chosen.push_back(vm);
  }
  return chosen;
}

std::vector<vm_id> observation_table::due_probes(time_point now) {
  std::vector<std::pair<time_point, vm_id>> waiting;
  for (const auto& [vm, own] : own_) {
    if (own.probe_due <= now && !in_flight(vm, now)) {
      waiting.emplace_back(own.probe_due, vm);
    }
  }
  std::ranges::sort(waiting);
  std::vector<vm_id> chosen;
  for (const auto& [due, vm] : waiting) {
    if (tokens_ < 1.0) {
      break;
    }
    tokens_ -= 1.0;
    // A target's next probe keeps its phase in the probe interval unless this one is more than half
    // an interval late.
    own_.at(vm).probe_due =
        std::max(due, now - timing_.probe_interval / 2) + timing_.probe_interval;
    chosen.push_back(vm);
  }
  return chosen;
}

std::vector<vm_id> observation_table::next_probes(time_point now) {
  refill(now);
  std::vector<vm_id> chosen = urgent_probes(now);
  for (const vm_id& vm : chosen) {
    in_flight_[vm] = now;
  }
  for (vm_id& vm : due_probes(now)) {
    in_flight_[vm] = now;
    chosen.push_back(std::move(vm));
  }
  return chosen;
}

bool observation_table::on_probe_result(const probe_result& result, time_point now) {
  in_flight_.erase(result.vm);
  const auto found = targets_.find(result.vm);
  if (found == targets_.end()) {
    return false;
  }
  const auto* report = std::get_if<engine_report>(&result.result);
  // A response from another engine at this address counts as a failure.
  if (report != nullptr && report->vm == result.vm) {
    own_success(*report, result.sent_at, now);
    return false;
  }
  target& t = found->second;
  const bool known = own_link_fails(t);
  add_failure(self_, t, result.sent_at, 1, now);
  return own_link_fails(t) && (!known || t.failures.at(self_).count <= 2);
}

void observation_table::own_success(const engine_report& report, time_point sent_at,
                                    time_point now) {
  if (resumed_at_ && sent_at < *resumed_at_) {
    return;
  }
  target& t = targets_.at(report.vm);
  if (!t.own_success || sent_at > *t.own_success) {
    t.own_success = sent_at;
  }
  accept(self_, {report, sent_at}, now);
  const auto own = own_.find(report.vm);
  if (own == own_.end()) {
    return;
  }
  engine_report fixed = report;
  apply({}, fixed);
  const target_load load = quantise(report);
  own_target& entry = own->second;
  if (!entry.report || *entry.report != fixed) {
    entry.report = fixed;
    ++entry.content;
  }
  if (entry.load_now != load) {
    entry.load_now = load;
    ++entry.load;
  }
  entry.at = sent_at;
}

}  // namespace arbutus
