// Running attempts by the replica they were sent to, so that all of them can be moved when the
// replica loses a member.
#pragma once

#include <map>
#include <set>
#include <string>

#include "base/id.h"
#include "connection/cancel_token.h"

namespace arbutus {

class attempt_registry {
 public:
  // One attempt; on the stack of its fiber.
  struct attempt {
    cancel_token cancel = cancel_token::make();
    bool moved = false;  // ended because its replica is lost, not for a reason of its own
    bool resumable = false;
  };

  class scope {
   public:
    scope(attempt_registry& registry, const target_id& head, attempt& own)
        : registry_(registry), head_(head), own_(own) {
      registry_.by_head_[head_].insert(&own_);
    }
    ~scope() {
      const auto found = registry_.by_head_.find(head_);
      found->second.erase(&own_);
      if (found->second.empty()) {
        registry_.by_head_.erase(found);
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

  // Ends the attempts at `head` that can go on elsewhere; returns how many.
  std::size_t move_away(const target_id& head) {
    const auto found = by_head_.find(head);
    if (found == by_head_.end()) {
      return 0;
    }
    std::size_t count = 0;
    for (attempt* a : found->second) {
      if (a->resumable && !a->moved) {
        a->moved = true;
        a->cancel.cancel();
        ++count;
      }
    }
    return count;
  }

 private:
  std::map<target_id, std::set<attempt*>> by_head_;
};

}  // namespace arbutus
