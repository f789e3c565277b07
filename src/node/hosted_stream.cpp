// Streams of a model: sent to a replica and forwarded event by event. If the replica breaks, the
// stream is resumed on another one.
#include <algorithm>
#include <vector>

#include "node/hosted_parts.h"
#include "node/hosted_relay.h"
#include "node/log.h"
#include "node/poison_watch.h"
#include "node/reach_watch.h"
#include "request/event_relay.h"

namespace arbutus {

namespace {

// With less time than this before the deadline, an attempt cannot yield a first event: prefill and
// one pass take about 60 ms on an idle replica.
constexpr duration min_attempt_time = 60ms;

class stream_call {
 public:
  stream_call(hosted_state& node, hosted_request& call)
      : node_(node),
        call_(call),
        model_(call.service->engine->find_model(call.fields.model)),
        relay_(call.fields.resume_after) {}

  void run() {
    if (model_ == nullptr) {
      respond_locally(node_, call_, 503, retry_after_no_target, "no such model is configured");
      return;
    }
    call_.writer.on_caller_disconnect([this] {
      caller_disconnected_ = true;
      if (running_ != nullptr) {
        running_->cancel.cancel();
      }
    });
    while (!ended_) {
      next_attempt();
    }
    call_.writer.on_caller_disconnect({});
  }

 private:
  // How an attempt finished.
  enum class attempt_result : std::uint8_t {
    complete,       // the caller received the entire response
    not_run,        // the target did not run the request
    not_sent,       // no byte was sent
    broken,         // the request may have run in part
    key_withdrawn,  // the caller's key was revoked in the meantime
  };

  void end_locally(int status, duration retry_after, std::string_view reason) {
    ended_ = true;
    if (caller_disconnected_) {
      finish_call(node_, call_, "caller_gone", reason, 0);
    } else if (header_sent_) {
      // The connection closes without the last chunk, so the caller detects the truncation.
      finish_call(node_, call_, "cut", reason, 200);
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
    const auto& replicas = node_.replicas(*call_.service, model_->id);
    const std::vector<target_id> suspects = suspected_heads(now, replicas);
    const excluded_targets excluded = unavailable_heads(now, replicas);
    std::vector<target_id> avoided = avoided_;
    avoided.insert(avoided.end(), excluded.ids.begin(), excluded.ids.end());
    const choice_request desired{
        node_.settings.data_centre, call_.fields.size, call_.deadline - now, avoided, suspects,
        node_.random.unit()};
    const replica_choice choice =
        choose_replica(*call_.service->engine, *model_, replicas, node_.loads, desired);
    if (const auto* none = std::get_if<no_replica>(&choice)) {
      end_without_replica(now, *none, excluded);
      return;
    }
    if (!may_send_again(node_, call_, now)) {
      end_locally(503, retry_after_no_target, last_reason_);
      return;
    }
    const chosen_replica& chosen = std::get<chosen_replica>(choice);
    const serving_replica replica = replicas[chosen.index];
    const attempt_result how = attempt(replica, chosen.expected);
    handle_result(replica, how);
  }

  [[nodiscard]] excluded_targets unavailable_heads(
      time_point now, const std::vector<serving_replica>& replicas) const {
    excluded_targets excluded;
    for (const serving_replica& replica : replicas) {
      exclude_if_unavailable(node_, call_, now, replica.head, replica.address, excluded);
    }
    return excluded;
  }

  void end_without_replica(time_point now, const no_replica& none,
                           const excluded_targets& excluded) {
    const bool unreachable = excluded.by_reach || node_.reach[call_.service->id].is_cut_off();
    if (!unreachable) {
      refuse(now, none, excluded);
    } else if (!leave_to_peer(now)) {
      end_unreachable();
    }
  }

  // Hands the request over to a peer, or back to the one that it came from. False if there is none.
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
    if (caller_disconnected_ || header_sent_) {
      end_locally(503, retry_after_no_target, unreachable_reason);
      return;
    }
    ended_ = true;
    respond_unfit(node_, call_, decline_reason::cut_off, retry_after_no_target, unreachable_reason);
  }

