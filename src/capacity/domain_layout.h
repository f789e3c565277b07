// Plans how many engines of each fabric domain are prepared for each model.
//
// A replica is slow unless all of its members share a fabric domain. Engines of one domain that are
// ready for the same model can replace each other: when a replica loses a member, its remaining
// members become spares for other replicas. A layout is therefore rated by the replicas that a
// domain can still form after losses, which usually favours one model per domain over a mix.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace arbutus {

struct layout_model {
  std::uint32_t size = 1;  // engines per replica
  // Load of the model relative to the capacity of one replica; only ratios between models matter.
  double work = 0;
  bool operator==(const layout_model&) const = default;
};

struct layout_domain {
  std::vector<std::uint32_t> ready;  // number of engines per model, loaded or loading
  std::uint32_t unloaded = 0;        // engines without a model
  bool operator==(const layout_domain&) const = default;
};

// Number of engines by domain and model; the counts of a domain add up to its engines.
using fleet_layout = std::vector<std::vector<std::uint32_t>>;

struct layout_settings {
  // Number of engines of a domain that may be lost before replacements serve. If 20 of 54 engines
  // fail within 30 s and a replacement takes 12 to 16 s to load, about a third of a domain is
  // unavailable.
  std::uint32_t tolerated_losses = 3;
  // Weight, in the cost of a layout, of the cost that remains after the loss of one whole domain
  // (averaged over the domains). A whole domain can be down for 7 to 8 s out of 34 s.
  double domain_loss_weight = 0.25;
  // Cost of switching a ready engine to another model, as a fraction of the total cost. The gain
  // has to outweigh losing the engine for 12 to 16 s out of about 30 s.
  double change_cost_weight = 0.06;
};

// Chooses the layout that minimises the sum over the models of work x size x (work / replicas)^4.
// Work x size is the model's share of engine time. The fourth power makes a model with half of the
// replicas that it needs cost sixteen times as much, because its callers queue. With work alone as
// the weight, or an exponent of one, models with large replicas get too few replicas: 5 or 4
// instead of 6 beside 33 or 37 replicas of a quarter of the size. Deterministic: nodes with the
// same input compute the same plan.
[[nodiscard]] fleet_layout plan_layout(std::span<const layout_domain> domains,
                                       std::span<const layout_model> models,
                                       const layout_settings& settings = {});

// Expected number of replicas of `size` engines that the engines of a model form in a domain,
// averaged over 0 to `losses` lost engines, each loss equally likely to hit any engine of the
// domain. This is the expectation of the replica count, not the replica count of the expected
// number of engines: with 5 of 8 engines ready for a model of size 4, one loss always leaves a
// replica, and two losses do in 9 of 14 cases. Using the expected number of engines would rate
// mixed domains at zero, and the layout would fill domains with 7 engines of one model of size 4, 3
// of them idle.
[[nodiscard]] double replicas_after_losses(std::uint32_t model_engines,
                                           std::uint32_t domain_engines, std::uint32_t size,
                                           std::uint32_t losses);

}  // namespace arbutus
