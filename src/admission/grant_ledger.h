// The grants that a node holds for one target, and its recent demand for that target.
#pragma once

#include <cstdint>
#include <vector>

#include "base/units.h"

namespace arbutus {

class grant_ledger {
 public:
  // Counts a call that could be sent to the target.
  void note_demand(time_point now);
  // Recent calls per second that could have been sent to the target.
  [[nodiscard]] double demand(time_point now) const;

  void add(time_point expires_at, std::uint64_t count);
  [[nodiscard]] bool has_grant(time_point now) const;
  // Uses the grant that expires first; false if there is none.
  bool use(time_point now);
  // Removes expired grants and returns their number.
  std::uint64_t remove_expired(time_point now);

 private:
  double demand_ = 0;                   // calls, decaying exponentially
  time_point demand_at_{};              // time up to which `demand_` has decayed
  std::vector<time_point> expiries_{};  // of the unused grants, in ascending order
};

}  // namespace arbutus
