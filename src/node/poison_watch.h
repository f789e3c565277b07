// What a hosted node does about requests that end their targets: gathers evidence from the runs
// that break off here, judges it with that of the others, and keeps verdicts in the platform's
// store.
#pragma once

#include <string>

#include "node/hosted_parts.h"

namespace arbutus {

// Whether a run that breaks off `now` may be what ended its target: what went on for a while is
// not. `first_event_at`: zero if none came.
[[nodiscard]] bool had_hardly_begun(time_point now, time_point first_event_at);
// Whether a run has shown between its events that it does no harm. What came after its last event
// may have been the silence of a target that had ended.
[[nodiscard]] bool has_gone_on(time_point first_event_at, time_point last_event_at);

// Asks the target whether it has ended; if so, the run is evidence.
void look_into(hosted_state& node, broken_run run);
// A run of the call ended well, or went on for long.
void note_harmless(hosted_state& node, const hosted_request& call);

// Waits while the evidence against the request may be incomplete. False: it is refused, as it ends
// its targets.
[[nodiscard]] bool may_run(hosted_state& node, const hosted_request& call);
inline constexpr std::string_view poison_reason = "it ended the targets that ran it";
// Until the verdict on a request that may not run lapses.
[[nodiscard]] duration retry_after_poison(const hosted_state& node, const hosted_request& call);

// Judges what is known; each tick.
void judge_poison(hosted_state& node, time_point now);
// What a peer told.
void take_crash_row(hosted_state& node, time_point now, const poison_row& row,
                    std::string_view told_by);
// Keeps verdicts in the store, in a fiber of its own until the runtime stops.
void keep_verdicts(hosted_state& node);

// For people: one line for each request that is suspected or quarantined.
[[nodiscard]] std::string poison_text(const hosted_state& node, time_point now);
// An operator lifts the verdict on all requests of this hash. False: there is none.
bool lift_verdict(hosted_state& node, time_point now, std::uint64_t hash);

}  // namespace arbutus
