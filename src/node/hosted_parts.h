// The steps of a hosted call that streams and whole answers share. Only for the hosted_*.cpp files.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "connection/clock.h"
#include "connection/http_server.h"
#include "node/hosted_state.h"
#include "platform/dialect.h"
#include "request/request_fingerprint.h"

namespace arbutus {

// One request of a caller.
struct hosted_request {
  const http_request& wire;
  response_writer& writer;
  call_head head;
  std::shared_ptr<const service_map> map;  // the version it began with
  const route* way = nullptr;
  const service_spec* service = nullptr;
  workspace_id workspace;
  std::optional<std::uint32_t> urgency;
  request_fingerprint fingerprint;  // the same for the same request that comes again
  time_point arrived;
  time_point deadline;

  // What became of it, for its log line and the metrics.
  std::uint32_t sends = 0;         // that may have reached a target
  std::uint32_t may_have_run = 0;  // of those, the ones that no target disowned
  std::string targets;             // tried, in order
  time_point first_event{};
  std::uint64_t events = 0;
  bool logged = true;  // whether its lines are written: all or none
};

// Ends it with an answer of this node's. A status that promises "not run" is turned into one that
// promises nothing when a target may have run it.
void answer_own(hosted_state& node, hosted_request& call, int status, duration retry_after,
                std::string_view reason);

// Its one log line and its figures. `result`: "done", "refused", "failed", "caller_gone".
void finish_call(hosted_state& node, hosted_request& call, std::string_view result,
                 std::string_view reason, int status);

// Whether the key may still be used: checked directly before each send.
[[nodiscard]] bool key_usable(const hosted_state& node, const hosted_request& call);

// Whether the request may be sent, or sent once more: what may have run only if it may be repeated,
// to no more targets than its route allows, and within the budget that all nodes share.
[[nodiscard]] bool may_send_again(hosted_state& node, const hosted_request& call, time_point now);

// Whether the target takes a request of this node now, and that a call could have gone there.
[[nodiscard]] bool takes_request(hosted_state& node, time_point now, const target_id& target);
// When to come back to targets that take no more now.
[[nodiscard]] duration retry_after_limit(hosted_state& node);
inline constexpr std::string_view limit_reason = "the targets take no more requests now";

// An answer of the target to a request sent at `sent_at` has come.
void note_limit(hosted_state& node, time_point sent_at, const target_id& target, int status,
                const answer_head& answer);

void serve_stream(hosted_state& node, hosted_request& call);
void serve_whole(hosted_state& node, hosted_request& call);

// Sends that no target ran do not count against the route's limit; more of them than this mean that
// nothing there can serve.
inline constexpr std::uint32_t most_sends = 6;
// Not run, nobody to ask: a replica forms within about this.
inline constexpr duration retry_after_no_target = 400ms;
// The platform does not confirm the configuration to this node. Callers that return reach another
// one: where a peer of the data centre is served they may come at once, and are mostly answered in
// their aim; with all of them away nothing is gained before some time has passed.
inline constexpr duration retry_after_stale_here = 50ms;
inline constexpr duration retry_after_stale_all = 700ms;
[[nodiscard]] duration retry_after_stale(const hosted_state& node, time_point now);

}  // namespace arbutus