  // Hands the request over to a peer, which goes on after the last event received.
  void hand_over_to(time_point now, const node_record& peer) {
    if (!may_send_again(node_, call_, now)) {
      end_locally(503, retry_after_no_target, last_reason_);
      return;
    }
    attempt_registry::attempt own;
    own.resumable = call_.matched_route->repeatable();
    const attempt_registry::scope listed(node_.attempts, relay_attempt_id(peer.id), own);
    running_ = &own;
    const relay_sink sink{[this](int, const http_headers& headers) {
                            headers_ = headers;
                            return true;
                          },
                          [this](std::string_view bytes) { return on_relayed_bytes(bytes); }};
    const relay_answer answer = hand_over(node_, call_, peer, relay_.last_id(), own.cancel, sink);
    running_ = nullptr;
    call_.forwarded_events = relay_.events();
    finish_relay(answer);
  }

  bool on_relayed_bytes(std::string_view bytes) {
    call_.last_event_at = monotonic_now();
    if (call_.first_event_at == time_point{}) {
      call_.first_event_at = call_.last_event_at;
    }
    const std::string_view events = relay_.take(bytes);
    return (events.empty() || forward_events(events)) && !relay_.out_of_order();
  }

  void finish_relay(const relay_answer& answer) {
    const bool streamed = answer.outcome == relay_outcome::answered && answer.status == 200;
    if (streamed && !relay_.inside_event()) {
      ended_ = true;
      send_end();
    } else if (streamed || answer.outcome == relay_outcome::not_taken ||
               answer.outcome == relay_outcome::broken) {
      last_reason_ = streamed ? "the stream ended inside an event" : answer.reason;
      call_.possible_runs += streamed ? 1 : 0;
      relay_.restart();
    } else if (header_sent_ || caller_disconnected_) {
      end_locally(answer.status, {}, "refused by the node that took it over");
    } else {
      ended_ = true;
      pass_on(node_, call_, answer);
    }
  }

  void refuse(time_point now, const no_replica& none, const excluded_targets& excluded) {
    const refusal without{none.retry_after, none.reason};
    const auto otherwise = none.all_excluded ? std::nullopt : std::optional<refusal>(without);
    const refusal why = refusal_of_excluded(node_, now, excluded, otherwise).value_or(without);
    end_locally(503, why.retry_after, why.reason);
  }

  // Heads of replicas that are stalled for this node, heads that recently rejected a request, and
  // heads of replicas with a member that a peer reports as lost.
  [[nodiscard]] std::vector<target_id> suspected_heads(
      time_point now, const std::vector<serving_replica>& replicas) const {
    std::vector<target_id> heads = node_.replica_stalls.stalled(now);
    const std::vector<target_id> rejecting = node_.rejections.heads(now);
    heads.insert(heads.end(), rejecting.begin(), rejecting.end());
    for (const serving_replica& replica : replicas) {
      if (node_.lost_reports.contains_any(now, replica.members)) {
        heads.push_back(replica.head);
      }
    }
    return heads;
  }

  void handle_result(const serving_replica& replica, attempt_result how) {
    if (how == attempt_result::complete) {
      ended_ = true;
      return;
    }
    update_strikes(replica, how);
    if (how == attempt_result::key_withdrawn) {
      end_locally(503, retry_after_stale(node_, monotonic_now()), "the key was withdrawn");
      return;
    }
    if (how == attempt_result::broken) {
      ++call_.possible_runs;
    }
    avoided_.push_back(replica.head);
    if (call_.writes_log_lines) {
      log_line(log_level::info, "request", "attempt ended",
               {{"request", call_.fields.id},
                {"target", replica.head},
                {"reason", last_reason_},
                {"ran", how == attempt_result::broken ? "perhaps" : "no"},
                {"print", hash_text(call_.fingerprint)},
                {"answered", answered()},
                {"running_ms",
                 had_first_event_ ? to_milliseconds(monotonic_now() - first_event_at_) : 0.0},
                {"last_event", relay_.last_id()},
                {"sends", call_.possible_sends}});
    }
    node_.metrics.count("arbutusworks_attempts_broken",
                        "ran=\"" + std::string(how == attempt_result::broken ? "perhaps" : "no") +
                            "\",answered=\"" + std::string(answered()) + "\"");
    relay_.restart();
  }

  // Clears the request if its run lasted long enough. Otherwise, if the target closed the
  // connection shortly after the start, checks whether that is a strike against the request.
  void update_strikes(const serving_replica& replica, attempt_result how) {
    const time_point now = monotonic_now();
    mark_blocks_harmless(node_, call_, first_event_at_, last_event_at_, false);
    if (has_proved_harmless(first_event_at_, last_event_at_)) {
      mark_request_harmless(node_, call_);
    } else if (how == attempt_result::broken && connection_lost_ &&
               is_within_strike_window(now, first_event_at_)) {
      call_.cut_off_by = replica.head;
      check_for_strike(node_, {call_.fields.id, call_.fingerprint, call_.blocks, replica.head,
                               replica.address, sent_at_, now});
    }
  }

