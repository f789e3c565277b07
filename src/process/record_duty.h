// Whether a node follows the record of every target, or only what serves (serving_feed).
//
// The hub keeps replicas and needs the records; the next in line needs them to take over while the
// store is away. All others need only what they send to.
#pragma once

#include "base/units.h"

namespace arbutus {

class record_duty {
 public:
  // `is_heir`: the hub or the next in line, as far as this node sees.
  void update(time_point now, bool is_hub, bool is_heir) {
    if (!decided_ || is_hub) {
      follows_ = is_hub || is_heir;
      decided_ = true;
      differs_since_ = {};
      return;
    }
    if (is_heir == follows_) {
      differs_since_ = {};
      return;
    }
    if (differs_since_ == time_point{}) {
      differs_since_ = now;
    }
    if (now - differs_since_ >= (follows_ ? leave_after : take_after)) {
      follows_ = is_heir;
      differs_since_ = {};
    }
  }

  // False until the first update.
  [[nodiscard]] bool decided() const { return decided_; }
  [[nodiscard]] bool follows_records() const { return follows_; }

  // The order of hubs changes for a moment when a beat is late or the store turns a node away; all
  // records are some hundred KB. A node that has them may be needed again soon.
  static constexpr duration take_after = 1s;
  static constexpr duration leave_after = 5s;

 private:
  bool decided_ = false;
  bool follows_ = false;
  time_point differs_since_{};  // the duty differs from what is followed
};

}  // namespace arbutus
