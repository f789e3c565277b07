// Exchange of free capacity per model between data centres. Nodes of one data centre are paired
// with nodes of the others by position, shifted by one in each round, so that a failed pair costs
// one round and no node sends to all others.
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

// Minimum interval at which a data centre's nodes send summaries. Longer than the interval of the
// heartbeats within a data centre.
inline constexpr duration summary_interval = 2s;
// Minimum time per summary that a node sends. Each summary takes a segment and its acknowledgement,
// and the same at the receiver; with 15 other data centres, one to each per 2 s takes over half of
// the traffic budget.
inline constexpr duration min_summary_spacing = 500ms;
// Summaries older than this are not passed to the request path. At long summary intervals, the
// lifetime is a number of intervals instead, so that two summaries in a row may be lost.
inline constexpr duration summary_lifetime = 10s;
inline constexpr int min_lifetime_intervals = 3;

[[nodiscard]] duration summary_interval_for(const inventory& assets);
[[nodiscard]] duration summary_lifetime_for(const inventory& assets);

class summary_board {
 public:
  summary_board(node_id self, data_centre_id own)
      : self_(std::move(self)), own_data_centre_(std::move(own)) {}

  // Nodes of other data centres to which a summary is due now.
  [[nodiscard]] std::vector<node_id> due_recipients(time_point now, const inventory& assets);
  void receive(time_point now, const summary& s);
  [[nodiscard]] std::vector<remote_capacity> remote_capacities(time_point now,
                                                               const inventory& assets) const;
  [[nodiscard]] time_point next_due() const { return next_due_at_; }

 private:
  struct entry {
    std::vector<model_summary> models;
    time_point at;
  };
  node_id self_;
  data_centre_id own_data_centre_;
  std::map<data_centre_id, entry> entries_;
  time_point next_due_at_{};
  std::uint64_t round_{};
};

}  // namespace arbutus
