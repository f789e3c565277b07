// Finds a layout of engines by local search: re-plans one fabric domain at a time with the others
// fixed until no domain improves. There are 6 to 16 domains with a few dozen engines each.
#include "process/domain_layout.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace arbutus {

namespace {

// Added to a model's replica count so that a model without replicas has a finite cost, higher than
// that of any plan with a replica of each model.
constexpr double min_replicas = 0.05;
constexpr int max_rounds = 8;

class layout_search {
 public:
  layout_search(std::span<const layout_domain> domains, std::span<const layout_model> models,
                const layout_settings& settings)
      : domains_(domains), models_(models), settings_(settings) {}

  fleet_layout run() {
    for (const layout_domain& domain : domains_) {
      layout_.push_back(initial_split(domain));
    }
    replicas_.resize(domains_.size());
    for (std::size_t d = 0; d < domains_.size(); ++d) {
      replicas_[d] = replicas_of(d, layout_[d]);
    }
    initial_cost_ = cost();
    bool improved = true;
    for (int round = 0; improved && round < max_rounds; ++round) {
      improved = false;
      for (std::size_t d = 0; d < domains_.size(); ++d) {
        improved = improve_domain(d) || improved;
      }
    }
    return layout_;
  }

 private:
  using split = std::vector<std::uint32_t>;

  [[nodiscard]] std::uint32_t engines(std::size_t d) const {
    std::uint32_t sum = domains_[d].unloaded;
    for (const std::uint32_t n : domains_[d].ready) {
      sum += n;
    }
    return sum;
  }

  // First layout of a domain: loaded engines keep their model, and engines without a model go to
  // the model with the most work.
  [[nodiscard]] split initial_split(const layout_domain& domain) const {
    split result = domain.ready;
    result.resize(models_.size(), 0);
    std::size_t heaviest = 0;
    for (std::size_t m = 1; m < models_.size(); ++m) {
      heaviest = models_[m].work > models_[heaviest].work ? m : heaviest;
    }
    result[heaviest] += domain.unloaded;
    return result;
  }

  [[nodiscard]] std::vector<double> replicas_of(std::size_t d, const split& s) const {
    std::vector<double> result;
    const std::uint32_t all = engines(d);
    for (std::size_t m = 0; m < models_.size(); ++m) {
      result.push_back(replicas_after_losses(s[m], all, models_[m].size, settings_.losses));
    }
    return result;
  }

  // Number of engines of domain `d` that would have to switch to another model for layout `s`.
  [[nodiscard]] double model_changes(std::size_t d, const split& s) const {
    double count = 0;
    for (std::size_t m = 0; m < models_.size(); ++m) {
      const std::uint32_t have = m < domains_[d].ready.size() ? domains_[d].ready[m] : 0;
      count += have > s[m] ? have - s[m] : 0;
    }
    return count;
  }

  // Cost of a layout with these replica totals by model, without the replicas of domain `excluded`;
  // pass the number of domains to exclude none.
  [[nodiscard]] double cost_without_domain(const std::vector<double>& totals,
                                           std::size_t excluded) const {
    double sum = 0;
    for (std::size_t m = 0; m < models_.size(); ++m) {
      const double lost = excluded < replicas_.size() ? replicas_[excluded][m] : 0;
      const double use = models_[m].work / (totals[m] - lost + min_replicas);
      sum += models_[m].work * models_[m].size * use * use * use * use;
    }
    return sum;
  }

  [[nodiscard]] double cost() const {
    std::vector<double> totals(models_.size(), 0);
    for (const auto& of_domain : replicas_) {
      for (std::size_t m = 0; m < models_.size(); ++m) {
        totals[m] += of_domain[m];
      }
    }
    double without_one = 0;
    for (std::size_t d = 0; d < replicas_.size(); ++d) {
      without_one += cost_without_domain(totals, d);
    }
    without_one /= static_cast<double>(std::max<std::size_t>(replicas_.size(), 1));
    return (1 - settings_.domain_loss_weight) * cost_without_domain(totals, replicas_.size()) +
           settings_.domain_loss_weight * without_one;
  }

  bool improve_domain(std::size_t d) {
    best_ = cost() + initial_cost_ * settings_.change_cost_weight * model_changes(d, layout_[d]);
    best_split_ = layout_[d];
    const split before = layout_[d];
    split trial(models_.size(), 0);
    try_model(d, 0, engines(d), trial);
    layout_[d] = best_split_;
    replicas_[d] = replicas_of(d, best_split_);
    return best_split_ != before;
  }

  void try_model(std::size_t d, std::size_t model, std::uint32_t remaining, split& trial) {
    if (model + 1 == models_.size()) {
      trial[model] = remaining;
      evaluate(d, trial);
      return;
    }
    for (std::uint32_t n = 0; n <= remaining; ++n) {
      trial[model] = n;
      try_model(d, model + 1, remaining - n, trial);
    }
  }

  void evaluate(std::size_t d, const split& trial) {
    replicas_[d] = replicas_of(d, trial);
    const double c =
        cost() + initial_cost_ * settings_.change_cost_weight * model_changes(d, trial);
    constexpr double min_improvement = 1e-6;  // as a fraction of the cost
    if (c < best_ * (1 - min_improvement)) {
      best_ = c;
      best_split_ = trial;
    }
  }

  std::span<const layout_domain> domains_;
  std::span<const layout_model> models_;
  layout_settings settings_;
  fleet_layout layout_;
  // Expected number of replicas after losses, by domain and model.
  std::vector<std::vector<double>> replicas_;
  double initial_cost_ = 0;
  double best_ = 0;
  split best_split_;
};

// Expected number of replicas of `size` engines that the engines of a model form when `lost` of the
// domain's engines fail. The number of failures among the model's engines is hypergeometric.
double expected_replicas(std::uint32_t own, std::uint32_t all, std::uint32_t size,
                         std::uint32_t lost) {
  double sum = 0;
  // Sum over the possible numbers of failed engines of the model: probability x replicas.
  const std::uint32_t others = all - own;
  for (std::uint32_t own_lost = lost > others ? lost - others : 0; own_lost <= std::min(own, lost);
       ++own_lost) {
    double chance = 1;
    // The probability is C(own, own_lost) * C(others, lost - own_lost) / C(all, lost), computed as
    // a product of small factors.
    for (std::uint32_t i = 0; i < own_lost; ++i) {
      chance *= static_cast<double>(own - i) / (i + 1);
    }
    for (std::uint32_t i = 0; i < lost - own_lost; ++i) {
      chance *= static_cast<double>(others - i) / (i + 1);
    }
    for (std::uint32_t i = 0; i < lost; ++i) {
      chance *= static_cast<double>(i + 1) / (all - i);
    }
    const std::uint32_t formed = (own - own_lost) / size;
    sum += chance * formed;
  }
  return sum;
}

}  // namespace

double replicas_after_losses(std::uint32_t own, std::uint32_t all, std::uint32_t size,
                             std::uint32_t losses) {
  if (own < size || all == 0) {
    return 0;
  }
  double sum = 0;
  for (std::uint32_t lost = 0; lost <= losses; ++lost) {
    sum += expected_replicas(own, all, size, std::min(lost, all));
  }
  return sum / (losses + 1);
}

fleet_layout plan_layout(std::span<const layout_domain> domains,
                         std::span<const layout_model> models, const layout_settings& settings) {
  if (models.empty()) {
    return fleet_layout(domains.size());
  }
  return layout_search(domains, models, settings).run();
}

}  // namespace arbutus
