// Reserves engines for the models that no domain can hold, model by model; the remaining engines
// are planned by plan_layout().
#include "capacity/cross_domain_layout.h"

#include <algorithm>
#include <numeric>

namespace arbutus {

namespace {

// A replica fits in a domain only if the domain has one engine beyond the replica's size for every
// 8 members.
constexpr std::uint32_t members_per_margin_engine = 8;
// With one spare engine per four members, a replica of 16 engines can be repaired after the
// simultaneous loss of a few engines without loading weights, which takes 12 to 16 s.
constexpr std::uint32_t members_per_spare = 4;

std::uint32_t engine_count(const layout_domain& domain) {
  return std::accumulate(domain.ready.begin(), domain.ready.end(), domain.unloaded);
}

class cross_domain_planner {
 public:
  cross_domain_planner(std::span<const layout_domain> domains, std::span<const layout_model> models,
                       double slowdown, const layout_settings& settings)
      : unreserved_domains_(domains.begin(), domains.end()),
        models_(models),
        slowdown_(std::max(slowdown, 1.0)),
        settings_(settings),
        reserved_(domains.size(), std::vector<std::uint32_t>(models.size(), 0)) {
    for (layout_domain& domain : unreserved_domains_) {
      domain.ready.resize(models.size(), 0);
    }
  }

  fleet_layout run() {
    std::vector<layout_model> others(models_.begin(), models_.end());
    bool any_reserved = false;
    for (std::size_t m = 0; m < models_.size(); ++m) {
      if (!replica_fits_in_domain(unreserved_domains_, models_[m].size) && models_[m].work > 0) {
        reserve_engines(m, desired_engines(m));
        others[m].work = 0;
        any_reserved = true;
      }
    }
    fleet_layout layout =
        plan_layout(unreserved_domains_,
                    any_reserved ? others : std::vector(models_.begin(), models_.end()), settings_);
    for (std::size_t d = 0; d < layout.size(); ++d) {
      for (std::size_t m = 0; m < models_.size(); ++m) {
        layout[d][m] += reserved_[d][m];
      }
    }
    return layout;
  }

 private:
  // Number of engines to reserve for model `m`: the model's share of engine time, divided by the
  // slowdown, because a cross-domain replica ends with any of its members and takes the engines of
  // several smaller replicas of other models. At least the engines of one replica, since the
  // model's callers have no alternative, plus spares, since the replica is formed again after each
  // loss.
  [[nodiscard]] std::uint32_t desired_engines(std::size_t m) const {
    double time_of_all = 0;
    for (const layout_model& model : models_) {
      time_of_all += model.work * model.size;
    }
    const std::uint32_t all = std::accumulate(
        unreserved_domains_.begin(), unreserved_domains_.end(), 0U,
        [](std::uint32_t sum, const layout_domain& d) { return sum + engine_count(d); });
    const double replicas = models_[m].work / time_of_all * all / slowdown_;
    const std::uint32_t size = models_[m].size;
    const auto full = std::max(1U, static_cast<std::uint32_t>(replicas));
    return all < size ? 0 : std::min(all, full * size + size / members_per_spare);
  }

  void reserve_engines(std::size_t m, std::uint32_t desired) {
    std::vector<std::size_t> order(unreserved_domains_.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
      return unreserved_domains_[a].ready[m] > unreserved_domains_[b].ready[m];
    });
    for (const std::size_t d : order) {
      const std::uint32_t taken = std::min(desired, engine_count(unreserved_domains_[d]));
      take_from(unreserved_domains_[d], m, taken);
      reserved_[d][m] += taken;
      desired -= taken;
    }
  }

  // Takes `count` engines from a domain: first those that are ready for model `m`, then those
  // without a model, then others. Engines that are ready for the model but not needed count
  // afterwards as having no model.
  static void take_from(layout_domain& domain, std::size_t m, std::uint32_t count) {
    domain.unloaded += domain.ready[m];
    domain.ready[m] = 0;
    std::uint32_t taken = std::min(domain.unloaded, count);
    domain.unloaded -= taken;
    for (std::uint32_t& ready : domain.ready) {
      const std::uint32_t more = std::min(ready, count - taken);
      ready -= more;
      taken += more;
    }
  }

  std::vector<layout_domain>
      unreserved_domains_;  // the domains with the engines that are not reserved
  std::span<const layout_model> models_;
  double slowdown_;
  layout_settings settings_;
  fleet_layout reserved_;
};

}  // namespace

bool replica_fits_in_domain(std::span<const layout_domain> domains, std::uint32_t size) {
  return std::any_of(domains.begin(), domains.end(), [size](const layout_domain& d) {
    return engine_count(d) >= size + size / members_per_margin_engine;
  });
}

fleet_layout plan_fleet_layout(std::span<const layout_domain> domains,
                               std::span<const layout_model> models, double slowdown,
                               const layout_settings& settings) {
  const bool all_fit = std::all_of(models.begin(), models.end(), [&](const layout_model& m) {
    return replica_fits_in_domain(domains, m.size);
  });
  return all_fit ? plan_layout(domains, models, settings)
                 : cross_domain_planner(domains, models, slowdown, settings).run();
}

}  // namespace arbutus
