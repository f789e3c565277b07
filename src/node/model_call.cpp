// A model call with all its attempts: admission, choice of replica, retries, resumption of streams.
#include "node/model_call.h"

#include <algorithm>
#include <vector>

#include "connection/clock.h"
#include "node/model_attempt.h"
#include "node/model_request.h"
#include "node/spill_call.h"
#include "request/prefix_hash.h"

namespace arbutus {

namespace {

// The cost of a request is its number of tokens to generate, relative to a mean request.
constexpr double mean_generated_tokens = 128.0;
constexpr double min_cost = 0.05;
// Sent as Retry-After when no replica serves the model: about the time of a repair from a standby.
constexpr duration no_replica_retry_after = 2s;
// Interval at which a request that may be sent to no replica checks again for a route, until its
// deadline.
constexpr duration route_poll_interval = 25ms;
// Interval at which an answer that has begun checks again for a retry; the budget gains one in 2 s.
constexpr duration budget_poll_interval = 100ms;

std::optional<call_error> check_model(const call_state& call, const model_id& model) {
  if (call.view->config->desired.find_model(model) == nullptr) {
    return invalid_request("unknown_model", "the rules know no model of this name", 404);
  }
  const auto& allowed = call.workspace->models;
  if (std::find(allowed.begin(), allowed.end(), model) == allowed.end()) {
    return invalid_request("model_not_allowed", "this workspace may not use the model", 403);
  }
  return std::nullopt;
}

// A running call, allocated in the stack frame of the request's fiber.
class model_call {
 public:
  model_call(call_context& node, model_api api, const http_request& request,
             response_writer& writer)
      : node_(node), api_(api), request_(request), writer_(writer) {}

  void run() {
    if (const auto error = begin()) {
      finish_with_error(*error);
      return;
    }
    cancel_ = cancel_token::make();
    writer_.on_caller_disconnect([this] { end_waits(); });
    const open_calls::registration open(node_.stop.calls, [this] { end_waits(); });
    gate_ = &node_.gates.gate_of(body_.model);
    const admission_outcome entry = gate_->enter(*call_.view, facts_, waiter_);
    call_.measurements.queue_time = monotonic_now() - call_.arrival;
    if (entry.what == admission_outcome::kind::abandoned) {
      end_abandoned();
      return;
    }
    if (entry.what == admission_outcome::kind::rejected) {
      if (!try_spill(entry.why)) {
        finish_with_error(rejection_error(entry.why));
      }
      return;
    }
    const bool served = run_attempts();
    gate_->leave(facts_.id, served);
  }

 private:
  void end_waits() {
    waiter_.abandon();
    cancel_.cancel();
  }

  void end_abandoned() {
    if (writer_.caller_disconnected()) {
      finish("caller_gone", "while waiting");
    } else {
      give_up_since_node_stops(execution::not_run);
    }
  }

  [[nodiscard]] bool must_end() const { return node_.stop.must_end_calls(monotonic_now()); }

  void give_up_since_node_stops(execution ran) {
    give_up(ran, "stopping", std::string(stopping_reason), retry_after_stopping);
  }

  std::optional<call_error> begin() {
    if (auto error = begin_call(node_, request_, call_)) {
      return error;
    }
    if (auto error = parse_model_request(api_, request_.body, body_)) {
      return error;
    }
    if (auto error = check_model(call_, body_.model)) {
      return error;
    }
    // Set after the check only: one label per arbitrary name in requests would exhaust the memory.
    call_.measurements.target = body_.model.str();
    facts_.id = call_.id;
    facts_.workspace = call_.workspace->id;
    facts_.model = body_.model;
    facts_.priority = call_.priority;
    facts_.arrival = call_.arrival;
    facts_.deadline = call_.deadline;
    facts_.first_token_deadline = call_.arrival + call_.request_class.first_token;
    facts_.cost = std::max(min_cost, body_.max_tokens / mean_generated_tokens);
    facts_.prefix = hash_prefix(body_.prompt, body_.model.str());
    attempt_context_.may_retry = true;
    return std::nullopt;
  }

  // Tries another data centre for a request that cannot be answered in time here. True if the
  // caller was answered.
  bool try_spill(const rejected& why) {
    const time_point now = monotonic_now();
    const std::shared_ptr<const node_view> view = node_.coordination.view();
    const bool already_spilled = request_.headers.find(spilled_header).has_value();
    std::optional<duration> local_wait;
    if (why.reason != reject_reason::no_capacity) {
      local_wait = std::max(why.retry_after, gate_->expected_wait(facts_));
    }
    const auto entry = choose_spill_entry(now, node_, *view, facts_, local_wait, already_spilled);
    if (!entry) {
      return false;
    }
    ++call_.measurements.attempts;
    const spill_outcome end =
        relay_call(node_.client, request_, writer_, *entry, call_.deadline, cancel_);
    if (!end.answered) {
      return false;  // a model call may be repeated, so the local rejection is sent to the caller
    }
    node_.call_metrics.count(current_worker(), "arbutusworks_spilled_total");
    finish(end.complete ? "done" : "unknown", end.complete ? "" : "spilled");
    return true;
  }

