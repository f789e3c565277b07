// State of one worker: its io_context, its stacks and its fibers. Only for the .cpp files of this
// folder, since it includes Asio.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>
#include <cstddef>
#include <thread>
#include <unordered_set>
#include <utility>

#include "connection/fiber_runtime.h"

namespace arbutus {

// A no-op lock for condition variables whose waiters and notifiers all run on one worker.
struct no_lock {
  void lock() noexcept {}
  void unlock() noexcept {}
};

struct fiber_worker {
  explicit fiber_worker(std::size_t position) : index(position) {}

  std::size_t index;
  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard{
      boost::asio::make_work_guard(io)};
  std::thread thread;

  // The members below are accessed only on the worker's own thread.
  boost::fibers::pooled_fixedsize_stack stack_pool{fiber_stack_size};
  std::size_t live_fibers{};
  bool stopping{};
  boost::fibers::condition_variable_any fibers_ended;
  std::unordered_set<boost::asio::steady_timer*> sleep_timers;

  void fiber_returned() {
    --live_fibers;
    if (stopping && live_fibers == 0) {
      fibers_ended.notify_all();
    }
  }
};

// The worker of the calling thread; null on a thread that is not a worker.
[[nodiscard]] fiber_worker* this_worker() noexcept;

// Starts a fiber on the calling worker.
template <class Work>
void spawn_here(fiber_worker& worker, Work&& work) {
  ++worker.live_fibers;
  auto body = [&worker, work = std::forward<Work>(work)]() mutable {
    work();
    worker.fiber_returned();
  };
  boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg, worker.stack_pool,
                       std::move(body))
      .detach();
}

// Starts a fiber on `worker`. Callable from any thread. `work` may be move-only.
template <class Work>
void spawn_on(fiber_worker& worker, Work&& work) {
  boost::asio::post(worker.io, [&worker, work = std::forward<Work>(work)]() mutable {
    spawn_here(worker, std::move(work));
  });
}

}  // namespace arbutus
