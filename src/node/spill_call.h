// Passing a model call on to a node of another data centre, when it is expected to be answered
// earlier there. That node admits it with its own, fresh knowledge; it is never sent straight to
// foreign targets, of which this node knows only sums.
#pragma once

#include "node/call_context.h"

namespace arbutus {

// Says that a call was passed on once; such a call stays where it is.
inline constexpr std::string_view spilled_header = "x-spilled";

// Round trips that are assumed until links measure them: a short hop within a region, half a
// continent between regions.
inline constexpr duration same_region_round_trip = 3ms;
inline constexpr duration other_region_round_trip = 80ms;

// Where to pass the call on to; empty: it stays. `local_wait` is empty if nobody here serves.
[[nodiscard]] std::optional<endpoint> choose_spill_entry(time_point now, const call_context& node,
                                                         const node_view& view,
                                                         const request_facts& facts,
                                                         std::optional<duration> local_wait,
                                                         bool already_spilled);

struct spill_end {
  bool answered = false;  // the caller has an answer, whole or said to be cut
  bool whole = false;
  execution ran = execution::not_run;  // when not answered
};

// Carries the call out through `entry`, and its answer back as it arrives.
[[nodiscard]] spill_end relay_call(call_context& node, const http_request& request,
                                   response_writer& writer, const endpoint& entry,
                                   time_point deadline, const cancel_token& cancel);

}  // namespace arbutus