  // What had been received from the target when the last attempt finished.
  [[nodiscard]] std::string_view answered() const {
    if (had_first_event_) {
      return "events";
    }
    return status_ != 0 ? "head" : "nothing";
  }

  attempt_result attempt(const serving_replica& replica, const replica_estimate& expected) {
    attempt_registry::attempt own;
    own.resumable = call_.matched_route->repeatable();
    const attempt_registry::scope listed(node_.attempts, replica.head, own);
    running_ = &own;
    head_ = replica.head;
    address_ = replica.address;
    expected_ = expected;
    had_first_event_ = false;
    first_event_at_ = {};
    connection_lost_ = false;
    status_ = 0;
    answer_ = {};
    failure_body_.clear();
    forwarded_fields facts;
    facts.target = replica.head;
    facts.time_left = call_.deadline - monotonic_now();
    facts.workspace = call_.workspace;
    facts.urgency = call_.urgency;
    facts.resume_after = relay_.last_id();
    call_.tried_targets += (call_.tried_targets.empty() ? "" : ",") + replica.head.str();
    ++call_.possible_sends;
    const time_point sent_at = monotonic_now();
    node_.limits.sent(sent_at, replica.head);
    node_.poison.tracker.run_sent(sent_at, replica.head);
    node_.loads.sent(head_, call_.fields.size);
    sent_at_ = sent_at;
    node_.replica_stalls.on_stream_sent(sent_at, head_, model_->id, expected.to_first_event);
    const call_result result = node_.targets_http.stream(
        {replica.address.host, replica.address.port}, make_target_request(call_.raw_request, facts),
        call_.deadline,
        [this](int status, const http_headers& headers) { return on_head(status, headers); },
        [this](std::string_view bytes) { return on_bytes(bytes); }, own.cancel,
        [this] { return is_send_permitted(); });
    const time_point now = monotonic_now();
    node_.loads.ended(head_, call_.fields.size, had_first_event_);
    node_.replica_stalls.on_stream_ended(now, head_, had_first_event_);
    running_ = nullptr;
    return read_end(result, own);
  }

  bool is_send_permitted() {
    permission_ = permission_to_send(node_, call_, {head_, address_});
    return permission_ == send_permission::granted;
  }

  bool on_head(int status, const http_headers& headers) {
    answer_ = read_response_fields(status, headers, call_.fields.id);
    learn_from_response(node_, call_, sent_at_, {head_, address_}, status, answer_);
    status_ = status;
    if (answer_.kind == answer_kind::target_response) {
      headers_ = headers;
    }
    return answer_.kind == answer_kind::target_response || answer_.kind == answer_kind::not_run;
  }

  bool on_bytes(std::string_view bytes) {
    if (answer_.kind != answer_kind::target_response || status_ != 200) {
      constexpr std::size_t max_failure_bytes = 64UL * 1024;
      failure_body_.append(bytes);
      return failure_body_.size() < max_failure_bytes;
    }
    const time_point now = monotonic_now();
    note_event(now);
    const std::string_view events = relay_.take(bytes);
    if (!events.empty() && !forward_events(events)) {
      return false;
    }
    return !relay_.out_of_order();
  }

  void note_event(time_point now) {
    last_event_at_ = now;
    call_.last_event_at = now;
    if (!had_first_event_) {
      had_first_event_ = true;
      first_event_at_ = now;
      node_.poison.tracker.first_event_received(now - sent_at_);
      node_.loads.first_event(head_, call_.fields.size);
      node_.replica_stalls.on_first_event(head_, now - sent_at_, expected_.to_first_event);
      if (call_.first_event_at == time_point{}) {
        call_.first_event_at = now;
      }
    }
    const replica_load load = node_.loads.total(head_);
    const auto reading = from_seconds(load.pending_prefill_tokens /
                                      std::max(call_.service->engine->prefill_tokens_per_s, 1.0));
    node_.replica_stalls.on_event(now, head_, expected_.between_events + reading);
  }

