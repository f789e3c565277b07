// Measures what the fleet's shared state takes: bytes in the table, in the object store and on the
// wire, processor time to read it, and memory, at the size that is planned for.
#pragma once

#include <cstddef>
#include <ostream>

namespace arbutus {

struct fleet_size {
  std::size_t data_centres = 16;
  std::size_t regions = 8;
  std::size_t nodes = 340;
  std::size_t vms = 1300;
  std::size_t accelerators_per_vm = 2;
  std::size_t models = 10;
  std::size_t workspaces = 100;
};

// One line for each kind of state, at this size and at a tenth of its VMs and nodes.
void print_fleet_sizes(std::ostream& out);

}  // namespace arbutus
