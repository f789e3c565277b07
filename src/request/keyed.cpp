// The state machine of a call with an idempotency key.
#include "request/keyed.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace arbutus {

namespace {

wall_time operator+(wall_time at, duration d) {
  return {at.milliseconds + std::chrono::duration_cast<std::chrono::milliseconds>(d).count()};
}

duration between(wall_time from, wall_time to) {
  return std::chrono::milliseconds{to.milliseconds - from.milliseconds};
}

}  // namespace

keyed_call::keyed_call(const keyed_call_facts& facts, const keyed_settings& settings)
    : facts_(facts), settings_(settings), table_key_(keyed_table_key(facts.workspace, facts.key)) {
  record_.owner = facts.owner;
  record_.body_hash = facts.body_hash;
  backoff_ = settings.first_backoff;
}

keyed_effects keyed_call::start(time_point now, wall_time wall) {
  step_ = step::reserving;
  table_deadline_ = std::min(facts_.deadline, now + settings_.table_timeout);
  return write(now, wall, record_phase::reserved);
}

keyed_effects keyed_call::on(time_point now, wall_time wall, const table_write_result& result) {
  if (!table_call_pending_ || result.request.key != table_key_ || step_ == step::finished) {
    return {};
  }
  table_call_pending_ = false;
  if (const auto* done = std::get_if<table_written>(&result.result)) {
    row_version_ = done->version;
    backoff_ = settings_.first_backoff;
    // record_ may have changed while the write of its earlier state was in progress.
    const bool is_current = result.request.value == written_value_;
    return is_current ? record_confirmed(now, wall) : write(now, wall, record_.phase);
  }
  // A refused write means that the row holds another record, or an earlier write of this call whose
  // reply was lost. A write with unknown result may have taken effect. Reading the row tells.
  if (std::holds_alternative<refused>(result.result)) {
    return read();
  }
  retry_later(now);
  return {};
}

keyed_effects keyed_call::on(time_point now, wall_time wall, const table_read_result& result) {
  if (!table_call_pending_ || result.request.key != table_key_ || step_ == step::finished) {
    return {};
  }
  table_call_pending_ = false;
  const auto* row = std::get_if<table_row>(&result.result);
  if (row == nullptr) {
    retry_later(now);
    return {};
  }
  row_version_ = row->version;
  if (row->version == 0) {
    return on_no_record(now, wall);
  }
  const outcome<keyed_record> found = decode_keyed_record(row->value);
  if (!is_ok(found)) {
    if (step_ == step::recording) {
      step_ = step::finished;
      return {};
    }
    may_have_written_ =
        false;  // prevents a write: the damaged row is kept for operators to inspect
    return abort_unsent(now, wall, "the record of this key is damaged");
  }
  const auto& stored_record = std::get<keyed_record>(found);
  if (stored_record.owner == facts_.owner) {
    return on_own_record(now, wall, stored_record.phase);
  }
  return on_other_record(now, wall, stored_record);
}

keyed_effects keyed_call::tick(time_point now, wall_time wall) {
  if (step_ == step::recording && record_deadline_ && now >= *record_deadline_) {
    step_ = step::finished;
    return {};
  }
  const bool before_ready = step_ == step::reserving || step_ == step::marking;
  if (before_ready && table_deadline_ && now >= *table_deadline_) {
    return abort_unsent(now, wall, "the table did not take the record in time");
  }
  if (step_ == step::ready && !may_send(now)) {
    return abort_unsent(now, wall, "the time to send has passed");
  }
  if (now >= retry_at_ && !table_call_pending_ && step_ != step::finished) {
    return read();
  }
  return {};
}

time_point keyed_call::next_tick() const {
  time_point next = retry_at_;
  if ((step_ == step::reserving || step_ == step::marking) && table_deadline_) {
    next = std::min(next, *table_deadline_);
  }
  if (step_ == step::ready && send_until_) {
    next = std::min({next, *send_until_, facts_.deadline});
  }
  if (step_ == step::recording && record_deadline_) {
    next = std::min(next, *record_deadline_);
  }
  return step_ == step::finished ? time_point::max() : next;
}

