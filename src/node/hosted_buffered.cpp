// Calls of services that are not models, on a node of the hosted platform. Their responses are
// buffered and forwarded as a unit.
#include <algorithm>
#include <vector>

#include "node/hosted_parts.h"
#include "node/hosted_relay.h"
#include "node/log.h"
#include "node/poison_watch.h"
#include "node/reach_watch.h"

namespace arbutus {

namespace {

// With less time than this before a request's deadline, no further instance is tried, since it
// could not answer in time.
constexpr duration min_attempt_time = 10ms;

class buffered_call {
 public:
  buffered_call(hosted_state& node, hosted_request& call) : node_(node), call_(call) {}

  void run() {
    call_.writer.on_caller_disconnect([this] {
      caller_disconnected_ = true;
      cancel_.cancel();
    });
    const open_calls::registration open(node_.stop.calls, [this] { cancel_.cancel(); });
    while (!ended_) {
      next_attempt();
    }
    call_.writer.on_caller_disconnect({});
  }

 private:
  void end_locally(int status, duration retry_after, std::string_view reason) {
    ended_ = true;
    if (caller_disconnected_) {
      finish_call(node_, call_, "caller_gone", reason, 0);
    } else {
      respond_locally(node_, call_, status, retry_after, reason);
    }
  }

  void next_attempt() {
    // Earlier attempts of the same request, here and on other nodes, may have had other request
    // ids. The fingerprint links them, so that a poison request is recognized.
    if (!await_poison_clearance(node_, call_)) {
      end_locally(503, retry_after_poison(node_, call_), poison_refusal_reason);
      return;
    }
    const time_point now = monotonic_now();
    if (caller_disconnected_) {
      end_locally(0, {}, "the caller has gone");
      return;
    }
    if (node_.stop.must_end_calls(now)) {
      end_locally(503, retry_after_stopping, stopping_reason);
      return;
    }
    if (now + min_attempt_time >= call_.deadline) {
      end_locally(call_.possible_runs > 0 ? 504 : 503, retry_after_no_target, "no time is left");
      return;
    }
    if (!is_key_usable(node_, call_)) {
      end_locally(503, retry_after_stale(node_, monotonic_now()), "the key cannot be confirmed");
      return;
    }
    if (may_be_cut_off(node_, call_) && leave_to_peer(now)) {
      return;
    }
    const std::vector<service_instance> instances = node_.instances_of(call_.service->id);
    const excluded_targets excluded = unavailable_instances(now, instances);
    std::vector<target_id> avoided = avoided_;
    avoided.insert(avoided.end(), excluded.ids.begin(), excluded.ids.end());
    const auto chosen = node_.instances.choose(now, instances, node_.settings.data_centre, avoided);
    if (!chosen && (excluded.by_reach || node_.reach[call_.service->id].is_cut_off())) {
      if (!leave_to_peer(now)) {
        end_unreachable();
      }
      return;
    }
    if (!chosen) {
      const refusal why = refusal_of_excluded(node_, now, excluded, std::nullopt)
                              .value_or(refusal{retry_after_no_target, last_reason_});
      end_locally(503, why.retry_after, why.reason);
      return;
    }
    if (!may_send_again(node_, call_, now)) {
      end_locally(503, retry_after_no_target, last_reason_);
      return;
    }
    attempt(instances[*chosen]);
  }

  // Hands the call over to a peer, or back to the one that it came from. False if there is none.
  bool leave_to_peer(time_point now) {
    if (const auto peer = choose_relay_peer(node_, call_)) {
      hand_over_to(now, *peer);
      return true;
    }
    if (call_.relayed && call_.possible_sends == 0) {
      end_unreachable();
      return true;
    }
    return false;
  }

  void end_unreachable() {
    ended_ = true;
    respond_unfit(node_, call_, decline_reason::cut_off, retry_after_no_target, unreachable_reason);
  }