  bool forward_events(std::string_view events) {
    if (!header_sent_) {
      header_sent_ = true;
      if (!call_.writer.start(200, answer_headers(call_, headers_, head_))) {
        caller_disconnected_ = true;
        return false;
      }
    }
    if (!call_.writer.write(events)) {
      caller_disconnected_ = true;
      return false;
    }
    return true;
  }

  attempt_result read_end(const call_result& result, const attempt_registry::attempt& own) {
    call_.forwarded_events = relay_.events();
    connection_lost_ = result.failure == call_failure::connection_lost;
    if (own.cancelled_to_move) {
      last_reason_ = "its replica lost a member";
      return attempt_result::broken;
    }
    if (result.failure == call_failure::not_permitted &&
        permission_ == send_permission::key_withdrawn) {
      return attempt_result::key_withdrawn;
    }
    if (result.outcome == call_outcome::not_sent) {
      const bool restrained = result.failure == call_failure::not_permitted;
      last_reason_ = restrained ? restrained_reason : "could not be sent";
      if (result.failure == call_failure::connect_failed) {
        note_connect_failure(node_, call_.service->id, head_);
      }
      --call_.possible_sends;
      return attempt_result::not_sent;
    }
    if (answer_.kind == answer_kind::not_run && status_ != 0) {
      last_reason_ = "the target did not run it";
      if (!is_full()) {
        node_.rejections.note(monotonic_now(), head_);
      }
      return attempt_result::not_run;
    }
    if (result.ok() && answer_.kind == answer_kind::target_response && status_ == 200) {
      if (relay_.inside_event()) {
        last_reason_ = "the stream ended inside an event";
        return attempt_result::broken;
      }
      return finish_stream();
    }
    if (result.ok() && answer_.kind == answer_kind::target_response) {
      return pass_failure();
    }
    last_reason_ = relay_.out_of_order()                       ? "events out of order"
                   : result.failure == call_failure::abandoned ? "the answer was not this request's"
                                                               : to_string(result.failure);
    return attempt_result::broken;
  }

  // Whether the target reported that all its slots are in use. Another request may find a free one
  // at any time, and the known load already makes it a late choice.
  [[nodiscard]] bool is_full() const {
    return answer_.running_requests.value_or(0) >= call_.service->engine->slots;
  }

  attempt_result finish_stream() {
    mark_request_harmless(node_, call_);
    mark_blocks_harmless(node_, call_, first_event_at_, last_event_at_, true);
    send_end();
    return attempt_result::complete;
  }

  void send_end() {
    if (!header_sent_) {
      header_sent_ = true;
      call_.writer.start(200, answer_headers(call_, headers_, head_));
    }
    const bool reached = call_.writer.finish();
    finish_call(node_, call_, reached ? "done" : "caller_gone", "", 200);
  }

  // A request whose failure the target reports counts as run. Requests that may be repeated are
  // tried on another replica.
  attempt_result pass_failure() {
    mark_request_harmless(node_, call_);
    const bool again = call_.matched_route->repeatable() &&
                       call_.possible_runs + 1 < call_.matched_route->max_attempts &&
                       status_ >= 500;
    if (again || header_sent_) {
      last_reason_ = "the target failed";
      return attempt_result::broken;
    }
    call_.writer.send(status_, answer_headers(call_, headers_, head_), failure_body_);
    finish_call(node_, call_, "failed", "the target's own failure", status_);
    return attempt_result::complete;
  }

  hosted_state& node_;
  hosted_request& call_;
  const model_spec* model_;
  event_relay relay_;
  std::vector<target_id> avoided_;
  attempt_registry::attempt* running_ = nullptr;
  std::string_view last_reason_ = "no attempt was made";
  bool caller_disconnected_ = false;
  bool header_sent_ = false;  // the header of the response was sent to the caller
  bool ended_ = false;

  // State of the running attempt.
  target_id head_;
  endpoint address_;                                       // of the head
  send_permission permission_ = send_permission::granted;  // as last checked before sending
  time_point sent_at_{};
  time_point first_event_at_{};
  time_point last_event_at_{};
  replica_estimate expected_;
  bool had_first_event_ = false;
  bool connection_lost_ = false;  // the target closed or reset the connection
  response_fields answer_;
  int status_ = 0;
  http_headers headers_;
  std::string failure_body_;
};

}  // namespace

void serve_stream(hosted_state& node, hosted_request& call) {
  stream_call(node, call).run();
}

}  // namespace arbutus
