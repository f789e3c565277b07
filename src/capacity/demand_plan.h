// Divides the engine time of a service among its models by observed demand.
//
// The work of a model is the number of replicas that its calls keep busy: their rate divided by the
// rate that one replica serves within the calls' objective. The shares of engine time follow from
// it. The operators' declared shares are in force until demand has been observed. After that, a
// change takes effect only when demand has differed from the shares in force by more than
// `tolerance` for some time, and in steps that are the same for all controllers.
//
// A change moves engines, each of which is lost for the time of a load. Demand that goes up and
// down must not move engines back and forth, so further changes need more time until demand has
// been stable for a while.
//
// Reads no clock; callers pass the time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/units.h"
#include "capacity/model_demand.h"
#include "version/service_map.h"

namespace arbutus {

// Calls per second that one replica of the model serves, of the mix in `demand`: the most at which
// the estimated first event is within the calls' objective and no more than nine tenths of the
// slots are taken. If no rate meets the objective, the slots alone count.
[[nodiscard]] double replica_service_rate(const engine_parameters& engine, const model_spec& model,
                                          const demand_rate& demand);

class demand_plan {
 public:
  struct inputs {
    const service_id& service;
    const model_demand& demand;  // of the deployment
    double heard_nodes = 1;      // fraction of the known nodes that are heard
    std::size_t engines = 0;     // of the service, in all data centres
    // A model has no serving replica; changes then do not wait for earlier loads.
    bool has_unserved_model = false;
  };

  // Call more often than once a second; a longer gap discards what was observed. True if the shares
  // in force have changed by demand.
  [[nodiscard]] bool update(time_point now, const engine_parameters& engine, const inputs& in);

  // Shares of engine time in force, by the position of the model in the engine's list. Their sum is
  // that of the declared shares.
  [[nodiscard]] const std::vector<double>& shares() const { return shares_; }
  // Smoothed number of replicas that the calls of each model keep busy; zero if not observed.
  [[nodiscard]] std::vector<double> work() const;

  static constexpr duration time_constant = 3s;  // of the smoothing
  // Demand has to be observed for this long before it counts.
  static constexpr duration min_observation = 2s;
  // Ratio between two models, relative to the one in force, above which demand differs from it.
  static constexpr double tolerance = 1.25;
  // Time for which demand has to differ before a change.
  static constexpr duration change_delay = 1s;
  // The same if demand has differed within the last `settled_time`, unless the change goes on in
  // the direction of a first one. A wave with a period of 13 s differs in the same direction for up
  // to 6.5 s, and its mean over 10 s is near that of the whole wave.
  static constexpr duration unsettled_delay = 10s;
  static constexpr duration settled_time = 20s;
  // Works are rounded to powers of this, relative to the first model's.
  static constexpr double rounding_step = 1.15;
  // A model keeps about this part of its declared share whatever its demand; shares are rounded
  // after that.
  static constexpr double min_share = 0.25;
  // The plan in force is kept while less than this part of the known nodes is heard.
  static constexpr double min_heard_nodes = 2.0 / 3;

 private:
  // A model as configured; other parameters do not affect the shares in force.
  struct declared_model {
    model_id id;
    std::uint32_t size{};
    double share{};
    bool operator==(const declared_model&) const = default;
  };
  // The models that gain and lose most by a change, as positions.
  struct direction {
    std::size_t gains{};
    std::size_t loses{};
    bool operator==(const direction&) const = default;
  };
  // Demand that differs from the shares in force.
  struct deviation {
    direction to;
    time_point since;
    bool settled;              // demand had been settled before
    duration delay;            // a change is made after it
    std::vector<double> work;  // sum of the works observed since, for their mean
  };

  void reset_if_reconfigured(const engine_parameters& engine);
  void forget_observations();
  void smooth(duration elapsed, const std::vector<double>& work);
  [[nodiscard]] std::vector<double> target_shares(const std::vector<double>& work,
                                                  std::size_t engines) const;
  [[nodiscard]] std::vector<double> rounded(const std::vector<double>& shares) const;
  void observe_deviation(time_point now, const std::vector<double>& target,
                         const std::vector<double>& work);

  std::vector<declared_model> models_;
  std::vector<double> shares_;
  // Exponentially decaying sums of observed works and of the weight of an observation. The quotient
  // is unbiased from the first observation on.
  std::vector<double> smoothed_;
  double weight_ = 0;
  std::optional<time_point> observed_since_;
  time_point observed_at_{};
  std::optional<deviation> deviation_;
  std::optional<time_point> differed_at_;  // when demand last differed from the shares in force
  std::optional<direction> last_change_;
  bool last_change_settled_ = false;  // demand had been settled before the last change
  time_point changed_at_{};
};

}  // namespace arbutus
