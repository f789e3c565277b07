// Measures what the control plane costs a node: bytes, messages, processor time and state, as
// slopes over peers and targets. Nodes run in one process on virtual time.
#pragma once

#include <ostream>

namespace arbutus {

// One line per size and one per slope. Reads the processor time of the calling process.
void print_control_slopes(std::ostream& out);

}  // namespace arbutus
