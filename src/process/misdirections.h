// Heads that have just said that a request is not for them.
//
// Another engine has their address, or they head no replica any more. The list says so only when
// their row lapses. Goes wrong without it: for those seconds each caller is sent there, is not run,
// and draws on the budget of repeated sends; one would see callers refused beside idle replicas.
// Such a head becomes the last choice of this node, as it may be open again at any time.
#pragma once

#include <map>
#include <vector>

#include "base/id.h"
#include "base/units.h"

namespace arbutus {

class misdirections {
 public:
  void note(time_point now, const target_id& head) {
    std::erase_if(said_at_, [now](const auto& entry) { return !is_fresh(now, entry.second); });
    said_at_[head] = now;
  }

  [[nodiscard]] std::vector<target_id> heads(time_point now) const {
    std::vector<target_id> result;
    for (const auto& [head, at] : said_at_) {
      if (is_fresh(now, at)) {
        result.push_back(head);
      }
    }
    return result;
  }

  // A replica forms within half a second; a row lapses after several.
  static constexpr duration remembered = 1s;

 private:
  [[nodiscard]] static bool is_fresh(time_point now, time_point at) {
    return now - at < remembered;
  }

  std::map<target_id, time_point> said_at_;
};

}  // namespace arbutus
