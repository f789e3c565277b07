// The runs of streamed calls in progress, by the head or the peer that they were sent to, so that
// each can be told when this node no longer believes that it will go on there.
//
// Such a belief ends no run: a target that was silent for a second may go on. The call begins a
// second run elsewhere if it can, and the run that speaks first ends the other one.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <utility>

#include "base/id.h"

namespace arbutus {

class attempt_registry {
 public:
  // Called when the run is in doubt; must not suspend or destroy a registration.
  using doubt_handler = std::function<void()>;

  // Registers a run for the lifetime of this object.
  class registration {
   public:
    registration(attempt_registry& registry, const target_id& head, doubt_handler on_doubt)
        : registry_(registry), head_(head), on_doubt_(std::move(on_doubt)) {
      registry_.runs_by_head_[head_].insert(this);
    }
    ~registration() {
      const auto found = registry_.runs_by_head_.find(head_);
      found->second.erase(this);
      if (found->second.empty()) {
        registry_.runs_by_head_.erase(found);
      }
    }
    registration(const registration&) = delete;
    registration& operator=(const registration&) = delete;
    registration(registration&&) = delete;
    registration& operator=(registration&&) = delete;

   private:
    friend class attempt_registry;
    attempt_registry& registry_;
    target_id head_;
    doubt_handler on_doubt_;
  };

  // Tells all runs at `head` that they are in doubt; returns their number.
  std::size_t doubt(const target_id& head) const {
    const auto found = runs_by_head_.find(head);
    if (found == runs_by_head_.end()) {
      return 0;
    }
    for (const registration* run : found->second) {
      run->on_doubt_();
    }
    return found->second.size();
  }

 private:
  std::map<target_id, std::set<registration*>> runs_by_head_;
};

}  // namespace arbutus