// A paused process cannot detect that it was paused. The record in phase `sending` keeps other
// nodes from running the call, but only until the record expires. The permission to send therefore
// ends, by this node's own clock, long before the record expires.
bool keyed_call::may_send(time_point now) const {
  return step_ == step::ready && send_until_ && now < *send_until_ && now < facts_.deadline;
}

bool keyed_call::begin_send(time_point now) {
  if (!may_send(now)) {
    return false;
  }
  sent();
  return true;
}

void keyed_call::sent() {
  if (step_ == step::ready) {
    may_have_sent_ = true;
    step_ = step::sent;
  }
}

keyed_effects keyed_call::ended(time_point now, wall_time wall, execution how) {
  if (step_ == step::ready) {
    return abort_unsent(now, wall, "the target could not be reached");
  }
  if (step_ != step::sent) {
    return {};
  }
  if (how == execution::not_run) {
    keyed_effects out = reply({.what = keyed_reply::kind::not_run,
                               .reason = "refused by the target",
                               .retry_after = settings_.first_backoff});
    keyed_effects more = record_outcome(now, wall, record_phase::not_run);
    out.insert(out.end(), more.begin(), more.end());
    return out;
  }
  // The record stays in phase `sending`: a repeated call gets the reply that the call may have run.
  step_ = step::finished;
  return reply({.what = keyed_reply::kind::unknown, .reason = "no whole answer from the target"});
}

keyed_effects keyed_call::answered(time_point now, wall_time wall, const keyed_answer& answer) {
  if (step_ != step::sent) {
    return {};
  }
  record_.status = answer.status;
  record_.content_type = answer.content_type;
  record_.body_dropped = answer.body.size() > settings_.max_recorded_body_bytes;
  record_.body = record_.body_dropped ? content_hash(answer.body) : answer.body;
  keyed_effects out = reply({.what = keyed_reply::kind::done,
                             .status = answer.status,
                             .content_type = answer.content_type,
                             .body = answer.body});
  keyed_effects more = record_outcome(now, wall, record_phase::done);
  out.insert(out.end(), more.begin(), more.end());
  return out;
}

keyed_effects keyed_call::cancel(time_point now, wall_time wall, std::string reason) {
  const bool unsent = step_ == step::reserving || step_ == step::marking || step_ == step::ready;
  return unsent ? abort_unsent(now, wall, std::move(reason)) : keyed_effects{};
}

keyed_effects keyed_call::write(time_point now, wall_time wall, record_phase phase) {
  record_.phase = phase;
  record_.written_at = wall;
  record_.owner_call_end_deadline = wall + std::max(facts_.deadline - now, duration{0});
  record_.expires =
      record_.owner_call_end_deadline + settings_.max_reservation_to_send + settings_.retention;
  if (phase == record_phase::sending) {
    // The time limit for sending starts before the write to the table, which may take long.
    send_until_ = now + settings_.max_reservation_to_send;
  }
  written_value_ = encode(record_);
  may_have_written_ = true;
  table_call_pending_ = true;
  retry_at_ = time_point::max();
  return {table_write{table_key_, written_value_, row_version_}};
}

keyed_effects keyed_call::read() {
  table_call_pending_ = true;
  retry_at_ = time_point::max();
  return {table_read{table_key_}};
}

void keyed_call::retry_later(time_point now) {
  retry_at_ = now + backoff_;
  backoff_ = std::min(settings_.max_backoff, backoff_ * 2);
}

// Continues after the table was found to hold this call's record in the desired phase.
keyed_effects keyed_call::record_confirmed(time_point now, wall_time wall) {
  switch (step_) {
    case step::reserving:
      step_ = step::marking;
      return write(now, wall, record_phase::sending);
    case step::marking:
      step_ = step::ready;
      return may_send(now) ? keyed_effects{keyed_send{}}
                           : abort_unsent(now, wall, "the time to send has passed");
    case step::recording:
      step_ = step::finished;
      return {};
    default:
      return {};
  }
}