  [[nodiscard]] call_error rejection_error(const rejected& why) const {
    call_error error;
    error.status = why.reason == reject_reason::queue_full ? 429 : 503;
    error.code = std::string(to_string(why.reason));
    error.message = "not run: there is no capacity in time";
    error.retry_after = retry_after_restraint().value_or(why.retry_after);
    return error;
  }

  [[nodiscard]] std::optional<duration> retry_after_restraint() const {
    return gate_->retry_after_restraint(*node_.coordination.view());
  }

  void give_up_without_replica(execution ran) {
    if (must_end()) {
      give_up_since_node_stops(ran);
    } else if (const auto wait = retry_after_restraint()) {
      give_up(ran, "targets_back_off", "the replicas asked for a backoff or are leaving", *wait);
    } else {
      give_up(ran, "no_replica", "no replica may take the request", no_replica_retry_after);
    }
  }

  // Makes attempts until the answer is complete or no further attempt is allowed. True if the
  // request was served.
  bool run_attempts() {
    answer_stream answer(call_.id);
    gate_->first_attempt(monotonic_now());
    execution worst = execution::not_run;
    for (;;) {
      const std::optional<replica_route> route = wait_for_route();
      if (!route) {
        give_up_without_replica(worst);
        return false;
      }
      const attempt_outcome end = attempt_at(*route, answer);
      if (end.ran == execution::done) {
        deliver(end);
        return true;
      }
      if (writer_.caller_disconnected() || end.reason == "caller gone") {
        finish("caller_gone", "while running");
        return false;
      }
      if (end.engine_error) {
        relay_engine_error(end);
        return true;
      }
      if (end.ran == execution::unknown) {
        worst = execution::unknown;
      }
      if (must_end()) {
        give_up_since_node_stops(worst);
        return false;
      }
      const retry_decision decision = decide_next(end.ran);
      if (const auto* stop = std::get_if<arbutus::give_up>(&decision)) {
        give_up(worst, std::string(to_string(stop->why)), end.reason, duration{200ms});
        return false;
      }
      const retry_at again = std::get<retry_at>(decision);
      attempt_context_.attempt = again.attempt;
      sleep_until(again.at);
    }
  }

  // An answer that has begun would be cut, so it waits until the retry budget has a retry again or
  // no time is left.
  retry_decision decide_next(execution last) {
    for (;;) {
      const time_point now = monotonic_now();
      const retry_decision decision = gate_->retry(now, attempt_context_, last, facts_);
      const auto* stop = std::get_if<arbutus::give_up>(&decision);
      const bool may_wait = stop != nullptr && stop->why == give_up_reason::no_budget &&
                            writer_.started() && !writer_.caller_disconnected() && !must_end();
      if (!may_wait) {
        return decision;
      }
      sleep_until(now + budget_poll_interval);
    }
  }

  // Chooses a route from the newest view. Waits while there is none, for example during the repair
  // of a replica; empty if the caller has disconnected or none can be expected in time.
  std::optional<replica_route> wait_for_route() {
    for (;;) {
      const time_point now = monotonic_now();
      const std::shared_ptr<const node_view> view = node_.coordination.view();
      auto choice = gate_->choose(now, *view, facts_, tried_);
      if (!choice && !tried_.empty()) {
        tried_.clear();  // a replica that failed before is better than none
        choice = gate_->choose(now, *view, facts_, tried_);
      }
      if (choice) {
        return view->routes.replicas[choice->index];
      }
      if (writer_.caller_disconnected() || must_end() || !may_wait_for_route(now, *view)) {
        return std::nullopt;
      }
      sleep_until(now + route_poll_interval);
    }
  }

  // Whether a route may still be found in time. A call that cannot be served is refused early; an
  // answer that has begun would be cut, so it waits for as long as it has time.
  [[nodiscard]] bool may_wait_for_route(time_point now, const node_view& view) const {
    const std::optional<duration> restraint = gate_->retry_after_restraint(view);
    if (!writer_.started()) {
      return !restraint &&
             now + route_poll_interval < std::min(call_.deadline, facts_.first_token_deadline);
    }
    return now + std::max(restraint.value_or(duration{}), route_poll_interval) < call_.deadline;
  }

