// Who acts first when any node may act: a rank by rendezvous hashing over the live nodes, and a
// backoff for those who lost a race.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <vector>

#include "base/id.h"
#include "base/rng.h"
#include "base/units.h"

namespace arbutus {

// Number of nodes in `live` that go before `self` for this subject. Nodes that disagree on who
// lives may compute the same rank; the safety of what they do must not rest on it.
[[nodiscard]] std::size_t rank_of(std::string_view subject, const node_id& self,
                                  const std::vector<node_id>& live);

// Beyond this rank the delays stop growing, so that a large data centre whose first nodes are all
// cut off does not wait for minutes.
inline constexpr std::size_t max_rank = 4;

// How long a node of this rank waits before it acts on a need that still stands.
[[nodiscard]] duration rank_wait(std::size_t rank, duration rank_delay);

// Exponential with full jitter above the half: nodes that collided once do not collide again.
class backoff {
 public:
  constexpr backoff(duration first, duration most) : first_(first), most_(most), next_(first) {}

  // The pause before the next attempt.
  constexpr duration fail(rng& random) {
    const duration pause = next_ / 2 + random.jitter(next_ / 2);
    next_ = std::min(next_ * 2, most_);
    return pause;
  }
  constexpr void succeed() { next_ = first_; }

 private:
  duration first_;
  duration most_;
  duration next_;
};

}  // namespace arbutus
