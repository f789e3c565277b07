// A Boost.Fiber scheduler that runs an Asio io_context when idle, and the threads that use it.
#include "connection/fiber_runtime.h"

#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/future.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/scheduler.hpp>
#include <vector>

#include "connection/await.h"
#include "connection/fiber_worker.h"

namespace arbutus {
namespace {

namespace asio = boost::asio;
using boost::fibers::context;
using steady_time = std::chrono::steady_clock::time_point;

thread_local fiber_worker* worker_of_thread = nullptr;

// Ready fibers run first in, first out. The dispatcher, the fiber of Boost.Fiber that wakes
// sleeping fibers and processes wake-ups from other threads, is kept separately: it runs when no
// other fiber is ready, and after every `fibers_between_polls` other fibers.
//
// Asio handlers run only on the dispatcher. On the stack of a fiber that is about to suspend, a
// handler could make that same fiber ready, and the fiber would be resumed from itself.
class io_scheduler final : public boost::fibers::algo::algorithm {
 public:
  explicit io_scheduler(asio::io_context& io) : io_(io), wake_up_(io) {}

  void awakened(context* fiber) noexcept override {
    if (fiber->is_context(boost::fibers::type::dispatcher_context)) {
      dispatcher_ = fiber;
    } else {
      fiber->ready_link(ready_);
    }
  }

  context* pick_next() noexcept override {
    const bool on_dispatcher =
        context::active()->is_context(boost::fibers::type::dispatcher_context);
    if (on_dispatcher && !ready_.empty()) {
      io_.poll();
    }
    const bool dispatcher_due = ready_.empty() || picks_since_dispatch_ >= fibers_between_polls;
    if (dispatcher_ != nullptr && dispatcher_due) {
      picks_since_dispatch_ = 0;
      return std::exchange(dispatcher_, nullptr);
    }
    if (ready_.empty()) {
      return nullptr;
    }
    ++picks_since_dispatch_;
    context* next = &ready_.front();
    ready_.pop_front();
    return next;
  }

  [[nodiscard]] bool has_ready_fibers() const noexcept override { return !ready_.empty(); }

  void suspend_until(const steady_time& until) noexcept override {
    if (until != steady_time::max()) {
      arm(until);
    }
    io_.run_one();
    io_.poll();
  }

  // Called from any thread. Asio queues a posted handler, so a wake-up between the last check of
  // the queues and the wait is not lost.
  void notify() noexcept override {
    asio::post(io_, [] {});
  }

 private:
  // A timer that fires too early costs only one check of the sleeping fibers. So the timer is only
  // ever moved to an earlier time: deadlines of calls mostly increase, and most are never reached.
  void arm(const steady_time& until) {
    if (until >= armed_until_) {
      return;
    }
    armed_until_ = until;
    wake_up_.expires_at(until);
    wake_up_.async_wait([this](boost::system::error_code error) {
      if (!error) {
        armed_until_ = steady_time::max();
      }
    });
  }

  asio::io_context& io_;
  asio::steady_timer wake_up_;
  steady_time armed_until_{steady_time::max()};
  boost::fibers::scheduler::ready_queue_type ready_;
  context* dispatcher_{nullptr};         // the dispatcher fiber while it is ready to run, else null
  std::size_t picks_since_dispatch_{0};  // fibers picked since the dispatcher last ran
};

void run_worker(fiber_worker& worker) {
  worker_of_thread = &worker;
  boost::fibers::use_scheduling_algorithm<io_scheduler>(worker.io);
  no_lock lock;
  worker.fibers_ended.wait(lock, [&worker] { return worker.stopping && worker.live_fibers == 0; });
}

void begin_stop(fiber_worker& worker) {
  worker.stopping = true;
  for (asio::steady_timer* sleeper : worker.sleep_timers) {
    sleeper->cancel();
  }
  worker.fibers_ended.notify_all();
}

}  // namespace

struct fiber_runtime::state {
  std::vector<std::unique_ptr<fiber_worker>> workers;
  bool running{false};
};

fiber_runtime::fiber_runtime(std::size_t workers) : state_(std::make_unique<state>()) {
  for (std::size_t i = 0; i < workers; ++i) {
    state_->workers.push_back(std::make_unique<fiber_worker>(i));
  }
}

fiber_runtime::~fiber_runtime() {
  stop();
  join();
}

std::size_t fiber_runtime::workers() const noexcept {
  return state_->workers.size();
}

fiber_worker& fiber_runtime::worker(std::size_t index) noexcept {
  return *state_->workers[index];
}

void fiber_runtime::run() {
  state_->running = true;
  for (auto& worker : state_->workers) {
    worker->thread = std::thread([&worker = *worker] { run_worker(worker); });
  }
}

bool fiber_runtime::running() const noexcept {
  return state_->running;
}

void fiber_runtime::stop() {
  for (auto& worker : state_->workers) {
    asio::post(worker->io, [&worker = *worker] { begin_stop(worker); });
  }
}

void fiber_runtime::join() {
  for (auto& worker : state_->workers) {
    if (worker->thread.joinable()) {
      worker->thread.join();
    }
  }
  state_->running = false;
}

void fiber_runtime::post(std::size_t worker, std::function<void()> work) {
  spawn_on(*state_->workers[worker], std::move(work));
}

void fiber_runtime::run_on(std::size_t worker, const std::function<void()>& work) {
  fiber_worker& own = *state_->workers[worker];
  if (this_worker() == &own) {
    work();
    return;
  }
  if (!state_->running) {
    fiber_worker* const outside = std::exchange(worker_of_thread, &own);
    work();
    worker_of_thread = outside;
    return;
  }
  boost::fibers::promise<void> done;
  auto finished = done.get_future();
  spawn_on(own, [&work, done = std::move(done)]() mutable {
    work();
    done.set_value();
  });
  finished.wait();
}

fiber_worker* this_worker() noexcept {
  return worker_of_thread;
}

std::size_t current_worker() noexcept {
  return worker_of_thread == nullptr ? no_worker : worker_of_thread->index;
}

bool sleep_until(time_point until) {
  fiber_worker& worker = *this_worker();
  if (worker.stopping) {
    return false;
  }
  asio::steady_timer timer(worker.io, to_steady(until));
  worker.sleep_timers.insert(&timer);
  await_result<boost::system::error_code>(
      [&timer](auto handler) { timer.async_wait(std::move(handler)); });
  worker.sleep_timers.erase(&timer);
  return !worker.stopping;
}

}  // namespace arbutus
