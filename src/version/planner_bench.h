// Benchmark of the planner: a sequence of VM losses and returns in one data centre, with a plan for
// each row, and the processor time of one plan.
#pragma once

#include <cstddef>
#include <cstdint>
#include <ostream>

namespace arbutus {

struct planner_history {
  std::size_t changes{};  // simulated changes of a VM's condition
  std::size_t plans{};
  std::size_t rows{};         // plans that changed the row
  std::uint64_t signature{};  // hash of all rows: differs only if a plan differs
};

// Deterministic: equal seeds give equal histories.
[[nodiscard]] planner_history run_planner_history(std::size_t changes, std::uint64_t seed);

// Prints the processor time of a plan for one data centre and for one of ten times the size.
void print_planner_cost(std::ostream& out);

}  // namespace arbutus
