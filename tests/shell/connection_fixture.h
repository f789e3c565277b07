// Shared by the tests of connections: a running runtime and ways to wait for a condition.
#pragma once

#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>

#include "connection/clock.h"
#include "connection/fiber_runtime.h"
#include "connection/http_message.h"

namespace arbutus::testing_support {

inline const socket_address any_port{"127.0.0.1", 0};

inline socket_address local(std::uint16_t port) {
  return {"127.0.0.1", port};
}

inline time_point test_deadline() {
  return monotonic_now() + 10s;
}

// A value that threads and fibers change, and whose changes the test's thread can wait for.
template <class T>
class awaitable_value {
 public:
  explicit awaitable_value(T initial = {}) : value_(std::move(initial)) {}

  template <class Change>
  void change(Change&& apply) {
    const std::lock_guard lock(mutex_);
    std::forward<Change>(apply)(value_);
    changed_.notify_all();
  }

  void set(T value) {
    change([&](T& old) { old = std::move(value); });
  }

  [[nodiscard]] T get() const {
    const std::lock_guard lock(mutex_);
    return value_;
  }

  // Waits until `holds(value)` is true; false after ten seconds. Blocks the thread, so it must not
  // be called on a thread that runs fibers.
  template <class Predicate>
  [[nodiscard]] bool wait(Predicate&& holds) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::seconds(10), [&] { return holds(value_); });
  }

  [[nodiscard]] bool wait_for(const T& desired) {
    return wait([&](const T& value) { return value == desired; });
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  T value_;
};

// Suspends the fiber and polls until `holds()` returns true; false after ten seconds.
inline bool fiber_wait_until(const std::function<bool()>& holds) {
  const time_point limit = test_deadline();
  while (!holds()) {
    if (monotonic_now() > limit || !sleep_until(monotonic_now() + 1ms)) {
      return false;
    }
  }
  return true;
}

class connection_fixture : public ::testing::Test {
 protected:
  connection_fixture() { runtime.run(); }

  // Runs `work` in a fiber of worker 0 and waits for it.
  void in_fiber(const std::function<void()>& work) { runtime.run_on(0, work); }

  fiber_runtime runtime{2};
};

}  // namespace arbutus::testing_support
