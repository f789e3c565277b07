// The demand of a deployment without the lag of its moving average.
//
// demand_table smooths rates over a second, so that a burst that triples them is known in full
// only after two or three. Until then too many requests would be admitted, and the replicas'
// queues would last for seconds. A moving average with time constant c follows a rate r as
// c * dr/dt = input - r, so its input is r + c * dr/dt.
#pragma once

#include <deque>

#include "base/units.h"
#include "capacity/model_demand.h"

namespace arbutus {

class demand_trend {
 public:
  // Whether the demand is to be passed on again; adding it up takes a hub some time.
  [[nodiscard]] bool is_due(time_point now) const {
    return samples_.empty() || now - samples_.back().at >= sample_interval;
  }
  void update(time_point now, const model_demand& smoothed);

  // As of the last update.
  [[nodiscard]] const model_demand& current() const { return current_; }

  static constexpr duration sample_interval = 50ms;
  // The slope is taken over this time: one and a half intervals of heartbeats.
  static constexpr duration slope_interval = 300ms;
  // Bound of the corrected rate, as a factor of the smoothed one and its inverse. The slope of a
  // class with few requests is mostly chance.
  static constexpr double max_correction = 2;

 private:
  struct sample {
    time_point at;
    model_demand smoothed;
  };
  std::deque<sample> samples_;  // of the last slope_interval, and one that is older
  model_demand current_;
};

}  // namespace arbutus
