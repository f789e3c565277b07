// Targets that peers take for lost.
//
// A peer's word is no proof: a node whose link is choked loses every target within half a second,
// and all others would move their streams away from replicas that work. Nor does each node ask for
// itself: with a data centre cut off, 80 nodes asked 74 engines each, some thousand questions a
// second. So a word makes a replica the last choice for new requests, and together with the silence
// of a node's own streams it is enough to move them. Only the keeper of a data centre asks.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "base/id.h"
#include "base/units.h"

namespace arbutus {

class suspicions {
 public:
  // A peer's newest word, which replaces its last one.
  void told(time_point now, const node_id& peer, bool hub, const std::vector<target_id>& lost) {
    if (lost.empty()) {
      words_.erase(peer);
      return;
    }
    words_[peer] = {now, hub, {lost.begin(), lost.end()}};
  }

  [[nodiscard]] bool contains(time_point now, const target_id& id) const {
    return std::any_of(words_.begin(), words_.end(), [&](const auto& entry) {
      return is_fresh(now, entry.second) && entry.second.lost.contains(id);
    });
  }

  [[nodiscard]] bool contains_any(time_point now, const std::vector<target_id>& ids) const {
    return !words_.empty() && std::any_of(ids.begin(), ids.end(),
                                          [&](const target_id& id) { return contains(now, id); });
  }

  // What other hubs said: to be passed on within the data centre, and no further.
  [[nodiscard]] std::set<target_id> of_hubs(time_point now) const {
    std::set<target_id> result;
    for (const auto& [peer, word] : words_) {
      if (word.hub && is_fresh(now, word)) {
        result.insert(word.lost.begin(), word.lost.end());
      }
    }
    return result;
  }

  // Three beats: one may be late, and a peer that ended takes nothing back.
  static constexpr duration remembered = 600ms;

 private:
  struct told_word {
    time_point at;
    bool hub = false;
    std::set<target_id> lost;
  };

  [[nodiscard]] static bool is_fresh(time_point now, const told_word& w) {
    return now - w.at < remembered;
  }

  std::map<node_id, told_word> words_;
};

}  // namespace arbutus
