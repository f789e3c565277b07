// Hands a call over to a peer, because this node cannot reach a target for it.
//
// The peer treats the call as one of its own: it checks route and key itself, chooses the target
// and repeats the call within its own limits. It never hands the call over again. What it has done
// stands in a header of its answer (request/relay_header.h); an answer without that header, or none
// at all, means that the call may have run.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "connection/http_client.h"
#include "node/hosted_parts.h"

namespace arbutus {

enum class relay_outcome : std::uint8_t {
  answered,   // a target's complete answer
  refused,    // the peer's own answer, which is final
  not_taken,  // the call was sent to no target
  broken,     // no complete answer; the call may have run
};

struct relay_answer {
  relay_outcome outcome = relay_outcome::broken;
  int status = 0;
  http_headers headers;
  std::string body;  // unless it was streamed
  held_bytes held;   // the body
  std::string_view reason;
};

// Receives a stream of events as it arrives. The functions return false to abandon it. Empty: the
// answer is buffered. `on_events` notes that the peer was heard, since bytes without an event are
// no sign of life.
struct relay_sink {
  http_client::headers_handler on_headers;
  http_client::chunk_handler on_events;
};

// The peer to hand the call over to; empty: none is left, or a peer has handed it over to this
// node.
[[nodiscard]] std::optional<node_record> choose_relay_peer(hosted_state& node,
                                                           const hosted_request& call);

// Whether this node is cut off from the call's service, or is testing whether it is.
[[nodiscard]] bool may_be_cut_off(hosted_state& node, const hosted_request& call);

// Hands the call over and waits for the answer. Updates the call's counts of sends and runs.
// `resume_after`: id of the last event that the caller received; empty: as the caller sent it.
[[nodiscard]] relay_answer hand_over(hosted_state& node, hosted_request& call,
                                     const node_record& peer,
                                     const std::optional<std::string>& resume_after,
                                     const cancel_token& cancel, const relay_sink& sink);

// Sends the caller a buffered answer that was refused or answered, and finishes the call. An answer
// that would be a false promise is replaced by one of this node.
void pass_on(hosted_state& node, hosted_request& call, const relay_answer& answer);
inline constexpr std::string_view refused_by_peer_reason = "refused by the node that took it over";

// The name under which attempts at a peer are registered, beside those at targets.
[[nodiscard]] target_id relay_attempt_id(const node_id& peer);

// Serves a call that a peer has handed over to this node; also its other questions.
void serve_relayed_call(hosted_state& node, const http_request& request, response_writer& writer);

}  // namespace arbutus
