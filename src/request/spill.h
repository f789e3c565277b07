// The capacity that one node may use, and spill-over of requests to other data centres.
#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "base/id.h"
#include "base/units.h"
#include "process/routes.h"
#include "request/facts.h"
#include "request/in_flight.h"

namespace arbutus {

// Slots of a model's replicas that one of `nodes` nodes may use now: the reported free slots,
// corrected by this node's requests since the report and divided by the number of nodes (rounded
// up).
struct slot_count {
  std::uint32_t free_slots{};
  std::uint32_t slots{};  // all slots of usable replicas, not divided by the number of nodes
};
[[nodiscard]] slot_count usable_slots(time_point now, const routing_snapshot& routes,
                                      const model_id& model, const in_flight& flights,
                                      std::uint32_t nodes);

struct spill_settings {
  duration max_summary_age = 10s;  // older summaries of other data centres are ignored
  // The remote wait is multiplied by this factor in comparisons, since it is less certain than the
  // local wait.
  double remote_wait_factor = 1.5;
  // A request is forwarded only if the local wait exceeds the multiplied remote wait by this time.
  duration min_wait_gain = 100ms;
};

// Round-trip time to another data centre, measured by this node's links.
struct data_centre_distance {
  data_centre_id data_centre;
  duration round_trip{};
};

// The data centre to forward a request to if it is expected to be answered earlier there than by
// waiting here. `local_wait` is empty if no local replica serves the model. A request that was
// forwarded once is not forwarded again; otherwise two full data centres would pass it back and
// forth.
[[nodiscard]] std::optional<remote_capacity> choose_spill(
    time_point now, const routing_snapshot& routes, const request_facts& facts,
    std::optional<duration> local_wait, std::span<const data_centre_distance> distances,
    bool already_spilled, const spill_settings& settings = {});

}  // namespace arbutus
