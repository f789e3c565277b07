// Shaping one domain: all splits of its engines are tried; a domain has a few dozen engines.
#include "process/domain_shape.h"

#include <algorithm>
#include <limits>

namespace arbutus {

namespace {

// A model without any replica serves nobody: worse than any split that has one.
constexpr double cost_of_none = 1e3;

double model_cost(const shape_demand& model, std::uint32_t replicas) {
  const double total = model.replicas_elsewhere + replicas;
  if (total <= 0) {
    return model.work > 0 ? cost_of_none : 0;
  }
  return model.work * model.work / total;
}

// Spares go first to the models with most replicas here, since those lose members most often.
std::vector<std::uint32_t> spread_spares(std::uint32_t left,
                                         const std::vector<shape_demand>& models,
                                         const std::vector<std::uint32_t>& replicas) {
  std::vector<std::uint32_t> spares(models.size(), 0);
  while (left > 0) {
    std::size_t best = 0;
    double best_need = -1;
    for (std::size_t i = 0; i < models.size(); ++i) {
      const double members = static_cast<double>(replicas[i]) * models[i].size + 0.5;
      const double need = members / (spares[i] + 1.0) + models[i].work;
      if (need > best_need) {
        best_need = need;
        best = i;
      }
    }
    ++spares[best];
    --left;
  }
  return spares;
}

class search {
 public:
  search(std::uint32_t engines, const std::vector<shape_demand>& models)
      : models_(models), engines_(engines), trial_(models.size(), 0) {}

  domain_shape run() {
    try_model(0, engines_);
    return best_;
  }

 private:
  void try_model(std::size_t index, std::uint32_t left) {
    if (index == models_.size()) {
      judge(left);
      return;
    }
    const std::uint32_t most = left / std::max(models_[index].size, 1U);
    for (std::uint32_t n = 0; n <= most; ++n) {
      trial_[index] = n;
      try_model(index + 1, left - n * models_[index].size);
    }
    trial_[index] = 0;
  }

  void judge(std::uint32_t left) {
    double cost = 0;
    for (std::size_t i = 0; i < models_.size(); ++i) {
      cost += model_cost(models_[i], trial_[i]);
    }
    const auto spares = spread_spares(left, models_, trial_);
    for (std::size_t i = 0; i < models_.size(); ++i) {
      if (spares[i] > 0 && trial_[i] > 0) {
        cost -= spare_worth;
      }
    }
    if (cost < best_cost_) {
      best_cost_ = cost;
      best_ = {trial_, spares};
    }
  }

  const std::vector<shape_demand>& models_;
  std::uint32_t engines_;
  std::vector<std::uint32_t> trial_;
  double best_cost_ = std::numeric_limits<double>::max();
  domain_shape best_;
};

}  // namespace

domain_shape shape_domain(std::uint32_t engines, const std::vector<shape_demand>& models) {
  return search(engines, models).run();
}

}  // namespace arbutus
