// What one variant showed: latencies and ends per workspace and class, a timeline, the faults that
// were played, and the promises that were broken. Rounds of a variant are added up.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "load/checker.h"
#include "load/latency.h"

namespace arbutus {

struct call_timing {
  bool measured = false;   // arrived after the warm-up
  bool useful = false;     // whole, and within the class's limits
  duration late_start{};   // behind the intended arrival, on the caller's side
  duration first_token{};  // from the intended arrival; 0: none
  duration total{};        // likewise
  duration per_token{};    // mean gap after the first token; 0: not known
  duration ended_at{};     // since the start of the run
};

struct load_cell {
  latency_histogram first_token;  // of streamed answers
  latency_histogram total;
  latency_histogram per_token;
  std::array<std::uint64_t, call_end_names.size()> ends{};
  std::uint64_t useful{};

  void add(const call_timing& timing, call_end end);
  load_cell& operator+=(const load_cell& other);
  [[nodiscard]] std::uint64_t calls() const;
  [[nodiscard]] std::uint64_t of(call_end end) const { return ends[static_cast<std::size_t>(end)]; }
};

struct load_second {
  std::uint32_t whole{};
  std::uint32_t refused{};  // not run or unreached
  std::uint32_t failed{};   // unknown, wrong or silent
};

struct fault_mark {
  double at_seconds{};
  std::string text;
};

// Workspace and class, by name.
using cell_name = std::pair<std::string, std::string>;

struct variant_result {
  std::string name;
  std::string apart;  // workspace that the sum of all others is shown without; empty: none
  std::uint32_t rounds{};
  double measured_seconds{};
  std::map<cell_name, load_cell> cells;
  latency_histogram late_start;
  std::map<std::string, std::uint64_t> reasons;  // of calls that were not whole, by error code
  std::vector<load_second> timeline;             // of all rounds, by second of the run
  std::vector<fault_mark> marks;                 // of the last round
  std::array<std::uint64_t, promise_names.size()> broken{};
  std::vector<std::string> samples;
  std::uint64_t not_run_checked{};
  std::uint64_t bookings_checked{};
  // A safeguard was off on purpose: this promise has to be seen broken, and no other.
  std::optional<promise> expects_broken;
  std::vector<std::string> problems;  // the run itself did not work

  void add(const cell_name& cell, const call_timing& timing, call_end end);
  void add(const promise_checker& checker);
  variant_result& operator+=(const variant_result& other);

  [[nodiscard]] load_cell sum() const;
  // Of all workspaces but this one.
  [[nodiscard]] load_cell sum_without(const std::string& workspace) const;
  [[nodiscard]] std::uint64_t violations() const;
  // Whether promises held, or broke where they had to.
  [[nodiscard]] bool passed() const;
};

struct experiment_report {
  std::string name;
  std::string description;
  std::uint64_t seed{};
  std::vector<variant_result> variants;

  [[nodiscard]] bool passed() const;
};

}  // namespace arbutus
