// Suspends a fiber until an Asio completion handler has run. Only for the .cpp files of this
// folder.
//
// Fiber and handler run on the same worker, and handlers run only while no other fiber of that
// worker does. So a flag needs no lock, and no handler can run between the check of the flag and
// the wait.
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <chrono>
#include <tuple>
#include <utility>

#include "base/units.h"
#include "connection/clock.h"
#include "connection/fiber_worker.h"

namespace arbutus {

// An event that occurs once. One fiber waits for it.
class one_shot {
 public:
  void set() {
    done_ = true;
    changed_.notify_all();
  }

  void wait() {
    no_lock lock;
    changed_.wait(lock, [this] { return done_; });
  }

  // Waits for the event at most until `deadline`. False if the deadline came first.
  [[nodiscard]] bool wait_until(time_point deadline) {
    if (deadline == time_point::max()) {
      wait();
      return true;
    }
    no_lock lock;
    return changed_.wait_until(lock, to_steady(deadline), [this] { return done_; });
  }

 private:
  boost::fibers::condition_variable_any changed_;
  bool done_{false};
};

// Starts an operation with a handler that takes Results..., and suspends the fiber until the
// handler has run.
template <class... Results, class Start>
std::tuple<Results...> await_result(Start&& start) {
  one_shot fired;
  std::tuple<Results...> results;
  std::forward<Start>(start)([&fired, &results](Results... values) {
    results = std::tuple<Results...>(std::move(values)...);
    fired.set();
  });
  fired.wait();
  return results;
}

// Like await_result(), with a deadline. At the deadline `cancel` is called, and the fiber still
// waits for the handler, since the handler refers to this stack frame. `timed_out` is true if
// `cancel` was called; the operation may have succeeded even so.
template <class... Results, class Start, class Cancel>
std::tuple<Results...> await_result_until(time_point deadline, bool& timed_out, Start&& start,
                                          Cancel&& cancel) {
  one_shot fired;
  std::tuple<Results...> results;
  std::forward<Start>(start)([&fired, &results](Results... values) {
    results = std::tuple<Results...>(std::move(values)...);
    fired.set();
  });
  timed_out = !fired.wait_until(deadline);
  if (timed_out) {
    std::forward<Cancel>(cancel)();
    fired.wait();
  }
  return results;
}

}  // namespace arbutus
