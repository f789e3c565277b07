// Worker threads that run fibers and handle sockets.
//
// Boost.Fiber schedules fibers and Boost.Asio waits for sockets, independently of each other. Each
// worker here owns one io_context and one scheduler, which waits in that io_context when no fiber
// is ready, so that an idle worker sleeps in the kernel. A fiber stays on its worker until it ends,
// so state that belongs to one worker needs no lock.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "base/units.h"

namespace arbutus {

struct fiber_worker;

// Bytes of stack per fiber. Parsing JSON and writing logs need less than half of it; only pages
// that were touched use memory.
constexpr std::size_t fiber_stack_size = 128UL * 1024;

// Number of ready fibers that a worker runs before it polls its sockets again. Without a bound,
// fibers that keep each other ready would starve all sockets; with a bound of one, each switch
// would cost a system call.
constexpr std::size_t fibers_between_polls = 64;

class fiber_runtime {
 public:
  explicit fiber_runtime(std::size_t workers);
  ~fiber_runtime();  // stops the workers and waits for their threads
  fiber_runtime(const fiber_runtime&) = delete;
  fiber_runtime& operator=(const fiber_runtime&) = delete;
  fiber_runtime(fiber_runtime&&) = delete;
  fiber_runtime& operator=(fiber_runtime&&) = delete;

  [[nodiscard]] std::size_t workers() const noexcept;

  // Starts the threads, which begin the work posted so far. Must not be called once a server,
  // client or link that was created before the call has been destroyed.
  void run();
  [[nodiscard]] bool running() const noexcept;

  // Makes the workers end once their fibers have returned, and wakes every sleep_until(). Servers,
  // clients and links must be destroyed before: their fibers do not end on their own.
  void stop();

  // Waits until every worker has ended.
  void join();

  // Starts `work` in a new fiber on `worker`. Callable from any thread.
  void post(std::size_t worker, std::function<void()> work);

  // Runs `work` in a fiber on `worker` and waits for it. Calls it directly if the threads have
  // ended or were never started. Callable from any thread or fiber.
  void run_on(std::size_t worker, const std::function<void()>& work);

  // Internal state of a worker. Only for the .cpp files of this folder.
  [[nodiscard]] fiber_worker& worker(std::size_t index) noexcept;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

// The worker that runs the calling fiber, or `no_worker` on a thread that is not a worker.
constexpr std::size_t no_worker = static_cast<std::size_t>(-1);
[[nodiscard]] std::size_t current_worker() noexcept;

// Suspends the calling fiber until `until`. False if the runtime was stopped in the meantime; the
// fiber then has to end promptly.
bool sleep_until(time_point until);

}  // namespace arbutus
