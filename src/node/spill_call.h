// Forwards a model call to a node of another data centre when it is expected to be answered
// earlier there. That node decides on admission with its own current data. A call is never sent
// directly to targets of another data centre, of which this node knows only totals.
#pragma once

#include "node/call_context.h"

namespace arbutus {

// Header of a call that another data centre's node forwarded to this one; such a call is not
// forwarded again.
inline constexpr std::string_view spilled_header = "x-spilled";

// Assumed round-trip times between data centres, as links do not measure them: neighbouring sites
// within a region, half a continent between regions.
inline constexpr duration same_region_round_trip = 3ms;
inline constexpr duration other_region_round_trip = 80ms;

// The node to forward the call to; empty: the call stays here. `local_wait` is empty if no replica
// here serves the model.
[[nodiscard]] std::optional<endpoint> choose_spill_entry(time_point now, const call_context& node,
                                                         const node_view& view,
                                                         const request_facts& facts,
                                                         std::optional<duration> local_wait,
                                                         bool already_spilled);

struct spill_outcome {
  bool answered = false;  // the caller has an answer, complete or marked as truncated
  bool complete = false;
  execution ran = execution::not_run;  // whether the request ran; valid if it was not answered
};

// Forwards the call to `entry`, and its answer to the caller as it arrives.
[[nodiscard]] spill_outcome relay_call(http_client& client, const http_request& request,
                                       response_writer& writer, const endpoint& entry,
                                       time_point deadline, const cancel_token& cancel);

}  // namespace arbutus
