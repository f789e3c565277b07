// Periodic work in a fiber.
#include "node/periodic.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <chrono>
#include <mutex>
#include <utility>

#include "connection/clock.h"

namespace arbutus {

struct periodic::state {
  boost::fibers::mutex lock;  // guards the flags of this struct
  boost::fibers::condition_variable changed;
  bool stopping = false;
  bool ended = false;

  // Waits for the interval between two calls; false if the periodic work was stopped meanwhile.
  bool wait(duration interval) {
    const auto until = to_steady(monotonic_now() + interval);
    std::unique_lock guard(lock);
    return !changed.wait_until(guard, until, [this] { return stopping; });
  }

  void run(duration interval, const std::function<void()>& work) {
    while (wait(interval)) {
      work();
    }
    const std::lock_guard guard(lock);
    ended = true;
    changed.notify_all();
  }
};

periodic::periodic(fiber_runtime& runtime, std::size_t worker, duration interval,
                   std::function<void()> work)
    : state_(std::make_shared<state>()) {
  runtime.post(worker, [s = state_, interval, work = std::move(work)] { s->run(interval, work); });
}

periodic::~periodic() {
  std::unique_lock guard(state_->lock);
  state_->stopping = true;
  state_->changed.notify_all();
  state_->changed.wait(guard, [this] { return state_->ended; });
}

}  // namespace arbutus
