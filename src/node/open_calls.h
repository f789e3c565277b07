// The calls in progress, so that a node that stops can end those that would outlast it: a caller
// then gets an answer in place of a closed connection.
#pragma once

#include <functional>
#include <mutex>
#include <set>
#include <utility>

namespace arbutus {

// Thread-safe.
class open_calls {
 public:
  // Called when the call has to end, on any thread; must not suspend or destroy a registration.
  using end_handler = std::function<void()>;

  // Registers a call for the lifetime of this object.
  class registration {
   public:
    registration(open_calls& calls, end_handler on_end)
        : calls_(calls), on_end_(std::move(on_end)) {
      const std::lock_guard guard(calls_.lock_);
      calls_.registrations_.insert(this);
    }
    ~registration() {
      const std::lock_guard guard(calls_.lock_);
      calls_.registrations_.erase(this);
    }
    registration(const registration&) = delete;
    registration& operator=(const registration&) = delete;
    registration(registration&&) = delete;
    registration& operator=(registration&&) = delete;

   private:
    friend class open_calls;
    open_calls& calls_;
    end_handler on_end_;
  };

  // Tells all calls to end; returns their number.
  std::size_t end_all() const {
    const std::lock_guard guard(lock_);
    for (const registration* call : registrations_) {
      call->on_end_();
    }
    return registrations_.size();
  }

 private:
  mutable std::mutex lock_;
  std::set<registration*> registrations_;
};

}  // namespace arbutus
