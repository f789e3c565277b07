// Whether a node follows the records of all targets, or only the serving replicas (serving_feed).
//
// The hub controls replicas and needs the records; the next in line needs them to take over while
// the store is unavailable. All others need only the replicas that they send requests to.
#pragma once

#include "base/units.h"

namespace arbutus {

class record_subscription {
 public:
  // `is_hub_or_next`: whether this node is the hub or the next in line, in its local view.
  void update(time_point now, bool is_hub, bool is_hub_or_next) {
    if (!has_decided_ || is_hub) {
      follows_records_ = is_hub || is_hub_or_next;
      has_decided_ = true;
      differs_since_ = {};
      return;
    }
    if (is_hub_or_next == follows_records_) {
      differs_since_ = {};
      return;
    }
    if (differs_since_ == time_point{}) {
      differs_since_ = now;
    }
    if (now - differs_since_ >= (follows_records_ ? unsubscribe_delay : subscribe_delay)) {
      follows_records_ = is_hub_or_next;
      differs_since_ = {};
    }
  }

  // False until the first update.
  [[nodiscard]] bool decided() const { return has_decided_; }
  [[nodiscard]] bool follows_records() const { return follows_records_; }

  // A node starts or stops following the records only after its place in the order of hubs has been
  // different for this long. The place changes for a short time when a heartbeat is late or the
  // store refuses a node, and fetching all records takes some hundred KB. Stopping takes longer, as
  // a node that has the records may be needed again soon.
  static constexpr duration subscribe_delay = 1s;
  static constexpr duration unsubscribe_delay = 5s;

 private:
  bool has_decided_ = false;
  bool follows_records_ = false;
  time_point differs_since_{};  // since when is_hub_or_next differs from follows_records_; zero: it
                                // does not
};

}  // namespace arbutus
