// Worker threads that run fibers and sockets side by side.
//
// Boost.Fiber schedules fibers, Boost.Asio waits for sockets, and neither knows of the other. Each
// worker here owns one io_context and one scheduler whose idle state *is* waiting in that
// io_context, so that an idle worker sleeps in the kernel. A fiber stays on its worker for
// incarnation: state that belongs to one worker needs no lock.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "base/units.h"

namespace arbutus {

struct fiber_worker;

// One stack per fiber. Parsing JSON and writing logs fit well into half of it; only pages that were
// touched take memory.
constexpr std::size_t fiber_stack_size = 128UL * 1024;

// Ready fibers a worker runs before it looks at its sockets again. Without a bound, fibers that
// keep each other ready would starve every socket; with a bound of one, each switch would pay a
// system call.
constexpr std::size_t fibers_between_polls = 64;

class fiber_runtime {
 public:
  explicit fiber_runtime(std::size_t workers);
  ~fiber_runtime();  // stops and joins
  fiber_runtime(const fiber_runtime&) = delete;
  fiber_runtime& operator=(const fiber_runtime&) = delete;
  fiber_runtime(fiber_runtime&&) = delete;
  fiber_runtime& operator=(fiber_runtime&&) = delete;

  [[nodiscard]] std::size_t workers() const noexcept;

  // Starts the threads. Work posted earlier begins now. Not after a server, client or link that
  // was made before it has been destroyed again.
  void run();
  [[nodiscard]] bool running() const noexcept;

  // Asks the workers to end once their fibers have returned, and wakes every sleep_until().
  // Servers, clients and links are destroyed first: their fibers do not end by themselves.
  void stop();

  // Waits until every worker has ended.
  void join();

  // Starts `work` in a fiber of its own on `worker`. From any thread.
  void post(std::size_t worker, std::function<void()> work);

  // Runs `work` in a fiber on `worker` and waits for it; in place when the threads have ended or
  // never ran. From any thread or fiber.
  void run_on(std::size_t worker, const std::function<void()>& work);

  // For the other parts of this folder.
  [[nodiscard]] fiber_worker& worker(std::size_t index) noexcept;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

// The worker that runs the calling fiber, or `no_worker` on a foreign thread.
constexpr std::size_t no_worker = static_cast<std::size_t>(-1);
[[nodiscard]] std::size_t current_worker() noexcept;

// Suspends the calling fiber until `until`. False if the runtime was stopped meanwhile; the caller
// then returns soon.
bool sleep_until(time_point until);

}  // namespace arbutus