  attempt_outcome attempt_at(const replica_route& route, answer_stream& answer) {
    model_attempt attempt;
    attempt.path = api_ == model_api::chat ? "/v1/chat/completions" : "/v1/completions";
    attempt.body = request_.body;
    attempt.stream = body_.stream;
    attempt.id = call_.id;
    attempt.priority = call_.priority;
    attempt.workspace = facts_.workspace;
    attempt.deadline = call_.deadline;
    const time_point sent = monotonic_now();
    if (gate_->attempt_sent(sent, route.id, facts_) == 1) {
      report_in_flight(route);
    }
    const auto sink = [&](std::string_view frame) { return pass_frame(frame, sent); };
    const attempt_outcome end = run_attempt(node_, attempt, route, answer, sink, cancel_);
    attempt_result result;
    result.replica = route.id;
    result.cost = facts_.cost;
    result.failed = end.ran != execution::done;
    result.total = end.attempt_duration;
    result.first_token =
        end.first_token_at == time_point::min() ? end.attempt_duration : end.first_token_at - sent;
    if (gate_->attempt_ended(monotonic_now(), facts_, result) == 0) {
      report_in_flight(route);
    }
    ++call_.measurements.attempts;
    if (result.failed) {
      tried_.push_back(route.id);
      if (end.target_lost) {
        node_.coordination.post_input(target_connection_error{route.head});
      }
    }
    return end;
  }

  // Reports to the core whether the replica has requests in flight, when the first is sent and when
  // the last ends. The count is read on the core's worker: if two workers read it and their reports
  // arrived in reverse order, the last report would be 1 and a drain would wait for a request that
  // ended long ago. The count covers all generations, since requests of an old generation are also
  // work of the replica.
  void report_in_flight(const replica_route& route) {
    node_.coordination.post([gate = gate_, id = route.id](time_point, coordinator& core) {
      core.report_in_flight(id, generation{}, gate->in_flight_at(id));
      return effects{};
    });
  }

  bool pass_frame(std::string_view frame, time_point sent) {
    if (!writer_.started()) {
      http_headers headers;
      headers.add("content-type", "text/event-stream");
      headers.add("cache-control", "no-store");
      headers.add("x-request-id", call_.id.str());
      if (!writer_.start(200, headers)) {
        return false;
      }
      const time_point now = monotonic_now();
      call_.measurements.time_to_first_token = now - call_.arrival;
      gate_->first_token_received(now, facts_, call_.request_class.name, now - sent);
    }
    ++call_.measurements.tokens;
    return writer_.write(frame);
  }

  void deliver(const attempt_outcome& end) {
    bool reached = false;
    if (body_.stream) {
      reached = writer_.started() && writer_.write("data: [DONE]\n\n") && writer_.finish();
    } else {
      http_headers headers;
      headers.add("content-type", end.content_type);
      headers.add("x-request-id", call_.id.str());
      reached = writer_.send(end.status, headers, end.body);
    }
    finish(reached ? "done" : "caller_gone", {});
  }

  // Forwards the error of an engine that rejected the request as invalid.
  void relay_engine_error(const attempt_outcome& end) {
    call_error error = invalid_request("engine_refused", end.reason, end.status);
    finish_with_error(error);
  }

  void give_up(execution ran, std::string code, std::string message, duration retry_after) {
    call_error error;
    error.status = ran == execution::unknown ? 502 : 503;
    error.ran = ran;
    error.code = std::move(code);
    error.message = std::move(message);
    error.retry_after = retry_after;
    finish_with_error(error);
  }

  void finish_with_error(const call_error& error) {
    if (writer_.started()) {
      // The HTTP status was sent already, so the error is sent as a frame of the stream; that frame
      // and the missing [DONE] mark the answer as truncated.
      call_error truncated = error;
      truncated.ran = execution::unknown;
      writer_.write(error_frame(truncated));
      writer_.finish();
    } else {
      send_error(writer_, error, call_.id);
    }
    finish(std::string(to_string(writer_.started() && body_.stream && call_.measurements.tokens > 0
                                     ? execution::unknown
                                     : error.ran)),
           error.code);
  }

  void finish(std::string result, std::string reason) {
    call_.measurements.result = std::move(result);
    call_.measurements.reason = std::move(reason);
    call_.measurements.call_duration = monotonic_now() - call_.arrival;
    node_.call_metrics.record(current_worker(), call_.measurements);
  }

  call_context& node_;
  model_api api_;
  const http_request& request_;
  response_writer& writer_;
  call_state call_;
  model_request body_;
  request_facts facts_;
  attempt_context attempt_context_;
  model_gate* gate_ = nullptr;
  admission_waiter waiter_;
  cancel_token cancel_;
  std::vector<replica_id> tried_;
};

}  // namespace

void serve_model_call(call_context& node, model_api api, const http_request& request,
                      response_writer& writer) {
  model_call call(node, api, request, writer);
  call.run();
  writer.on_caller_disconnect({});
}

}  // namespace arbutus
