// Detects stalled replicas.
#include "process/stall_monitor.h"

#include <algorithm>

namespace arbutus {

namespace {

duration scaled(duration d, double by) {
  return duration{static_cast<duration::rep>(static_cast<double>(d.count()) * by)};
}

}  // namespace

void stall_monitor::remove_idle(time_point now) {
  std::erase_if(states_by_head_, [&](const auto& entry) {
    const state& s = entry.second;
    return s.running_streams == 0 && s.waiting_streams == 0 &&
           now - s.idle_since > settings_.idle_retention;
  });
}

void stall_monitor::on_stream_sent(time_point now, const target_id& head, const model_key& model,
                                   duration expected_first) {
  remove_idle(now);
  state& s = states_by_head_[head];
  s.model = model;
  if (s.waiting_streams == 0) {
    const auto known = first_event_ratios_.find(model);
    const double ratio = known == first_event_ratios_.end() ? 1 : known->second;
    constexpr double min_factor = 2;
    s.first_event_due =
        now + scaled(expected_first, std::clamp(ratio * settings_.first_event_factor, min_factor,
                                                settings_.max_first_event_factor));
  }
  ++s.waiting_streams;
}

void stall_monitor::on_event(time_point now, const target_id& head, duration expected_gap) {
  state& s = states_by_head_[head];
  const duration before = scaled(s.recent_gap, settings_.recent_gap_decay);
  // The first event after a time without running streams gives no meaningful gap between events.
  const bool follows = s.running_streams > 0 && s.last_event != time_point{};
  s.recent_gap =
      follows ? std::max(before, std::min(now - s.last_event, settings_.max_recent_gap)) : before;
  s.last_event = now;
  s.expected_gap = expected_gap;
  s.found_healthy = 0;
  s.first_event_due = std::max(s.first_event_due, now + expected_gap);
}

void stall_monitor::on_first_event(const target_id& head, duration waited,
                                   duration expected_first) {
  state& s = states_by_head_[head];
  s.waiting_streams -= s.waiting_streams > 0 ? 1 : 0;
  ++s.running_streams;
  double& ratio = first_event_ratios_[s.model];
  const double observed_ratio = to_seconds(waited) / std::max(to_seconds(expected_first), 1e-3);
  ratio = std::clamp(observed_ratio, ratio * settings_.first_event_ratio_decay,
                     settings_.max_first_event_factor);
}

void stall_monitor::on_stream_ended(time_point now, const target_id& head, bool had_first_event) {
  const auto found = states_by_head_.find(head);
  if (found == states_by_head_.end()) {
    return;
  }
  state& s = found->second;
  std::size_t& count = had_first_event ? s.running_streams : s.waiting_streams;
  count -= count > 0 ? 1 : 0;
  if (s.running_streams == 0) {
    s.last_event = {};
  }
  if (s.running_streams == 0 && s.waiting_streams == 0) {
    s.idle_since = now;
    s.found_healthy = 0;
  }
}

void stall_monitor::found_healthy(time_point now, const target_id& head) {
  if (const auto found = states_by_head_.find(head); found != states_by_head_.end()) {
    constexpr std::uint32_t max_doublings = 3;
    state& s = found->second;
    s.earliest_check_at =
        now + settings_.recheck_interval * (1U << std::min(s.found_healthy, max_doublings));
    ++s.found_healthy;
  }
}

duration stall_monitor::gap_limit(const state& s) const {
  return std::max({settings_.min_stall_gap, s.expected_gap + settings_.gap_margin,
                   scaled(s.recent_gap, settings_.recent_gap_factor) + settings_.gap_margin});
}

bool stall_monitor::all_stalled(time_point now) const {
  constexpr std::size_t min_replicas = 2;
  constexpr std::size_t many_replicas = 3;
  std::size_t running = 0;
  std::size_t stopped = 0;
  time_point last_event{};
  for (const auto& [head, s] : states_by_head_) {
    if (s.running_streams == 0) {
      continue;
    }
    ++running;
    stopped += has_stopped(now, s) ? 1 : 0;
    last_event = std::max(last_event, s.last_event);
  }
  const bool all_silent = now - last_event > settings_.min_stall_gap;
  return (running >= many_replicas && all_silent) ||
         (running >= min_replicas && stopped == running);
}

std::vector<target_id> stall_monitor::stalled(time_point now) const {
  std::vector<target_id> result;
  for (const auto& [head, s] : states_by_head_) {
    if (now < s.earliest_check_at) {
      continue;
    }
    const bool stopped = has_stopped(now, s);
    const bool never_started = s.running_streams == 0 && s.waiting_streams > 0 &&
                               now > s.first_event_due + settings_.min_first_event_delay;
    if (stopped || never_started) {
      result.push_back(head);
    }
  }
  return result;
}

}  // namespace arbutus
