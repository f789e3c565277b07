// Heads that recently rejected a request as misdirected.
//
// Either another engine has the head's address, or it is no longer the head of a replica. The list
// of targets shows that only when the head's row expires, seconds later. Without this, requests
// sent there in the meantime are not run and use up the retry budget, so that callers are refused
// while other replicas are idle. Such a head becomes the last choice of this node rather than
// excluded, as it may accept requests again at any time.
#pragma once

#include <map>
#include <vector>

#include "base/id.h"
#include "base/units.h"

namespace arbutus {

class misdirected_heads {
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
