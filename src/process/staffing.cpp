// Square-root staffing over models of different sizes.
#include "process/staffing.h"

#include <cmath>

namespace arbutus {

namespace {

// Part of the engines' time that requests take at an ordinary peak. Above it replicas of batches
// queue by what arrives at random; with a greater one the shares alone decide, with a smaller one
// models of few replicas would stand half idle.
constexpr double planned_use = 0.6;

}  // namespace

std::vector<double> staffed_replicas(std::span<const model_demand> models, std::uint32_t engines) {
  double all_shares = 0;
  for (const model_demand& model : models) {
    all_shares += model.share;
  }
  std::vector<double> replicas;
  double spread = 0;  // engines for one unit of spare replicas of all models
  for (const model_demand& model : models) {
    const double share = all_shares > 0 ? model.share / all_shares : 0;
    replicas.push_back(planned_use * share * engines / model.size);
    spread += model.size * std::sqrt(replicas.back());
  }
  const double spare = spread > 0 ? (1 - planned_use) * engines / spread : 0;
  for (double& count : replicas) {
    count += spare * std::sqrt(count);
  }
  return replicas;
}

}  // namespace arbutus
