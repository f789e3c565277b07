// The start and the end of a hosted call, shared by streams and buffered calls.
#include "node/hosted_call.h"

#include <algorithm>

#include "node/hosted_parts.h"
#include "node/log.h"

namespace arbutus {

namespace {

// Upper bound of a call's time, whatever the route or the caller asks for.
constexpr duration max_call_timeout = 120s;

std::string join(const std::set<target_id>& ids) {
  std::string text;
  for (const target_id& id : ids) {
    text += (text.empty() ? "" : ",") + id.str();
  }
  return text;
}

class call_preparation {
 public:
  call_preparation(hosted_state& node, hosted_request& call) : node_(node), call_(call) {}

  // Finds the route and the service, checks the caller's key and sets the deadline. False if the
  // call was refused and so has been answered.
  bool run() {
    if (call_.fields.id.empty()) {
      return end(400, {}, "the request has no id");
    }
    if (!node_.map) {
      return end_unfit("no configuration is known yet");
    }
    if (!node_.evacuated_data_centres.is_known()) {
      return end_unfit("the evacuated data centres are not known yet");
    }
    if (node_.is_outdated(call_.arrived)) {
      return end_unfit("a newer configuration is accepted, and not here yet");
    }
    call_.map = node_.map;
    call_.matched_route = call_.map->find_route(call_.fields.host, call_.fields.path);
    const bool current = node_.configuration_lease.valid(call_.arrived);
    if (call_.matched_route == nullptr) {
      // Only a configuration version that was recently confirmed as the newest proves that there is
      // no such route; another node may have a newer version.
      return current ? end(404, {}, "no route has this host and path")
                     : end_unfit("the configuration may be out of date");
    }
    call_.regions = allowed_regions(call_.matched_route->allowed_regions, {});
    if (call_.map->has_workspaces() && call_.matched_route->needs_workspace &&
        !find_workspace(current)) {
      return false;
    }
    if (!may_be_taken_over()) {
      return end_unfit(region_reason);
    }
    set_deadline();
    if (node_.stop.may_outlast_node(call_.deadline)) {
      respond_unfit(node_, call_, decline_reason::unfit, retry_after_stopping, stopping_reason);
      return false;
    }
    call_.fingerprint = fingerprint_of(
        call_.workspace, {call_.raw_request.method, call_.matched_route->host,
                          call_.raw_request.target, call_.fields.model, call_.raw_request.body});
    for (const std::uint64_t hash : call_.fields.shared_blocks) {
      call_.blocks.push_back(fingerprint_of_block(hash));
    }
    return find_service();
  }

 private:
  bool end(int status, duration retry_after, std::string_view reason) {
    respond_locally(node_, call_, status, retry_after, reason);
    return false;
  }

  bool end_unfit(std::string_view reason) {
    respond_unfit(node_, call_, decline_reason::unfit, retry_after_stale(node_, call_.arrived),
                  reason);
    return false;
  }

  // The node that has handed the call over may have an older configuration.
  [[nodiscard]] bool may_be_taken_over() const {
    return !call_.relayed ||
           call_.regions.allows_transfer(node_.settings.regions,
                                         node_.peers.data_centre_of(call_.relayed->from),
                                         node_.settings.data_centre);
  }

  bool find_workspace(bool current) {
    if (!current) {
      return end_unfit("keys cannot be checked: the configuration is stale");
    }
    const workspace_spec* workspace =
        call_.fields.api_key.empty() ? nullptr : call_.map->find_workspace(call_.fields.api_key);
    if (workspace == nullptr) {
      return end(401, {}, "the key is not known");
    }
    call_.workspace = workspace->id;
    call_.regions =
        allowed_regions(call_.matched_route->allowed_regions, workspace->allowed_regions);
    call_.urgency = workspace->priority;
    return true;
  }

  void set_deadline() {
    duration wait = std::min(call_.matched_route->timeout, max_call_timeout);
    if (call_.fields.time_left) {
      wait = std::min(wait, *call_.fields.time_left);
    }
    call_.deadline = call_.arrived + wait;
    if (!call_.urgency) {
      call_.urgency = call_.matched_route->priority;
    }
  }

  bool find_service() {
    const service_id* id = pick_service(*call_.matched_route, call_.fields.id.str());
    call_.service = id == nullptr ? nullptr : call_.map->find_service(*id);
    if (call_.service == nullptr) {
      return end(503, retry_after_no_target, "the route's service is not configured");
    }
    // The node that a call was handed over by has counted it, and pays for its first send here.
    if (!call_.relayed) {
      node_.retries_of(call_.arrived, call_.service->id).count_first_send(call_.arrived);
      count_demand();
    }
    return true;
  }