keyed_effects keyed_call::on_no_record(time_point now, wall_time wall) {
  if (step_ == step::marking) {
    // The table was restored from an older copy: its records of other calls may be stale, too.
    return abort_unsent(now, wall, "the record is gone from the table");
  }
  if (step_ == step::recording && record_.phase == record_phase::not_run) {
    step_ = step::finished;
    return {};
  }
  return write(now, wall, record_.phase);
}

keyed_effects keyed_call::on_own_record(time_point now, wall_time wall, record_phase phase) {
  return phase == record_.phase ? record_confirmed(now, wall) : write(now, wall, record_.phase);
}

keyed_effects keyed_call::on_other_record(time_point now, wall_time wall,
                                          const keyed_record& other) {
  if (step_ == step::recording) {
    step_ = step::finished;
    return {};
  }
  if (step_ == step::reserving) {
    const bool same_body = other.body_hash == facts_.body_hash;
    const bool has_lost_owner =
        other.phase == record_phase::reserved && same_body &&
        between(other.written_at, wall) >= settings_.reservation_takeover_age;
    const bool never_ran = other.phase == record_phase::not_run && same_body;
    if (other.expires <= wall || has_lost_owner || never_ran) {
      return write(now, wall, record_phase::reserved);
    }
  }
  // In step `marking`, another node took over the reservation while this one was paused. This node
  // will never send the call, but the other node may, so the call is not reported as not run.
  return reply_from_record(wall, other);
}

keyed_effects keyed_call::reply_from_record(wall_time wall, const keyed_record& other) {
  step_ = step::finished;
  if (other.body_hash != facts_.body_hash) {
    return reply({.what = keyed_reply::kind::conflict,
                  .reason = "the idempotency key was used with another request"});
  }
  if (other.phase == record_phase::done) {
    return reply({.what = keyed_reply::kind::done,
                  .status = other.status,
                  .content_type = other.content_type,
                  .body = other.body_dropped ? std::string{} : other.body,
                  .replayed = true,
                  .body_dropped = other.body_dropped});
  }
  const bool is_over = other.phase == record_phase::sending && wall > other.owner_call_end_deadline;
  if (is_over) {
    return reply({.what = keyed_reply::kind::unknown,
                  .reason = "an equal call was sent and its outcome was not recorded",
                  .replayed = true});
  }
  const duration open = between(wall, other.owner_call_end_deadline);
  return reply({.what = keyed_reply::kind::in_progress,
                .reason = "an equal call is running",
                .retry_after = std::clamp(open, settings_.first_backoff, settings_.max_backoff)});
}

// Ends a call that was not sent and never will be: leaves the steps in which may_send() could be
// true.
keyed_effects keyed_call::abort_unsent(time_point now, wall_time wall, std::string reason) {
  keyed_effects out = reply({.what = keyed_reply::kind::not_run,
                             .reason = std::move(reason),
                             .retry_after = settings_.table_retry_after});
  if (!may_have_written_) {
    step_ = step::finished;
    return out;
  }
  keyed_effects more = record_outcome(now, wall, record_phase::not_run);
  out.insert(out.end(), more.begin(), more.end());
  return out;
}

keyed_effects keyed_call::record_outcome(time_point now, wall_time wall, record_phase phase) {
  step_ = step::recording;
  record_deadline_ = now + settings_.outcome_write_timeout;
  record_.phase = phase;
  if (table_call_pending_) {
    written_value_.clear();  // the write in progress is outdated; its result triggers another write
    return {};
  }
  if (retry_at_ != time_point::max()) {
    return {};  // whether an earlier write took effect is unknown: the scheduled read comes first
  }
  return write(now, wall, phase);
}

keyed_effects keyed_call::reply(keyed_reply what) {
  if (std::exchange(replied_, true)) {
    return {};
  }
  return {std::move(what)};
}

}  // namespace arbutus
