// Measures what a hub's decisions cost as its deployment grows: processor time of a keeper's tick
// and of a plan, by engines. No network; figures of this machine.
#pragma once

#include <cstddef>
#include <ostream>

namespace arbutus {

struct hub_cost_size {
  std::size_t data_centres = 5;
  std::size_t domains = 3;   // of a data centre
  std::size_t engines = 73;  // of a domain
};

struct hub_cost {
  std::size_t engines = 0;   // of all data centres
  double busy_tick_ms = 0;   // an engine's record changed before it
  double quiet_tick_ms = 0;  // nothing did
  double plan_ms = 0;        // of all domains, once one changed
};

// A keeper of one data centre, all engines in replicas that serve.
[[nodiscard]] hub_cost measure_hub_cost(const hub_cost_size& size);

void print_hub_cost(std::ostream& out);

}  // namespace arbutus
