// Silent replicas.
#include "process/silence.h"

#include <algorithm>

namespace arbutus {

void silence_monitor::sent(time_point now, const target_id& head, duration expected_first) {
  state& s = heads_[head];
  if (s.waiting == 0) {
    s.first_by = now + 2 * expected_first;
  }
  ++s.waiting;
}

void silence_monitor::event(time_point now, const target_id& head, duration expected_gap) {
  state& s = heads_[head];
  s.last_event = now;
  s.gap = expected_gap;
}

void silence_monitor::first_event(const target_id& head) {
  state& s = heads_[head];
  s.waiting -= s.waiting > 0 ? 1 : 0;
  ++s.running;
}

void silence_monitor::ended(time_point now, const target_id& head, bool had_first_event) {
  const auto found = heads_.find(head);
  if (found == heads_.end()) {
    return;
  }
  state& s = found->second;
  std::size_t& count = had_first_event ? s.running : s.waiting;
  count -= count > 0 ? 1 : 0;
  if (s.running == 0 && s.waiting == 0) {
    heads_.erase(found);
  }
  (void)now;
}

void silence_monitor::found_well(time_point now, const target_id& head) {
  if (const auto found = heads_.find(head); found != heads_.end()) {
    found->second.quiet_until = now + settings_.pause;
  }
}

std::vector<target_id> silence_monitor::silent(time_point now) const {
  std::vector<target_id> result;
  for (const auto& [head, s] : heads_) {
    if (now < s.quiet_until) {
      continue;
    }
    const bool stopped =
        s.running > 0 && now - s.last_event > std::max(settings_.least, s.gap + settings_.margin);
    const bool never_began = s.running == 0 && s.waiting > 0 &&
                             now > std::max(s.first_by, s.last_event) + settings_.least;
    if (stopped || never_began) {
      result.push_back(head);
    }
  }
  return result;
}

}  // namespace arbutus
