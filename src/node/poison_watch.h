// Handling of poison requests on a hosted node: records strikes from runs that break off on this
// node, evaluates them together with those of other nodes, and stores quarantines in the platform's
// store.
#pragma once

#include <string>
#include <vector>

#include "node/hosted_parts.h"

namespace arbutus {

// Whether a run that breaks off `now` may have crashed its target; a run that lasted longer than
// the strike window did not. `first_event_at`: zero if there was no event.
[[nodiscard]] bool is_within_strike_window(time_point now, time_point first_event_at);
// Whether the time between a run's first and last events shows that it is harmless. The time after
// the last event does not count, since the target may have ended in it without closing connections.
[[nodiscard]] bool has_proved_harmless(time_point first_event_at, time_point last_event_at);

// Finds out with a query whether the target has ended; if so, records a strike against the run's
// request.
void check_for_strike(hosted_state& node, broken_run run);
// Clears a request of the suspicion that it crashes targets, after a run of it succeeded or lasted
// long enough.
void mark_request_harmless(hosted_state& node, const hosted_request& call);

// Clears the blocks of its prompt if a run has written for long enough. A run that was answered
// without an event shows nothing: its target had not begun to write.
void mark_blocks_harmless(hosted_state& node, const hosted_request& call, time_point first_event_at,
                          time_point last_event_at, bool complete);

// Waits while strikes of other nodes against the request may still arrive. Returns false if the
// request is quarantined and has to be refused.
[[nodiscard]] bool await_poison_clearance(hosted_state& node, const hosted_request& call);
inline constexpr std::string_view poison_refusal_reason = "it ended the targets that ran it";
// Time until the quarantine of the request expires.
[[nodiscard]] duration retry_after_poison(const hosted_state& node, const hosted_request& call);

// Evaluates the known strikes; called on each tick.
void evaluate_poison(hosted_state& node, time_point now);
// Merges a row from a peer or from the store; `reported_by` says which of them, for the log.
void merge_poison_row(hosted_state& node, time_point now, const poison_row& row,
                      std::string_view reported_by);
// Loads quarantines from the store and writes changes to it; runs in its own fiber until the
// runtime stops.
void sync_quarantines(hosted_state& node);

// Text for operators, with one line for each request that is a suspect or quarantined.
[[nodiscard]] std::string poison_text(const hosted_state& node, time_point now);
// Releases all requests with this hash, on behalf of an operator. False if there is none.
bool release_quarantine(hosted_state& node, time_point now, std::uint64_t hash);

}  // namespace arbutus
