// Waiting in a fiber for a handler of Asio. Only for the .cpp files of this folder.
//
// Fiber and handler share one worker, and handlers run only while no other fiber of that worker
// does. So a flag needs no lock, and the check of it and the wait cannot be parted by the handler.
#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <chrono>
#include <tuple>
#include <utility>

#include "base/units.h"
#include "connection/clock.h"
#include "connection/fiber_worker.h"

namespace arbutus {

// Something that happens once; one fiber waits for it.
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

  // False if `deadline` came first.
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

// Starts an operation with a handler taking Results..., and suspends the fiber until it ran.
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

// The same with a deadline. When it comes, `cancel` is called and the handler is still waited for,
// since it refers to this frame. True in `timed_out` says that `cancel` was called; the operation
// may have succeeded all the same.
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
