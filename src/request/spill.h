// Capacity as one node may use it, and when to pass a request on to another data centre.
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

// Slots of a model's replicas that one of `nodes` nodes may use now: the free ones as reported,
// corrected by what this node sent since and divided among the nodes (rounded up).
struct slot_count {
  std::uint32_t free_slots{};
  std::uint32_t slots{};  // all slots of usable replicas, not divided
};
[[nodiscard]] slot_count usable_slots(time_point now, const routing_snapshot& routes,
                                      const model_id& model, const in_flight& flights,
                                      std::uint32_t nodes);

struct spill_settings {
  duration max_summary_age = 10s;  // older summaries of other data centres are not trusted
  double margin = 1.5;             // local wait over remote wait: the remote one is less certain
  duration min_gain = 100ms;
};

// Round trip to another data centre, as this node's links measure it.
struct data_centre_distance {
  data_centre_id data_centre;
  duration round_trip{};
};

// The data centre to pass a request to when it is expected to be answered earlier there than by
// waiting here. `local_wait` is empty if nobody here serves the model. A request that was passed
// on once stays where it is: two full data centres must not play ball with it.
[[nodiscard]] std::optional<remote_capacity> choose_spill(
    time_point now, const routing_snapshot& routes, const request_facts& facts,
    std::optional<duration> local_wait, std::span<const data_centre_distance> distances,
    bool already_spilled, const spill_settings& settings = {});

}  // namespace arbutus