  void hand_over_to(time_point now, const node_record& peer) {
    if (!may_send_again(node_, call_, now)) {
      end_locally(503, retry_after_no_target, last_reason_);
      return;
    }
    const relay_answer answer = hand_over(node_, call_, peer, std::nullopt, cancel_, {});
    const bool open =
        answer.outcome == relay_outcome::not_taken || answer.outcome == relay_outcome::broken;
    if (open) {
      last_reason_ = answer.reason;
      return;
    }
    ended_ = true;
    pass_on(node_, call_, answer);
  }

  [[nodiscard]] excluded_targets unavailable_instances(
      time_point now, const std::vector<service_instance>& instances) const {
    excluded_targets excluded;
    for (const service_instance& instance : instances) {
      exclude_if_unavailable(node_, call_, now, candidate_target(instance), excluded);
    }
    return excluded;
  }

  // A pooled connection may be closed just as the request is written to it, and it is then unknown
  // whether the request ran. Requests that may not be repeated use a fresh connection.
  [[nodiscard]] connection_use connection() const {
    return call_.matched_route->repeatable() ? connection_use::pooled : connection_use::fresh;
  }

  void attempt(const service_instance& instance) {
    forwarded_fields facts;
    facts.target = instance.id;
    facts.time_left = call_.deadline - monotonic_now();
    facts.workspace = call_.workspace;
    facts.urgency = call_.urgency;
    call_.tried_targets += (call_.tried_targets.empty() ? "" : ",") + instance.id.str();
    ++call_.possible_sends;
    node_.instances.sent(instance.id);
    sent_at_ = monotonic_now();
    node_.limits.sent(sent_at_, instance.id);
    node_.poison.tracker.run_sent(sent_at_, instance.id);
    const call_result result = node_.targets_http.fetch(
        {instance.address.host, instance.address.port},
        make_target_request(call_.raw_request, facts), call_.deadline, cancel_,
        [&] { return is_send_permitted(instance); }, connection());
    handle_result(instance, result);
  }

  bool is_send_permitted(const service_instance& instance) {
    permission_ = permission_to_send(node_, call_, candidate_target(instance));
    return permission_ == send_permission::granted;
  }

  void handle_result(const service_instance& instance, const call_result& result) {
    const time_point now = monotonic_now();
    avoided_.push_back(instance.id);
    const bool not_permitted = result.failure == call_failure::not_permitted;
    if (not_permitted && permission_ == send_permission::key_withdrawn) {
      node_.instances.ended(now, instance.id, instance_call_outcome::withdrawn);
      end_locally(503, retry_after_stale(node_, monotonic_now()), reason_of(permission_));
      return;
    }
    if (result.outcome == call_outcome::not_sent) {
      const bool own_reason = caller_disconnected_ || not_permitted;
      node_.instances.ended(
          now, instance.id,
          own_reason ? instance_call_outcome::withdrawn : instance_call_outcome::failed);
      --call_.possible_sends;
      last_reason_ = not_permitted ? reason_of(permission_) : "could not be sent";
      if (result.failure == call_failure::connect_failed) {
        note_connect_failure(node_, call_.service->id, instance.id);
      }
      return;
    }
    learn_from(instance, result.response);
    if (!result.ok()) {
      const bool own_reason = caller_disconnected_ || result.failure == call_failure::cancelled;
      node_.instances.ended(
          now, instance.id,
          own_reason ? instance_call_outcome::withdrawn : instance_call_outcome::failed);
      ++call_.possible_runs;
      if (result.failure == call_failure::too_large) {
        const bool in_body = result.response.status != 0;
        count_oversized_answer(node_, in_body ? "body" : "head");
      }
      if (result.failure == call_failure::connection_lost && !own_reason) {
        check_for_strike(node_, {call_.fields.id, call_.fingerprint, call_.blocks, instance.id,
                                 instance.address, sent_at_, now});
      }
      count_malformed_answer(node_, result);
      broken(instance, result.reason());
      return;
    }
    read_answer_of(now, instance, result.response);
  }

