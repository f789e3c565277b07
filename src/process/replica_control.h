// Which node controls the replicas of a data centre.
//
// Its own nodes come first, ordered by name, then those of other data centres: a data centre whose
// nodes have all failed still has engines. Two nodes that both consider themselves responsible are
// harmless, since every order names the state it was decided on; they only waste orders.
#pragma once

#include <algorithm>
#include <set>
#include <span>
#include <tuple>
#include <vector>

#include "base/hash.h"
#include "base/id.h"

namespace arbutus {

struct controller_candidate {
  node_id id;
  data_centre_id data_centre;
};

// Of the live nodes, the one that controls `data_centre`; empty if there is none.
[[nodiscard]] inline node_id controller_of(const data_centre_id& data_centre,
                                           std::span<const controller_candidate> live) {
  const auto order = [&](const controller_candidate& n) {
    const bool in_other_data_centre = n.data_centre != data_centre;
    // Distributes data centres without live nodes over the nodes of the other data centres.
    const std::uint64_t weight =
        in_other_data_centre ? ~rendezvous_weight(data_centre.str(), n.id.str()) : 0;
    return std::tuple(in_other_data_centre, weight, n.id);
  };
  const auto first = std::min_element(
      live.begin(), live.end(), [&](const controller_candidate& a, const controller_candidate& b) {
        return order(a) < order(b);
      });
  return first == live.end() ? node_id{} : first->id;
}

[[nodiscard]] inline std::set<data_centre_id> controlled_by(
    const node_id& self, std::span<const data_centre_id> all,
    std::span<const controller_candidate> live) {
  std::set<data_centre_id> result;
  for (const data_centre_id& data_centre : all) {
    if (controller_of(data_centre, live) == self) {
      result.insert(data_centre);
    }
  }
  return result;
}

}  // namespace arbutus
