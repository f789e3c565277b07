// Heads that recently rejected a request without running it, though they were not full.
//
// Another engine may have the head's address, it may no longer be the head of a replica, or it
// turns requests away. The list of targets shows that seconds later or never, and the head looks
// idle, as each rejection takes milliseconds. Without this, it is preferred: requests sent there
// are not run and use up the retry budget, so that callers are refused while other replicas are
// idle. Such a head becomes the last choice of this node rather than excluded, as it may accept
// requests again at any time.
#pragma once

#include <map>
#include <vector>

#include "base/id.h"
#include "base/units.h"

namespace arbutus {

class rejecting_heads {
 public:
  void note(time_point now, const target_id& head) {
    std::erase_if(rejected_at_, [now](const auto& entry) { return !is_fresh(now, entry.second); });
    rejected_at_[head] = now;
  }

  [[nodiscard]] std::vector<target_id> heads(time_point now) const {
    std::vector<target_id> result;
    for (const auto& [head, at] : rejected_at_) {
      if (is_fresh(now, at)) {
        result.push_back(head);
      }
    }
    return result;
  }

  // How long a rejection is remembered. A replica forms within 0.5 s; a row of the list of targets
  // expires after several seconds.
  static constexpr duration rejection_retention = 1s;

 private:
  [[nodiscard]] static bool is_fresh(time_point now, time_point at) {
    return now - at < rejection_retention;
  }

  std::map<target_id, time_point> rejected_at_;
};

}  // namespace arbutus
