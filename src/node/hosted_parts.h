// The steps of a hosted call that streams and buffered calls share. Only for the hosted_*.cpp
// files.
#pragma once

#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "connection/clock.h"
#include "connection/http_server.h"
#include "node/hosted_state.h"
#include "platform/http_fields.h"
#include "request/allowed_regions.h"
#include "request/relay_header.h"
#include "request/request_fingerprint.h"
#include "request/target_answer.h"

namespace arbutus {

// One request of a caller and what has become of it so far.
struct hosted_request {
  const http_request& raw_request;
  response_writer& writer;
  request_fields fields = {};
  std::shared_ptr<const service_map> map = {};  // configuration in force when the call arrived
  const route* matched_route = nullptr;
  const service_spec* service = nullptr;
  workspace_id workspace = {};
  std::optional<std::uint32_t> urgency = {};     // 0 is the most urgent
  request_fingerprint fingerprint = {};          // equal for repetitions of the same request
  std::vector<request_fingerprint> blocks = {};  // of its prompt that other requests may share
  allowed_regions regions = {};                  // in which it may be served
  time_point arrived = {};
  time_point deadline = {};
  std::optional<relayed_call> relayed = {};  // set if a peer has handed the call over to this node
  std::vector<node_id> tried_peers = {};     // that this node has handed the call over to

  // Outcome, for the log line and the metrics.
  std::uint32_t possible_sends = 0;  // sends that may have reached a target
  std::uint32_t possible_runs = 0;   // of those, sends that no target reported as not run
  std::uint32_t other_runs = 0;      // in progress besides the one that is sent or answers now
  bool is_admitted = false;          // see stream_admission.h; decided once
  call_retries retries = {};
  std::string tried_targets = {};  // targets tried, in order
  target_id cut_off_by = {};       // the last target that broke a run off, perhaps by its end
  std::set<target_id> restrained_targets =
      {};                       // targets not chosen since they back off or are leaving
  time_point first_event_at{};  // when the first event of the response was received; zero: none
  time_point last_event_at{};   // when the last one was received; zero: none
  std::uint64_t forwarded_events = 0;  // events forwarded to the caller
  bool writes_log_lines = true;        // whether log lines of this call are written: all or none
};

// The model of a call whose service is known.
[[nodiscard]] inline model_key model_of(const hosted_request& call) {
  return {call.service->id, call.fields.model};
}

// What decides which answer the call's caller may get.
[[nodiscard]] call_progress progress_of(const hosted_request& call);

// A call that has just arrived.
[[nodiscard]] hosted_request begin_call(hosted_state& node, const http_request& request,
                                        response_writer& writer);
void serve_begun_call(hosted_state& node, hosted_request& call);

// The headers of a target's answer for whoever sent this node the call: its caller, or the peer
// that has handed it over.
[[nodiscard]] http_headers answer_headers(const hosted_request& call, const http_headers& from,
                                          const target_id& target);

// Ends the call with a response of this node. A status that promises "not run" is replaced by one
// without that promise if a target may have run the request.
void respond_locally(hosted_state& node, hosted_request& call, int status, duration retry_after,
                     std::string_view reason);

// Ends the call with an answer of this node in place of the failure of a target that may have run
// the request: its status would be a false promise (request/target_answer.h).
void replace_failure(hosted_state& node, hosted_request& call, int status);
inline constexpr std::string_view no_proof_reason =
    "the target refused it without saying that it did not run it";

// Ends the call with 503 because this node cannot serve it now, whatever others can: a peer that
// has handed it over is told why, and tries another node.
void respond_unfit(hosted_state& node, hosted_request& call, decline_reason why,
                   duration retry_after, std::string_view reason);
inline constexpr std::string_view unreachable_reason = "this node reaches no target for it";

// Writes the call's final log line and its metrics. `result`: "done", "refused", "failed", "cut" or
// "caller_gone".
void finish_call(hosted_state& node, hosted_request& call, std::string_view result,
                 std::string_view reason, int status);

// Whether the caller's key may still be used.
[[nodiscard]] bool is_key_usable(const hosted_state& node, const hosted_request& call);

// A target that a request may be sent to: the head of a replica or an instance. Refers to the
// replica or instance.
struct candidate_target {
  explicit candidate_target(const serving_replica& replica)
      : id(replica.head),
        address(replica.address),
        data_centre(replica.data_centre),
        other_data_centres(replica.other_data_centres) {}
  explicit candidate_target(const service_instance& instance)
      : id(instance.id), address(instance.address), data_centre(instance.data_centre) {}

