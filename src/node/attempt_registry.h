// The running attempts of model requests, indexed by the head of the replica they were sent to, so
// that all of them can be resumed on other replicas when the replica loses a member.
#pragma once

#include <map>
#include <set>
#include <string>

#include "base/id.h"
#include "connection/cancel_token.h"

namespace arbutus {

class attempt_registry {
 public:
  // One attempt to run a request on a replica, allocated on the stack of its fiber.
  struct attempt {
    cancel_token cancel = cancel_token::make();
    bool cancelled_to_move =
        false;               // cancelled because its replica was lost, not for another reason
    bool resumable = false;  // may be continued on another replica
  };

  // Registers an attempt for the lifetime of this object.
  class scope {
   public:
    scope(attempt_registry& registry, const target_id& head, attempt& own)
        : registry_(registry), head_(head), own_(own) {
      registry_.attempts_by_head_[head_].insert(&own_);
    }
    ~scope() {
      const auto found = registry_.attempts_by_head_.find(head_);
      found->second.erase(&own_);
      if (found->second.empty()) {
        registry_.attempts_by_head_.erase(found);
      }
    }
    scope(const scope&) = delete;
    scope& operator=(const scope&) = delete;
    scope(scope&&) = delete;
    scope& operator=(scope&&) = delete;

   private:
    attempt_registry& registry_;
    target_id head_;
    attempt& own_;
  };

  // Cancels the attempts at `head` that can be resumed on another replica; returns their number.
  std::size_t cancel_resumable(const target_id& head) {
    const auto found = attempts_by_head_.find(head);
    if (found == attempts_by_head_.end()) {
      return 0;
    }
    std::size_t count = 0;
    for (attempt* a : found->second) {
      if (a->resumable && !a->cancelled_to_move) {
        a->cancelled_to_move = true;
        a->cancel.cancel();
        ++count;
      }
    }
    return count;
  }

 private:
  std::map<target_id, std::set<attempt*>> attempts_by_head_;
};

}  // namespace arbutus
