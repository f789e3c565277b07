// Measures the planner: a history of losses and returns in one data centre, planned row by row, and
// the processor time of one plan.
#pragma once

#include <cstddef>
#include <cstdint>
#include <ostream>

namespace arbutus {

struct planner_history {
  std::size_t changes{};  // of a VM's condition
  std::size_t plans{};
  std::size_t rows{};         // plans that were worth a write
  std::uint64_t signature{};  // of every row: changes only when a plan changes
};

// Equal seeds, equal history.
[[nodiscard]] planner_history run_planner_history(std::size_t changes, std::uint64_t seed);

// Processor time of a plan at the size of one data centre and at ten times that.
void print_planner_cost(std::ostream& out);

}  // namespace arbutus
