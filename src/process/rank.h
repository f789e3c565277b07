// Order in which nodes act when any of them may act: each has a rank, by rendezvous hashing over
// the live nodes. A node whose write lost a race against another node's backs off.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <vector>

#include "base/id.h"
#include "base/rng.h"
#include "base/units.h"

namespace arbutus {

// Number of nodes in `live` that come before `self` for this subject. Nodes with different views of
// the live nodes may compute the same rank, so safety must not depend on it.
[[nodiscard]] std::size_t rank_of(std::string_view subject, const node_id& self,
                                  const std::vector<node_id>& live);

// Nodes of higher rank wait no longer than a node of this rank, so that a large data centre whose
// first nodes are all cut off does not wait for minutes.
inline constexpr std::size_t max_delay_rank = 4;

// How long a node of this rank waits before it acts, if action is still needed then.
[[nodiscard]] duration rank_wait(std::size_t rank, duration rank_delay);

// Exponential backoff with a random pause between half and the whole of the current limit, so that
// nodes that collided once are unlikely to collide again.
class backoff {
 public:
  constexpr backoff(duration first, duration limit)
      : first_limit_(first), max_limit_(limit), next_limit_(first) {}

  // The pause before the next attempt.
  constexpr duration fail(rng& random) {
    const duration pause = next_limit_ / 2 + random.jitter(next_limit_ / 2);
    next_limit_ = std::min(next_limit_ * 2, max_limit_);
    return pause;
  }
  constexpr void succeed() { next_limit_ = first_limit_; }

 private:
  duration first_limit_;
  duration max_limit_;
  duration next_limit_;
};

}  // namespace arbutus
