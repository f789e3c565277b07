// How many replicas of each model the engines of one fabric domain should form, and which spare
// engines should be made ready for which model.
//
// A replica is slow unless its members share a domain, so each domain is shaped by itself, given
// what stands elsewhere.
#pragma once

#include <cstdint>
#include <vector>

namespace arbutus {

// One model, as the shape of a domain sees it.
struct shape_demand {
  std::uint32_t size = 1;       // engines of a replica
  double work = 0;              // share of the service's work, any unit
  double replicas_elsewhere{};  // that stand or form in other domains
};

struct domain_shape {
  std::vector<std::uint32_t> replicas;  // by model
  std::vector<std::uint32_t> spares;    // engines beyond those, made ready for the model
};

// Shapes `engines` engines. Minimises the sum of work² / replicas, which is least when each model
// has replicas in proportion to its work, less `spare_worth` for each model that has a spare.
[[nodiscard]] domain_shape shape_domain(std::uint32_t engines,
                                        const std::vector<shape_demand>& models);

// A replica that loses a member is repaired in about half a second with a spare of its model in
// its domain, and stays down for the load of a model, 12 to 16 s, without one. At two lost engines
// every three seconds among 54, a domain of nine loses one each 9 s on average, so that a spare
// saves more replica time than a sixth replica of a model adds. In units of work²/replicas at a
// dozen replicas, where one more replica changes the sum by about 0.01.
inline constexpr double spare_worth = 0.006;

}  // namespace arbutus
