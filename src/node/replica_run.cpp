// One run of a streamed call at a replica.
#include "node/replica_run.h"

#include <algorithm>

#include "node/poison_watch.h"
#include "node/reach_watch.h"

namespace arbutus {

run_result replica_run::run(const cancel_token& cancel) {
  call_.tried_targets += (call_.tried_targets.empty() ? "" : ",") + head().str();
  ++call_.possible_sends;
  sent_at_ = monotonic_now();
  node_.limits.sent(sent_at_, head());
  node_.poison.tracker.run_sent(sent_at_, head());
  node_.loads.sent(head(), call_.fields.size);
  node_.replica_stalls.on_stream_sent(sent_at_, head(), replica_.key_of_model(),
                                      expected_.modelled_first_event);
  const call_result result = node_.targets_http.stream(
      {replica_.address.host, replica_.address.port},
      make_target_request(call_.raw_request, fields_to_forward()), call_.deadline,
      [this](int status, const http_headers& headers) { return on_head(status, headers); },
      [this](std::string_view bytes) { return on_bytes(bytes); }, cancel,
      [this] { return is_send_permitted(); });
  node_.loads.ended(head(), call_.fields.size, had_first_event());
  if (had_first_event() && result.ok() && call_.map->has_prioritised_streams(call_.service->id)) {
    node_.calibration.observe_request(replica_.key_of_model(), expected_.request_time,
                                      monotonic_now() - sent_at_);
  }
  node_.replica_stalls.on_stream_ended(monotonic_now(), head(), had_first_event());
  return read_end(result);
}

forwarded_fields replica_run::fields_to_forward() const {
  forwarded_fields fields;
  fields.target = head();
  fields.time_left = call_.deadline - sent_at_;
  fields.workspace = call_.workspace;
  fields.urgency = call_.urgency;
  fields.resume_after = relay_.last_id();
  return fields;
}

bool replica_run::is_send_permitted() {
  permission_ = permission_to_send(node_, call_, candidate_target(replica_));
  return permission_ == send_permission::granted;
}

bool replica_run::on_head(int status, const http_headers& headers) {
  answer_ = read_response_fields(status, headers, call_.fields.id);
  learn_from_response(node_, call_, sent_at_, {head(), replica_.address}, answer_);
  status_ = status;
  if (is_response(answer_.kind)) {
    headers_ = headers;
  }
  return is_response(answer_.kind) || answer_.kind == answer_kind::not_run;
}

bool replica_run::on_bytes(std::string_view bytes) {
  if (!is_response(answer_.kind) || status_ != 200) {
    constexpr std::size_t max_failure_bytes = 64UL * 1024;
    failure_body_.append(bytes);
    return failure_body_.size() < max_failure_bytes;
  }
  // Bytes that complete no event are no sign that the engine makes progress.
  const std::string_view events = relay_.take(bytes);
  held_.set(relay_.buffered_bytes() + events.size());
  if (!events.empty()) {
    note_event(monotonic_now());
    if (!forward_(events)) {
      return false;
    }
    bytes_without_event_at_ = {};
  }
  const time_point now = monotonic_now();
  if (bytes_without_event_at_ == time_point{} && relay_.buffered_bytes() > 0) {
    bytes_without_event_at_ = now;
  }
  overdue_ = is_overdue(now);
  return relay_.fault() == event_fault::none && !overdue_;
}

// Whether bytes without a complete event have come for so long that the target is faulty. A target
// that sends nothing is silent, which the stall monitor detects.
bool replica_run::is_overdue(time_point now) const {
  if (bytes_without_event_at_ == time_point{}) {
    return false;
  }
  const duration expected = had_first_event() ? expected_.between_events : expected_.to_first_event;
  const double factor = stall_settings{}.max_first_event_factor;
  const duration limit = silence_tolerance + from_seconds(to_seconds(expected) * factor);
  return now - bytes_without_event_at_ > limit;
}

void replica_run::note_event(time_point now) {
  last_event_at_ = now;
  call_.last_event_at = now;
  if (!had_first_event()) {
    note_first_event(now);
  }
  const replica_load load = node_.loads.total(head());
  const auto reading = from_seconds(load.pending_prefill_tokens /
                                    std::max(call_.service->engine->prefill_tokens_per_s, 1.0));
  node_.replica_stalls.on_event(now, head(), expected_.between_events + reading);
}

void replica_run::note_first_event(time_point now) {
  first_event_at_ = now;
  node_.poison.tracker.first_event_received(now - sent_at_);
  node_.loads.first_event(head(), call_.fields.size);
  node_.replica_stalls.on_first_event(head(), now - sent_at_, expected_.modelled_first_event);
  node_.metrics.record_model_step("expected_first_event", replica_.key_of_model(),
                                  expected_.to_first_event);
  node_.metrics.record_model_step("observed_first_event", replica_.key_of_model(), now - sent_at_);
  calibrate(now);
  if (call_.first_event_at == time_point{}) {
    call_.first_event_at = now;
  }
}

// A run at a replica whose load came close to its slots is left out: it may have waited for
// requests of other nodes that were not known yet, which is no property of the engine.
void replica_run::calibrate(time_point now) {
  constexpr double max_slots_taken = 0.9;
  const double load = std::max(expected_.active, node_.loads.total(head()).active);
  if (call_.map->has_prioritised_streams(call_.service->id) &&
      load < max_slots_taken * call_.service->engine->slots) {
    node_.calibration.observe(replica_.key_of_model(), expected_.modelled_first_event,
                              now - sent_at_);
  }
}

run_result replica_run::read_end(const call_result& result) {
  connection_lost_ = result.failure == call_failure::connection_lost;
  if (result.outcome == call_outcome::not_sent) {
    return read_unsent(result);
  }
  // A refusal that breaks off is no promise that the request did not run.
  const bool broke_off = !result.ok() && result.failure != call_failure::abandoned;
  if (answer_.kind == answer_kind::not_run && status_ != 0 && !broke_off) {
    reason_ = "the target did not run it";
    if (!is_full()) {
      node_.rejections.note(monotonic_now(), head());
    }
    return run_result::not_run;
  }
  note_oversized_answer(result);
  count_malformed_answer(node_, result);
  const bool is_whole = result.ok() && is_response(answer_.kind);
  if (is_whole && status_ != 200) {
    reason_ = "the target failed";
    return run_result::failed;
  }
  if (is_whole && !relay_.inside_event()) {
    return run_result::complete;
  }
  reason_ = is_whole                                    ? "the stream ended inside an event"
            : relay_.fault() != event_fault::none       ? to_string(relay_.fault())
            : overdue_                                  ? "bytes without an event"
            : result.failure == call_failure::abandoned ? "the answer was not this request's"
                                                        : result.reason();
  return run_result::broken;
}

void replica_run::note_oversized_answer(const call_result& result) {
  const bool by_event =
      relay_.fault() == event_fault::too_large || relay_.fault() == event_fault::no_event;
  if (by_event || result.failure == call_failure::too_large) {
    count_oversized_answer(node_, by_event ? "event" : "head");
  }
}

run_result replica_run::read_unsent(const call_result& result) {
  const bool not_permitted = result.failure == call_failure::not_permitted;
  --call_.possible_sends;
  if (not_permitted && permission_ == send_permission::key_withdrawn) {
    reason_ = reason_of(permission_);
    return run_result::key_withdrawn;
  }
  reason_ = not_permitted ? reason_of(permission_) : "could not be sent";
  if (result.failure == call_failure::connect_failed) {
    note_connect_failure(node_, call_.service->id, head());
  }
  return run_result::not_sent;
}

// Whether the target reported that all its slots are in use. Another request may find a free one at
// any time, and the known load already makes it a late choice.
bool replica_run::is_full() const {
  return answer_.running_requests.value_or(0) >= call_.service->engine->slots;
}

std::string_view replica_run::answered() const {
  if (had_first_event()) {
    return "events";
  }
  return status_ != 0 ? "head" : "nothing";
}

void replica_run::update_strikes(run_result how) {
  const time_point now = monotonic_now();
  mark_blocks_harmless(node_, call_, first_event_at_, last_event_at_, false);
  if (has_proved_harmless(first_event_at_, last_event_at_)) {
    mark_request_harmless(node_, call_);
  } else if (how == run_result::broken && connection_lost_ &&
             is_within_strike_window(now, first_event_at_)) {
    call_.cut_off_by = head();
    check_for_strike(node_, {call_.fields.id, call_.fingerprint, call_.blocks, head(),
                             replica_.address, sent_at_, now});
  }
}

}  // namespace arbutus
