// Discrete-event simulation in virtual time: uses no clock and runs events in the same order on
// every run.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "base/units.h"

namespace arbutus {

class event_queue {
 public:
  using action = std::function<void(time_point now)>;

  void at(time_point when, action what) {
    events_.push_back({when, next_++, std::move(what)});
    std::push_heap(events_.begin(), events_.end());
  }

  // Runs all events before `end`, including those added meanwhile.
  void run_until(time_point end) {
    while (!events_.empty() && events_.front().when < end) {
      std::pop_heap(events_.begin(), events_.end());
      const event next = std::move(events_.back());
      events_.pop_back();
      next.what(next.when);
    }
  }

 private:
  struct event {
    time_point when;
    std::uint64_t number{};  // events of the same time run in insertion order
    action what;
    bool operator<(const event& other) const {
      return when != other.when ? when > other.when : number > other.number;
    }
  };

  std::vector<event> events_;  // a heap; the earliest event is in front
  std::uint64_t next_ = 0;
};

}  // namespace arbutus
