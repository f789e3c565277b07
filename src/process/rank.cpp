// Rank by rendezvous hashing, and the delay that follows from it.
#include "process/rank.h"

#include "base/hash.h"

namespace arbutus {

std::size_t rank_of(std::string_view subject, const node_id& self,
                    const std::vector<node_id>& live) {
  const auto own = rendezvous_weight(subject, self.str());
  std::size_t preceding = 0;
  for (const node_id& node : live) {
    const auto weight = rendezvous_weight(subject, node.str());
    const bool precedes = weight > own || (weight == own && node < self);
    preceding += node != self && precedes ? 1 : 0;
  }
  return preceding;
}

duration rank_wait(std::size_t rank, duration rank_delay) {
  return rank_delay * static_cast<duration::rep>(std::min(rank, max_delay_rank));
}

}  // namespace arbutus
