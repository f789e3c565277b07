// Finds a layout of engines by local search: re-plans one fabric domain at a time with the others
// fixed until no domain improves. There are 6 to 16 domains with a few dozen engines each, or some
// hundred with 8.
#include "capacity/domain_layout.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

namespace arbutus {

namespace {

// Added to a model's replica count so that a model without replicas has a finite cost, higher than
// that of any plan with a replica of each model.
constexpr double replica_count_offset = 0.05;
constexpr int max_search_rounds = 8;

class layout_search {
 public:
  layout_search(std::span<const layout_domain> domains, std::span<const layout_model> models,
                const layout_settings& settings)
      : domains_(domains), models_(models), settings_(settings) {}

  fleet_layout run() {
    for (const layout_domain& domain : domains_) {
      layout_.push_back(initial_split(domain));
    }
    expected_replica_counts_.resize(domains_.size());
    for (std::size_t d = 0; d < domains_.size(); ++d) {
      expected_replica_counts_[d] = replicas_of(d, layout_[d]);
      ++domains_by_replica_counts_[expected_replica_counts_[d]];
    }
    initial_cost_ = cost();
    bool improved = true;
    for (int round = 0; improved && round < max_search_rounds; ++round) {
      improved = false;
      for (std::size_t d = 0; d < domains_.size(); ++d) {
        improved = improve_domain(d) || improved;
      }
    }
    return layout_;
  }

 private:
  using model_split = std::vector<std::uint32_t>;
  using replica_counts = std::vector<double>;  // expected number of replicas after losses, by model

  [[nodiscard]] std::uint32_t engines(std::size_t d) const {
    std::uint32_t sum = domains_[d].unloaded;
    for (const std::uint32_t n : domains_[d].ready) {
      sum += n;
    }
    return sum;
  }

  // First layout of a domain: loaded engines keep their model, and engines without a model go to
  // the model with the most work.
  [[nodiscard]] model_split initial_split(const layout_domain& domain) const {
    model_split result = domain.ready;
    result.resize(models_.size(), 0);
    std::size_t heaviest = 0;
    for (std::size_t m = 1; m < models_.size(); ++m) {
      heaviest = models_[m].work > models_[heaviest].work ? m : heaviest;
    }
    result[heaviest] += domain.unloaded;
    return result;
  }

  [[nodiscard]] replica_counts replicas_of(std::size_t d, const model_split& s) const {
    replica_counts result;
    const std::uint32_t domain_engines = engines(d);
    for (std::size_t m = 0; m < models_.size(); ++m) {
      result.push_back(
          replicas_after_losses(s[m], domain_engines, models_[m].size, settings_.tolerated_losses));
    }
    return result;
  }

  // Number of engines of domain `d` that would have to switch to another model for layout `s`.
  [[nodiscard]] double model_changes(std::size_t d, const model_split& s) const {
    double count = 0;
    for (std::size_t m = 0; m < models_.size(); ++m) {
      const std::uint32_t have = m < domains_[d].ready.size() ? domains_[d].ready[m] : 0;
      count += have > s[m] ? have - s[m] : 0;
    }
    return count;
  }

  // Cost of a layout with these replica totals by model, less those of one domain.
  [[nodiscard]] double cost_without(const replica_counts& totals,
                                    const replica_counts& lost) const {
    double sum = 0;
    for (std::size_t m = 0; m < models_.size(); ++m) {
      const double use = models_[m].work / (totals[m] - lost[m] + replica_count_offset);
      sum += models_[m].work * models_[m].size * use * use * use * use;
    }
    return sum;
  }

  [[nodiscard]] double cost() const {
    const replica_counts none(models_.size(), 0);
    replica_counts totals = none;
    for (const auto& [counts, domains] : domains_by_replica_counts_) {
      for (std::size_t m = 0; m < models_.size(); ++m) {
        totals[m] += static_cast<double>(domains) * counts[m];
      }
    }
    double without_one = 0;
    for (const auto& [counts, domains] : domains_by_replica_counts_) {
      without_one += static_cast<double>(domains) * cost_without(totals, counts);
    }
    without_one /= static_cast<double>(std::max<std::size_t>(domains_.size(), 1));
    return (1 - settings_.domain_loss_weight) * cost_without(totals, none) +
           settings_.domain_loss_weight * without_one;
  }

