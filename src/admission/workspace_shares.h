// Divides the admitted part of a node's requests among its workspaces by max-min fairness.
//
// A workspace that asks for no more than an equal share is admitted in full; what it leaves is
// divided among the others. Rates are decaying counts of this node's own calls, so a share that is
// not used is lent at once and returned within the time constant.
//
// Reads no clock; callers pass the time.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "capacity/model_demand.h"

namespace arbutus {

// The greatest rate that each workspace may have for their sum to be `fraction` of that of `rates`.
// Infinite if all are admitted.
[[nodiscard]] double max_min_level(std::span<const double> rates, double fraction);

class workspace_shares {
 public:
  // A call has arrived. The calls of a key are those that share what is admitted.
  void count_call(time_point now, const demand_key& key, const workspace_id& workspace);

  // The fraction of the workspace's calls to admit, if `fraction` of all with this key is admitted.
  [[nodiscard]] double fraction(time_point now, const demand_key& key,
                                const workspace_id& workspace, double fraction) const;

  // Forgets workspaces that have not called for many time constants.
  void forget_idle(time_point now);

  static constexpr duration time_constant = 4s;

 private:
  struct counted_calls {
    double decayed = 0;  // as of `at`
    time_point at{};
    [[nodiscard]] double rate(time_point now) const;
  };
  std::map<demand_key, std::map<workspace_id, counted_calls>> calls_;
};

}  // namespace arbutus