  void count_demand() {
    const bool counts = call_.service->engine && call_.matched_route->kind == route_kind::stream &&
                        call_.map->has_prioritised_streams(call_.service->id) &&
                        call_.service->engine->find_model(call_.fields.model) != nullptr;
    if (counts) {
      const demand_key key{model_of(call_), call_.urgency.value_or(0)};
      node_.demand.count_call(call_.arrived, key, call_.fields.size,
                              call_.matched_route->latency_objective);
      node_.shares.count_call(call_.arrived, key, call_.workspace);
    }
  }

  hosted_state& node_;
  hosted_request& call_;
};

}  // namespace

duration retry_after_stale(const hosted_state& node, time_point now) {
  return node.peers.has_served_peer_here(now) ? retry_after_stale_node
                                              : retry_after_stale_data_centre;
}

bool is_key_usable(const hosted_state& node, const hosted_request& call) {
  if (call.workspace.empty()) {
    return true;
  }
  // The key is checked against the newest configuration version: it may have been revoked while the
  // call waited.
  const time_point now = monotonic_now();
  return node.configuration_lease.valid(now) &&
         node.map->find_workspace(call.fields.api_key) != nullptr;
}

namespace {

// `reserve`: see retry_window::take.
bool pay_next_send(hosted_state& node, hosted_request& call, time_point now, double reserve) {
  retry_window& window = node.retries_of(now, call.service->id);
  if (call.retries.pay_next_send(now, call.possible_sends, window, reserve)) {
    return true;
  }
  node.metrics.count("arbutusworks_retries_without_budget",
                     "service=\"" + call.service->id.str() + "\"");
  if (call.writes_log_lines) {
    const retry_usage used = window.usage(now);
    log_line(log_level::info, "request", "no retry budget",
             {{"request", call.fields.id},
              {"service", call.service->id},
              {"window_ms", to_milliseconds(node.settings.bounds.retry_window)},
              {"requests", used.requests},
              {"retries", used.retries},
              {"limit", used.limit},
              {"reserve", reserve},
              {"burst_share", used.has_burst_share},
              {"nodes", std::uint64_t{used.nodes}}});
  }
  return false;
}

// Whether the route allows one more send of a call with so many runs.
bool allows_send_after(const hosted_request& call, std::uint32_t runs) {
  return (runs == 0 || call.matched_route->repeatable()) &&
         runs < call.matched_route->max_attempts && call.possible_sends < max_sends_per_call;
}

}  // namespace

bool may_send_again(hosted_state& node, hosted_request& call, time_point now) {
  if (call.possible_sends == 0 && call.possible_runs == 0) {
    return true;
  }
  // The peer that has handed the call over has paid for its first send.
  return allows_send_after(call, call.possible_runs) && pay_next_send(node, call, now, 0);
}

bool may_run_beside(hosted_state& node, hosted_request& call, time_point now, duration silence) {
  // Fraction of the retries that silent runs leave to those that have broken.
  constexpr double reserve_for_broken_runs = 0.5;
  const double reserve = silence < silence_tolerance ? reserve_for_broken_runs : 0;
  return allows_send_after(call, call.possible_runs + 1) && pay_next_send(node, call, now, reserve);
}

namespace {

std::uint64_t version_of(const hosted_request& call) {
  return call.map ? call.map->version() : 0;
}

// `declined`: why a peer that has handed the call over has to try another node; empty: the answer
// is final.
void respond(hosted_state& node, hosted_request& call, int status, duration retry_after,
             std::string_view reason, std::optional<decline_reason> declined) {
  local_response answer;
  answer.status = status;
  answer.reason = std::string(reason);
  const call_progress progress = progress_of(call);
  if (is_false_promise(answer_source::node, status, progress)) {
    answer.status = status_without_promise(progress.repeatable);
  } else if (promises_not_run(status)) {
    answer.retry_after = retry_after;
  }
  http_headers headers = local_response_headers(answer, call.fields.id);
  if (call.relayed) {
    const relay_result result = declined ? relay_result::not_taken : relay_result::refused;
    headers.add(std::string(relay_header),
                to_text(relay_report{result, call.possible_runs, version_of(call), {}}));
  }
  if (call.relayed && declined) {
    const std::vector<node_id> takers = call.service == nullptr
                                            ? std::vector<node_id>{}
                                            : node.relays.takers(monotonic_now(), call.service->id);
    headers.add(std::string(relay_decline_header), to_text(relay_decline{*declined, takers}));
  }
  const bool sent = call.writer.send(answer.status, headers, local_response_body(answer));
  // The call goes on elsewhere, so it has not ended.
  if (call.relayed && declined) {
    log_line(log_level::info, "request", "not taken",
             {{"request", call.fields.id}, {"from", call.relayed->from}, {"reason", reason}});
    return;
  }
  finish_call(node, call, sent ? (call.possible_runs > 0 ? "failed" : "refused") : "caller_gone",
              reason, answer.status);
}

}  // namespace

void respond_locally(hosted_state& node, hosted_request& call, int status, duration retry_after,
                     std::string_view reason) {
  respond(node, call, status, retry_after, reason, std::nullopt);
}

void replace_failure(hosted_state& node, hosted_request& call, int status) {
  node.metrics.count("arbutusworks_failures_replaced", "status=\"" + std::to_string(status) + "\"");
  call.possible_runs = std::max(call.possible_runs, 1U);
  respond_locally(node, call, status, {}, no_proof_reason);
}

void respond_unfit(hosted_state& node, hosted_request& call, decline_reason why,
                   duration retry_after, std::string_view reason) {
  const bool was_sent = call.possible_sends > 0;
  respond(node, call, 503, retry_after, reason, was_sent ? std::nullopt : std::optional(why));
}

http_headers answer_headers(const hosted_request& call, const http_headers& from,
                            const target_id& target) {
  http_headers headers = caller_headers(from);
  if (call.relayed) {
    headers.add(
        std::string(relay_header),
        to_text(relay_report{relay_result::answered, call.possible_runs + 1 + call.other_runs,
                             version_of(call), target}));
  }
  return headers;
}

void finish_call(hosted_state& node, hosted_request& call, std::string_view result,
                 std::string_view reason, int status) {
  const time_point now = monotonic_now();
  const duration total = now - call.arrived;
  finished_call measured;
  measured.workspace = call.workspace;
  measured.request_class = call.matched_route == nullptr ? "none" : call.matched_route->name;
  measured.target = call.service == nullptr ? "none" : call.service->id.str();
  measured.result = std::string(result);
  measured.call_duration = total;
  measured.attempts = call.possible_sends;
  if (call.first_event_at > time_point{}) {
    measured.time_to_first_token = call.first_event_at - call.arrived;
  }
  node.metrics.record(measured);
  if (result == "cut") {
    node.metrics.count("arbutusworks_answers_cut", "reason=\"" + std::string(reason) + "\"");
  }
  if (reason == evacuated_reason) {
    node.metrics.count("arbutusworks_evacuation_refusals",
                       "result=\"" + std::string(result) + "\"");
  }
  if (reason == region_reason) {
    node.metrics.count("arbutusworks_region_refusals", "result=\"" + std::string(result) + "\"");
  }
  const bool had_event = call.last_event_at > time_point{};
  if (!call.writes_log_lines) {
    return;
  }
  log_line(
      result == "done" ? log_level::debug : log_level::info, "request", "ended",
      {{"request", call.fields.id},
       {"route", call.matched_route == nullptr ? std::string_view("-") : call.matched_route->name},
       {"result", result},
       {"reason", reason},
       {"status", status},
       {"targets", call.tried_targets},
       {"restrained", join(call.restrained_targets)},
       {"sends", call.possible_sends},
       {"may_have_run", call.possible_runs},
       {"events", call.forwarded_events},
       {"first_event_ms", to_milliseconds(measured.time_to_first_token)},
       {"silent_ms", had_event ? to_milliseconds(now - call.last_event_at) : 0.0},
       {"total_ms", to_milliseconds(total)},
       {"version", call.map ? call.map->version() : 0},
       {"lease_age_ms", to_milliseconds(node.configuration_lease.age(now).value_or(-1ms))}});
}

call_progress progress_of(const hosted_request& call) {
  const bool repeatable = call.matched_route != nullptr && call.matched_route->repeatable();
  return {.repeatable = repeatable, .possible_runs = call.possible_runs};
}

hosted_request begin_call(hosted_state& node, const http_request& request,
                          response_writer& writer) {
  hosted_request call{.raw_request = request,
                      .writer = writer,
                      .fields = read_request_fields(request),
                      .arrived = monotonic_now()};
  call.writes_log_lines = should_write_request_lines(call.arrived, call.fields.id.str());
  node.requests_seen = true;
  return call;
}

void serve_begun_call(hosted_state& node, hosted_request& call) {
  call_preparation start(node, call);
  if (!start.run()) {
    return;
  }
  if (call.service->engine && call.matched_route->kind == route_kind::stream) {
    serve_stream(node, call);
  } else {
    serve_buffered(node, call);
  }
}

void serve_hosted_call(hosted_state& node, const http_request& request, response_writer& writer) {
  hosted_request call = begin_call(node, request, writer);
  serve_begun_call(node, call);
}

}  // namespace arbutus
