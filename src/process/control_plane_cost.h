// Measures by simulation what the control plane costs each node in bytes, messages, processor time
// and memory, and how much each further peer or target adds. All nodes run in one process on
// virtual time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <ostream>

namespace arbutus {

// Prints one line per cluster size and one per marginal cost (of a further peer or target).
// Measures the processor time of the calling process.
void print_control_plane_cost(std::ostream& out);

// Hash of the bytes of all heartbeats that the nodes of a data centre of this size exchange. It
// changes only when membership, observations, gossip or their timing behave differently.
[[nodiscard]] std::uint64_t control_signature(std::size_t nodes, std::size_t targets,
                                              std::uint64_t seed);

}  // namespace arbutus
