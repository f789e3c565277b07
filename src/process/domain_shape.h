// How many engines of each fabric domain should be made ready for which model.
//
// A replica is slow unless its members share a domain, so engines of a domain that are ready for
// the same model repair each other's replicas: what is left of one that lost a member serves as
// spares of the others. So a plan counts the replicas that a domain still forms after losses, and
// by that count a domain of one model mostly does better than a mixed one.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace arbutus {

struct shape_model {
  std::uint32_t size = 1;  // engines of a replica
  double work = 0;         // in replicas' worth, any unit
  bool operator==(const shape_model&) const = default;
};

struct shape_domain {
  std::vector<std::uint32_t> ready;  // engines by model that they are ready for, or loading
  std::uint32_t blank = 0;           // engines that are ready for none
  bool operator==(const shape_domain&) const = default;
};

// Engines by domain and model; those of a domain sum up to what it has.
using fleet_shape = std::vector<std::vector<std::uint32_t>>;

struct shape_settings {
  // Engines of a domain that may be lost before others come: with 20 of 54 lost in half a minute,
  // and a load of 12 to 16 s until one that came can serve, about a third of a domain is away.
  std::uint32_t losses = 3;
  // Weight of the plans' worth with one domain away, each in turn: some days lose a whole domain
  // for 7 to 8 of their 34 s.
  double domain_loss = 0.25;
  // Cost of making a ready engine ready for another model, as a part of the whole cost: a change
  // has to gain more than the 12 to 16 s without the engine, of half a minute.
  double change_cost = 0.06;
};

// Minimises the sum over the models of work x size x (work / replicas)^4: a model that has half of
// the replicas that it needs costs sixteen times as much, as its callers wait. Work x size is the
// model's share of the engines' time. With work alone as the weight, or with a power of one, models
// of large replicas get too few: 5 or 4 in place of 6 beside 33 or 37 of a quarter of the size.
// Deterministic: nodes that see the same plan the same.
[[nodiscard]] fleet_shape plan_shape(std::span<const shape_domain> domains,
                                     std::span<const shape_model> models,
                                     const shape_settings& settings = {});

// Replicas of `size` that `own` of a domain's `all` engines form, averaged over 0 to `losses`
// losses that fall on any of them alike. The exact average, not the replicas of average numbers:
// with 5 of 8 ready for a model of 4, one loss always leaves a replica, and two do in 9 of 14
// cases. Counted by averages a mixed domain looks worthless, and domains of one model of 4 stand
// with 7 engines, 3 of them idle.
[[nodiscard]] double lasting_replicas(std::uint32_t own, std::uint32_t all, std::uint32_t size,
                                      std::uint32_t losses);

}  // namespace arbutus
