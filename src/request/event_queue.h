// Runs events in virtual time, for measuring decisions: no clock, the same order on every run.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "base/units.h"

namespace arbutus {

class event_queue {
 public:
  using action = std::function<void(time_point now)>;

  void at(time_point when, action what) { events_.push({when, next_++, std::move(what)}); }

  // Runs all events before `end`, those that they add included.
  void run_until(time_point end) {
    while (!events_.empty() && events_.top().when < end) {
      const event next = events_.top();
      events_.pop();
      next.what(next.when);
    }
  }

 private:
  struct event {
    time_point when;
    std::uint64_t number{};  // events of one moment run in the order in which they were added
    action what;
    bool operator<(const event& other) const {
      return when != other.when ? when > other.when : number > other.number;
    }
  };

  std::priority_queue<event> events_;
  std::uint64_t next_ = 0;
};

}  // namespace arbutus
