// What data centres tell each other: per model, how much room there is. Nodes of one data centre
// are paired with nodes of the others by position, one further in each round, so that a dead pair
// costs one round and no node sends to all.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "process/gossip.h"
#include "process/routes.h"
#include "version/inventory.h"

namespace arbutus {

// Slower than heartbeats inside a data centre...
inline constexpr duration summary_interval = 2s;
// ...and a node sends no more than one sum in so long: each costs a segment, its acknowledgement
// and the same at the receiver, and with 15 other data centres one each in 2 s was over half of the
// traffic budget.
inline constexpr duration summary_spacing = 500ms;
// Older sums are not passed to the request path; at long intervals two in a row may be lost.
inline constexpr duration summary_lifetime = 10s;
inline constexpr int summary_lifetime_intervals = 3;

[[nodiscard]] duration summary_interval_for(const inventory& assets);
[[nodiscard]] duration summary_lifetime_for(const inventory& assets);

class summary_board {
 public:
  summary_board(node_id self, data_centre_id own) : self_(std::move(self)), own_(std::move(own)) {}

  // Nodes of other data centres to which a sum is due now.
  [[nodiscard]] std::vector<node_id> due(time_point now, const inventory& assets);
  void heard(time_point now, const summary& s);
  [[nodiscard]] std::vector<remote_capacity> elsewhere(time_point now,
                                                       const inventory& assets) const;
  [[nodiscard]] time_point next_due() const { return next_; }

 private:
  struct entry {
    std::vector<model_summary> models;
    time_point at;
  };
  node_id self_;
  data_centre_id own_;
  std::map<data_centre_id, entry> entries_;
  time_point next_{};
  std::uint64_t round_{};
};

}  // namespace arbutus