  // The headers of a response whose body was cut off count, too.
  void learn_from(const service_instance& instance, const http_response& response) {
    if (response.status != 0) {
      learn_from_response(node_, call_, sent_at_, {instance.id, instance.address},
                          read_response_fields(response.status, response.headers, call_.fields.id));
    }
  }

  void read_answer_of(time_point now, const service_instance& instance,
                      const http_response& response) {
    const response_fields answer =
        read_response_fields(response.status, response.headers, call_.fields.id);
    if (answer.running_requests) {
      node_.instances.note_reported_load(
          now, instance.id,
          *answer.running_requests + static_cast<double>(answer.waiting_requests.value_or(0)));
    }
    switch (answer.kind) {
      case answer_kind::not_run:
        node_.instances.ended(now, instance.id, instance_call_outcome::not_run);
        broken(instance, "the target did not run it", response.status);
        return;
      case answer_kind::mismatched:
      case answer_kind::unsigned_success:
        node_.instances.ended(now, instance.id, instance_call_outcome::failed);
        ++call_.possible_runs;
        broken(instance, "the answer was not this request's", response.status);
        return;
      case answer_kind::succeeded:
      case answer_kind::failed:
        node_.instances.ended(now, instance.id, instance_call_outcome::answered);
        node_.poison.tracker.first_event_received(now - sent_at_);
        node_.poison.tracker.run_ended(now, false);
        mark_request_harmless(node_, call_);
        use_response(instance, answer.kind, response);
        return;
    }
  }

  // `status`: of the target's answer; zero: it gave none that is whole.
  void broken(const service_instance& instance, std::string_view reason, int status = 0) {
    last_reason_ = reason;
    if (call_.writes_log_lines) {
      log_line(log_level::info, "request", "attempt ended",
               {{"request", call_.fields.id},
                {"target", instance.id},
                {"reason", reason},
                {"status", status},
                {"print", hash_text(call_.fingerprint)},
                {"may_have_run", call_.possible_runs},
                {"sends", call_.possible_sends}});
    }
    node_.metrics.count("arbutusworks_attempts_broken");
  }

  [[nodiscard]] bool has_retries_left() const {
    const time_point now = monotonic_now();
    return node_.retries_of(now, call_.service->id).retries_left(now) >= 1;
  }

  // A request whose failure the target reports counts as run.
  void use_response(const service_instance& instance, answer_kind kind,
                    const http_response& response) {
    const bool can_try_again = kind == answer_kind::failed &&
                               call_.possible_runs + 1 < call_.matched_route->max_attempts &&
                               has_retries_left();
    switch (use_of(kind, response.status, progress_of(call_), can_try_again)) {
      case answer_use::forward:
        forward_response(instance, response);
        return;
      case answer_use::try_another:
        ++call_.possible_runs;
        broken(instance, "the target failed", response.status);
        return;
      case answer_use::replace:
        ++call_.possible_runs;
        broken(instance, no_proof_reason, response.status);
        ended_ = true;
        replace_failure(node_, call_, response.status);
        return;
    }
  }

  void forward_response(const service_instance& instance, const http_response& response) {
    ended_ = true;
    const bool failed = response.status >= 500;
    const bool reached = call_.writer.send(
        response.status, answer_headers(call_, response.headers, instance.id), response.body);
    finish_call(node_, call_,
                !reached ? "caller_gone"
                : failed ? "failed"
                         : "done",
                failed ? "the target's own failure" : "", response.status);
  }

  hosted_state& node_;
  hosted_request& call_;
  cancel_token cancel_ = cancel_token::make();
  std::vector<target_id> avoided_;
  std::string_view last_reason_ = "no instance is known";
  time_point sent_at_{};                                   // when the running attempt was sent
  send_permission permission_ = send_permission::granted;  // as last checked before sending
  bool caller_disconnected_ = false;
  bool ended_ = false;
};

}  // namespace

void serve_buffered(hosted_state& node, hosted_request& call) {
  buffered_call(node, call).run();
}

}  // namespace arbutus
