// Measures the fleet's shared state at the planned fleet size: bytes in the table, in the object
// store and on the wire, processor time to decode it, and memory.
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

// Prints the size of each kind of shared state, one per line; the configuration's size also for a
// fleet with a tenth of the VMs and nodes.
void print_fleet_sizes(std::ostream& out);

}  // namespace arbutus
