// Measures what the control plane costs a node: bytes, messages, processor time and state, as
// slopes over peers and targets. Nodes run in one process on virtual time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <ostream>

namespace arbutus {

// One line per size and one per slope. Reads the processor time of the calling process.
void print_control_slopes(std::ostream& out);

// Hash of the bytes of every heartbeat that a data centre of this size exchanges: changes only when
// membership, observations, gossip or their timing behave differently.
[[nodiscard]] std::uint64_t control_signature(std::size_t nodes, std::size_t targets,
                                              std::uint64_t seed);

}  // namespace arbutus