  void set_replica_counts(std::size_t d, replica_counts counts) {
    const auto known = domains_by_replica_counts_.find(expected_replica_counts_[d]);
    if (--known->second == 0) {
      domains_by_replica_counts_.erase(known);
    }
    ++domains_by_replica_counts_[counts];
    expected_replica_counts_[d] = std::move(counts);
  }

  bool improve_domain(std::size_t d) {
    best_cost_ =
        cost() + initial_cost_ * settings_.change_cost_weight * model_changes(d, layout_[d]);
    best_split_ = layout_[d];
    const model_split before = layout_[d];
    model_split trial(models_.size(), 0);
    try_model(d, 0, engines(d), trial);
    layout_[d] = best_split_;
    set_replica_counts(d, replicas_of(d, best_split_));
    return best_split_ != before;
  }

  void try_model(std::size_t d, std::size_t model, std::uint32_t remaining, model_split& trial) {
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

  void evaluate(std::size_t d, const model_split& trial) {
    set_replica_counts(d, replicas_of(d, trial));
    const double c =
        cost() + initial_cost_ * settings_.change_cost_weight * model_changes(d, trial);
    constexpr double min_improvement = 1e-6;  // as a fraction of the cost
    if (c < best_cost_ * (1 - min_improvement)) {
      best_cost_ = c;
      best_split_ = trial;
    }
  }

  std::span<const layout_domain> domains_;
  std::span<const layout_model> models_;
  layout_settings settings_;
  fleet_layout layout_;
  std::vector<replica_counts> expected_replica_counts_;  // by domain
  // Number of domains with the same counts. Hundreds of small domains have a dozen different counts
  // between them, so the cost is a sum of a dozen terms: a sum over all domains for each change
  // tried makes the time of a plan grow with the square of their number.
  std::map<replica_counts, std::size_t> domains_by_replica_counts_;
  double initial_cost_ = 0;
  double best_cost_ = 0;
  model_split best_split_;
};

// Expected number of replicas of `size` engines that the engines of a model form when `lost` of the
// domain's engines fail. The number of failures among the model's engines is hypergeometric.
double expected_replicas(std::uint32_t model_engines, std::uint32_t domain_engines,
                         std::uint32_t size, std::uint32_t lost) {
  double sum = 0;
  // Sums, over each possible number of the model's engines among the failed ones, the probability
  // of that number times the number of replicas that the remaining engines form.
  const std::uint32_t others = domain_engines - model_engines;
  for (std::uint32_t model_engines_lost = lost > others ? lost - others : 0;
       model_engines_lost <= std::min(model_engines, lost); ++model_engines_lost) {
    double chance = 1;
    // The probability is C(model_engines, model_engines_lost) * C(others, lost -
    // model_engines_lost) / C(domain_engines, lost), computed as a product of small factors.
    for (std::uint32_t i = 0; i < model_engines_lost; ++i) {
      chance *= static_cast<double>(model_engines - i) / (i + 1);
    }
    for (std::uint32_t i = 0; i < lost - model_engines_lost; ++i) {
      chance *= static_cast<double>(others - i) / (i + 1);
    }
    for (std::uint32_t i = 0; i < lost; ++i) {
      chance *= static_cast<double>(i + 1) / (domain_engines - i);
    }
    const std::uint32_t formed = (model_engines - model_engines_lost) / size;
    sum += chance * formed;
  }
  return sum;
}

}  // namespace

double replicas_after_losses(std::uint32_t model_engines, std::uint32_t domain_engines,
                             std::uint32_t size, std::uint32_t losses) {
  if (model_engines < size || domain_engines == 0) {
    return 0;
  }
  double sum = 0;
  for (std::uint32_t lost = 0; lost <= losses; ++lost) {
    sum += expected_replicas(model_engines, domain_engines, size, std::min(lost, domain_engines));
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