  const target_id& id;
  const endpoint& address;
  const data_centre_id& data_centre;
  std::span<const data_centre_id> other_data_centres = {};  // of the replica's other members
};

enum class send_permission : std::uint8_t {
  granted,
  key_withdrawn,
  target_restrained,
  target_warming,  // and this node has no grant for it
  target_evacuated,
  region_not_allowed,
};

// Whether the request may be sent to the target now; checked immediately before each send, since
// the call may have waited for its connection. Uses a grant if the target is warming.
[[nodiscard]] send_permission permission_to_send(hosted_state& node, const hosted_request& call,
                                                 const candidate_target& target);
// Why a send was not permitted, for logs and refusals.
[[nodiscard]] std::string_view reason_of(send_permission permission);
inline constexpr std::string_view evacuated_reason = "the data centre of the targets is evacuated";
inline constexpr std::string_view region_reason =
    "no target is in a region that the request allows";

// Whether the request may be sent, or sent again. A request that may have run is sent again only if
// its route allows repetition, to no more targets than the route allows, and within the retry
// budget shared by all nodes.
[[nodiscard]] bool may_send_again(hosted_state& node, hosted_request& call, time_point now);

// The same while a run is in progress that has been silent for `silence`.
[[nodiscard]] bool may_run_beside(hosted_state& node, hosted_request& call, time_point now,
                                  duration silence);

// Why a call is refused, and when its caller should retry.
struct refusal {
  duration retry_after{};
  std::string_view reason;
};

// Candidates of one choice that may not be chosen, and why.
struct excluded_targets {
  std::vector<target_id> ids;
  bool by_send_limit = false;
  bool by_warmup = false;
  bool by_leaving = false;
  bool by_evacuation = false;  // their data centres are evacuated
  bool by_region = false;      // the request may not be served in their regions
  bool by_reach = false;       // this node cannot open connections to them
  std::optional<target_backoffs::backoff> first_backoff;  // the one that ends first
};

// Adds the target to `excluded` if its region is not allowed, its data centre is evacuated, it
// backs off, is leaving, or has no send left by its limit or while it warms up. Also counts the
// call as demand for a limited or warming target.
void exclude_if_unavailable(hosted_state& node, hosted_request& call, time_point now,
                            const candidate_target& target, excluded_targets& excluded);

// Why a call without a target is refused: what ends first of the reasons for which its candidates
// are excluded and, if there is one, `otherwise`. Empty if no candidate is excluded.
[[nodiscard]] std::optional<refusal> refusal_of_excluded(hosted_state& node, time_point now,
                                                         const excluded_targets& excluded,
                                                         const std::optional<refusal>& otherwise);

// Updates what this node knows of the target's send limit and restraints from its response to a
// request sent at `sent_at`.
void learn_from_response(hosted_state& node, const hosted_request& call, time_point sent_at,
                         const target_instance& target, const response_fields& answer);

void serve_stream(hosted_state& node, hosted_request& call);
void serve_buffered(hosted_state& node, hosted_request& call);

// Sends that no target ran do not count against the route's limit of attempts. After this many the
// service is considered unable to serve the request.
inline constexpr std::uint32_t max_sends_per_call = 6;
// Sent as Retry-After if there is no target for a request: a replica forms within about this time.
inline constexpr duration retry_after_no_target = 400ms;
// Sent as Retry-After if this node refuses a request because the platform does not confirm its
// configuration. A caller that retries reaches another node. If the store serves a peer of the data
// centre, the caller may retry soon and usually still meets its deadline; if it serves none, an
// early retry is useless.
inline constexpr duration retry_after_stale_node = 50ms;
inline constexpr duration retry_after_stale_data_centre = 700ms;
[[nodiscard]] duration retry_after_stale(const hosted_state& node, time_point now);

}  // namespace arbutus
