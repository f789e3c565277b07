// Measures the request decisions against their baselines in virtual time: the same seed gives the
// same figures on every machine.
#pragma once

#include <cstdint>
#include <ostream>

namespace arbutus {

// Prints the figures and returns a signature of the decisions made: it changes only when a
// decision changes.
std::uint64_t print_policy_bench(std::ostream& out, std::uint64_t seed);

}  // namespace arbutus
