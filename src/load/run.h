// Runs the variants of an experiment, one after the other, round by round.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "load/experiment.h"
#include "load/results.h"

namespace arbutus {

// Progress of a running variant.
struct load_progress {
  std::string variant;
  std::uint32_t round{};
  double elapsed_seconds{};
  double planned_seconds{};
  std::uint64_t begun_calls{};
  std::uint64_t ended_calls{};
  std::uint64_t incomplete_calls{};
  std::uint64_t violations{};
};

struct load_run_options {
  std::vector<std::string> variant_names;  // names of the variants to run; empty: all
  // Called repeatedly during the run; may be empty.
  std::function<void(const load_progress&)> on_progress;
};

[[nodiscard]] experiment_report run_experiment(const experiment& experiment_spec,
                                               const load_run_options& options);

}  // namespace arbutus
