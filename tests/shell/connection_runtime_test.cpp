// Tests the fiber runtime: scheduling of fibers and timers on a worker thread.
#include <boost/fiber/operations.hpp>
#include <thread>
#include <vector>

#include "shell/connection_fixture.h"

namespace arbutus {
namespace {

using namespace testing_support;

using connection_runtime = connection_fixture;

TEST_F(connection_runtime, runs_work_in_order_on_its_worker) {
  awaitable_value<std::vector<int>> seen;
  std::atomic<bool> moved{false};
  for (int i = 0; i < 3; ++i) {
    runtime.post(1, [&, i] {
      seen.change([&](auto& v) { v.push_back(i); });
      boost::this_fiber::yield();
      moved = moved || current_worker() != 1;
      seen.change([&](auto& v) { v.push_back(10 + i); });
    });
  }
  EXPECT_TRUE(seen.wait_for({0, 1, 2, 10, 11, 12}));
  EXPECT_FALSE(moved);
}

// Guards against a fully loaded worker that serves no sockets and timers: fibers keep each other
// ready, so the worker is never idle, and the scheduler must not poll the io_context only when no
// fiber is ready.
TEST_F(connection_runtime, busy_fibers_do_not_starve_timers) {
  bool fired = false;
  int busy = 0;
  in_fiber([&] {
    for (int i = 0; i < 3; ++i) {
      runtime.post(0, [&] {
        ++busy;
        const time_point limit = test_deadline();
        while (!fired && monotonic_now() < limit) {
          boost::this_fiber::yield();
        }
        --busy;
      });
    }
    fired = sleep_until(monotonic_now() + 5ms);
    EXPECT_EQ(busy, 3);
    EXPECT_TRUE(fiber_wait_until([&] { return busy == 0; }));
  });
  EXPECT_TRUE(fired);
}

TEST_F(connection_runtime, sleeps_at_least_as_long_as_requested) {
  in_fiber([] {
    const time_point until = monotonic_now() + 3ms;
    EXPECT_TRUE(sleep_until(until));
    EXPECT_GE(monotonic_now(), until);
  });
}

// Guards against a process that hangs at its end until its longest timer fires: a fiber sleeps for
// an hour when the runtime is stopped, so stop() has to wake sleeping fibers.
TEST(connection_runtime_stop, wakes_sleeping_fibers) {
  fiber_runtime runtime(2);
  runtime.run();
  awaitable_value<int> asleep;
  std::atomic<int> woken{0};
  for (std::size_t i = 0; i < 2; ++i) {
    runtime.post(i, [&] {
      asleep.change([](int& n) { ++n; });
      woken += sleep_until(monotonic_now() + 3600s) ? 0 : 1;
    });
  }
  ASSERT_TRUE(asleep.wait_for(2));
  runtime.stop();
  runtime.join();
  EXPECT_EQ(woken, 2);
}

TEST_F(connection_runtime, takes_work_from_many_threads) {
  constexpr int per_thread = 500;
  awaitable_value<int> done;
  std::vector<std::thread> threads;
  threads.reserve(3);
  for (int t = 0; t < 3; ++t) {
    threads.emplace_back([&] {
      for (int i = 0; i < per_thread; ++i) {
        runtime.post(static_cast<std::size_t>(i % 2), [&] { done.change([](int& n) { ++n; }); });
      }
    });
  }
  EXPECT_TRUE(done.wait_for(3 * per_thread));
  for (auto& thread : threads) {
    thread.join();
  }
}

}  // namespace
}  // namespace arbutus
