// One model after the other; the rest of the engines is shaped by domain.
#include "process/far_shape.h"

#include <algorithm>
#include <numeric>

namespace arbutus {

namespace {

constexpr std::uint32_t room_for_losses = 8;  // one engine beyond the size for so many of it
// Numbers of engines that are tried: a finer search moves no whole replica.
constexpr std::uint32_t most_tries = 64;

std::uint32_t engines_of(const shape_domain& domain) {
  return std::accumulate(domain.ready.begin(), domain.ready.end(), domain.blank);
}

class far_plan {
 public:
  far_plan(std::span<const shape_domain> domains, std::span<const shape_model> models,
           double slowdown, const shape_settings& settings)
      : left_(domains.begin(), domains.end()),
        models_(models),
        slowdown_(std::max(slowdown, 1.0)),
        settings_(settings),
        apart_(domains.size(), std::vector<std::uint32_t>(models.size(), 0)) {
    for (shape_domain& domain : left_) {
      domain.ready.resize(models.size(), 0);
    }
  }

  fleet_shape run() {
    std::vector<shape_model> others(models_.begin(), models_.end());
    bool any = false;
    for (std::size_t m = 0; m < models_.size(); ++m) {
      if (!fits_a_domain(left_, models_[m].size) && models_[m].work > 0) {
        set_apart(m, engines_wanted(m));
        others[m].work = 0;
        any = true;
      }
    }
    fleet_shape shape =
        plan_shape(left_, any ? others : std::vector(models_.begin(), models_.end()), settings_);
    for (std::size_t d = 0; d < shape.size(); ++d) {
      for (std::size_t m = 0; m < models_.size(); ++m) {
        shape[d][m] += apart_[d][m];
      }
    }
    return shape;
  }

 private:
  [[nodiscard]] std::uint32_t all_left() const {
    return std::accumulate(
        left_.begin(), left_.end(), 0U,
        [](std::uint32_t sum, const shape_domain& d) { return sum + engines_of(d); });
  }

  // The same weights as in a plan by domains, see plan_shape().
  [[nodiscard]] static double cost(const shape_model& model, double replicas) {
    constexpr double least_replicas = 0.05;
    const double use = model.work / (replicas + least_replicas);
    return model.work * model.size * use * use * use * use;
  }

  [[nodiscard]] double cost_with(std::size_t m, std::uint32_t apart, std::uint32_t all) const {
    const auto losses = static_cast<std::uint32_t>(settings_.losses * left_.size());
    const double own =
        lasting_replicas(apart, all, models_[m].size, std::min(losses, models_[m].size));
    double sum = cost(models_[m], own / slowdown_);
    double time_of_others = 0;
    for (std::size_t o = 0; o < models_.size(); ++o) {
      time_of_others += o == m ? 0 : models_[o].work * models_[o].size;
    }
    for (std::size_t o = 0; o < models_.size() && time_of_others > 0; ++o) {
      if (o != m) {
        const double share = models_[o].work * models_[o].size / time_of_others;
        sum += cost(models_[o], (all - apart) * share / models_[o].size);
      }
    }
    return sum;
  }

  [[nodiscard]] std::uint32_t engines_wanted(std::size_t m) const {
    const std::uint32_t all = all_left();
    const std::uint32_t step = std::max(1U, all / most_tries);
    std::uint32_t best = 0;
    double best_cost = cost_with(m, 0, all);
    for (std::uint32_t n = models_[m].size; n <= all; n += step) {
      const double c = cost_with(m, n, all);
      if (c < best_cost) {
        best_cost = c;
        best = n;
      }
    }
    return best;
  }

  void set_apart(std::size_t m, std::uint32_t wanted) {
    std::vector<std::size_t> order(left_.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
      return left_[a].ready[m] > left_[b].ready[m];
    });
    for (const std::size_t d : order) {
      const std::uint32_t taken = std::min(wanted, engines_of(left_[d]));
      take_from(left_[d], m, taken);
      apart_[d][m] += taken;
      wanted -= taken;
    }
  }

  // Those that are ready for the model first, then blank ones, then others. What is ready for it
  // and is not needed counts as blank.
  static void take_from(shape_domain& domain, std::size_t m, std::uint32_t count) {
    domain.blank += domain.ready[m];
    domain.ready[m] = 0;
    std::uint32_t taken = std::min(domain.blank, count);
    domain.blank -= taken;
    for (std::uint32_t& ready : domain.ready) {
      const std::uint32_t more = std::min(ready, count - taken);
      ready -= more;
      taken += more;
    }
  }

  std::vector<shape_domain> left_;  // engines that are not set apart
  std::span<const shape_model> models_;
  double slowdown_;
  shape_settings settings_;
  fleet_shape apart_;
};

}  // namespace

bool fits_a_domain(std::span<const shape_domain> domains, std::uint32_t size) {
  return std::any_of(domains.begin(), domains.end(), [size](const shape_domain& d) {
    return engines_of(d) >= size + size / room_for_losses;
  });
}

fleet_shape plan_fleet(std::span<const shape_domain> domains, std::span<const shape_model> models,
                       double slowdown, const shape_settings& settings) {
  const bool all_fit = std::all_of(models.begin(), models.end(), [&](const shape_model& m) {
    return fits_a_domain(domains, m.size);
  });
  return all_fit ? plan_shape(domains, models, settings)
                 : far_plan(domains, models, slowdown, settings).run();
}

}  // namespace arbutus
