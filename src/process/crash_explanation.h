// Which requests explain that targets ended: weighs the hypothesis that some suspects end each
// target that runs them against the one that all targets ended for other reasons.
//
// Suspects are weighed together. Several poison requests end targets in turns, so each alone seems
// to be cut off by chance as often as the others; together they leave no end unexplained. In a
// burst of unrelated ends some harmless request is cut off several times in a row, but explains few
// of them.
#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "base/id.h"
#include "base/units.h"

namespace arbutus {

// An end of a target that some request's run was cut off by.
struct observed_end {
  target_id target;
  time_point ended_at;
  double live_targets = 1;  // targets that were in use then
};

struct explanation_settings {
  // Logarithms of likelihood ratios. A suspect has to explain this much beyond what the other
  // accepted suspects explain,
  double min_gain_of_suspect = 12;
  // and all of them together this much for each of them, and once for all: a set of suspects is
  // chosen among thousands of requests.
  double cost_of_suspect = 9;
  double min_gain_of_all = 7;
  // Unrelated ends are counted from this long before the first explained one.
  duration lookback = 3s;
  // Only the time around ends counts for their rate, so that quiet times do not make a burst of
  // unrelated ends look rare.
  duration time_before_end = 1s;
  duration time_after_end = 500ms;
};

struct accepted_cause {
  std::size_t suspect = 0;  // index in `ends_of_suspects`
  double gain = 0;          // logarithm of the likelihood ratio with and without this cause
};

// Returns the suspects that are accepted as causes: those that explain enough, or a single one that
// explains all ends since `lookback` before its first. The caller passes only suspects with enough
// ends for that. `ends` are in the order of their
// times; `ends_of_suspects` has the indices in `ends` that each suspect may have caused.
// `run_exposure`: time during which the end of a target cuts a run off in a way that counts.
[[nodiscard]] std::vector<accepted_cause> find_causes(
    std::span<const observed_end> ends,
    const std::vector<std::vector<std::size_t>>& ends_of_suspects, duration run_exposure,
    const explanation_settings& settings = {});

}  // namespace arbutus
