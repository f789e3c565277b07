// Measures the processor time of a hub's decisions (a tick of the replica controller, and a layout
// plan) as the number of engines grows. No network; the figures depend on the machine.
#pragma once

#include <cstddef>
#include <ostream>

namespace arbutus {

struct hub_cost_size {
  std::size_t data_centres = 5;
  std::size_t domains = 3;           // per data centre
  std::size_t engines = 73;          // per domain
  std::uint32_t large_replica = 32;  // engines of a replica, by model
  std::uint32_t small_replica = 8;
};

struct hub_cost {
  std::size_t engines = 0;   // in all data centres
  double busy_tick_ms = 0;   // a tick after the record of one engine changed
  double quiet_tick_ms = 0;  // a tick after no record changed
  double plan_ms = 0;        // a layout plan of all domains, after one changed
};

// Measures a replica controller of one data centre, whose engines are in open replicas or spares.
[[nodiscard]] hub_cost measure_hub_cost(const hub_cost_size& size);

void print_hub_cost(std::ostream& out);

}  // namespace arbutus
