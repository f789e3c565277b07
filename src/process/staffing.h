// How many replicas models need, so that callers of each wait alike.
//
// Operators say which part of the engines' time each model takes. Shared out by that alone, a model
// of few large replicas waits longer than one of many small ones: what arrives beyond the mean, and
// what the loss of one replica takes away, is a larger part of few. Queueing theory has the remedy
// (square-root staffing): beyond its mean load each model gets spare replicas in proportion to the
// square root of that load.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace arbutus {

struct model_demand {
  std::uint32_t size = 1;  // engines of a replica
  double share = 0;        // of the engines' time
};

// Replicas of each model, not rounded, that use all of `engines` together.
[[nodiscard]] std::vector<double> staffed_replicas(std::span<const model_demand> models,
                                                   std::uint32_t engines);

}  // namespace arbutus
