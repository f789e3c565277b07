// Streams of a model: sent to a replica and forwarded event by event. If the replica breaks, the
// stream is resumed on another one.
//
// A replica or peer that has fallen silent has not broken: it may go on a second later. The run
// there stays, and a second one begins elsewhere if it can. The run that speaks first goes on, and
// the other one is ended.
#include <algorithm>
#include <boost/fiber/condition_variable.hpp>
#include <exception>
#include <mutex>
#include <optional>
#include <vector>

#include "node/handler_failure.h"
#include "node/hosted_parts.h"
#include "node/hosted_relay.h"
#include "node/log.h"
#include "node/poison_watch.h"
#include "node/replica_run.h"
#include "node/stream_step.h"
#include "request/event_relay.h"

namespace arbutus {

namespace {

// How long a stream that has begun waits for a replica after its run has broken. Callers leave
// after a pause of some two seconds.
constexpr duration takeover_wait = 1s;
constexpr duration takeover_poll_interval = 50ms;

class stream_call {
 public:
  stream_call(hosted_state& node, hosted_request& call)
      : node_(node),
        call_(call),
        model_(call.service->engine->find_model(call.fields.model)),
        last_id_(call.fields.resume_after) {}

  void run() {
    if (model_ == nullptr) {
      respond_locally(node_, call_, 503, retry_after_no_target, "no such model is configured");
      return;
    }
    call_.writer.on_caller_disconnect([this] {
      caller_disconnected_ = true;
      cancel_all_except(nullptr);
    });
    const run_guard guard(*this);
    const open_calls::registration open(node_.stop.calls, [this] { cancel_all_except(nullptr); });
    while (!ended_) {
      next_attempt();
      await_second_run();
    }
  }

 private:
  // A run in progress, at a replica or at a peer.
  class active_run {
   public:
    active_run(stream_call& owner, const target_id& at)
        : owner_(owner), registration_(owner.node_.attempts, at, [&owner] { owner.on_doubt(); }) {
      owner_.runs_.push_back(this);
      owner_.update_other_runs();
    }
    ~active_run() {
      std::erase(owner_.runs_, this);
      owner_.update_other_runs();
      if (owner_.speaker_ == this) {
        owner_.speaker_ = nullptr;
      }
    }
    active_run(const active_run&) = delete;
    active_run& operator=(const active_run&) = delete;
    active_run(active_run&&) = delete;
    active_run& operator=(active_run&&) = delete;

    cancel_token cancel = cancel_token::make();
    std::uint64_t forwarded_events = 0;

   private:
    stream_call& owner_;
    attempt_registry::registration registration_;
  };

  // Ends the runs and waits for their fibers, which refer to the call, also after an exception.
  class run_guard {
   public:
    explicit run_guard(stream_call& owner) : owner_(owner) {}
    ~run_guard() {
      owner_.ended_ = true;
      owner_.cancel_all_except(nullptr);
      owner_.await_second_run();
      owner_.call_.writer.on_caller_disconnect({});
    }
    run_guard(const run_guard&) = delete;
    run_guard& operator=(const run_guard&) = delete;
    run_guard(run_guard&&) = delete;
    run_guard& operator=(run_guard&&) = delete;

   private:
    stream_call& owner_;
  };

  void update_other_runs() {
    call_.other_runs = runs_.empty() ? 0 : static_cast<std::uint32_t>(runs_.size() - 1);
  }

  void cancel_all_except(const active_run* kept) {
    for (const active_run* run : runs_) {
      if (run != kept) {
        run->cancel.cancel();
      }
    }
  }

  // Lets this run alone answer from now on. False if another one does already.
  bool claim(active_run& run) {
    if (speaker_ == nullptr) {
      speaker_ = &run;
      cancel_all_except(&run);
    }
    return speaker_ == &run;
  }

  // Whether the caller is to get nothing of this run, since another one goes on.
  [[nodiscard]] bool is_superseded(const active_run& run) const {
    return speaker_ != nullptr && speaker_ != &run;
  }

  [[nodiscard]] bool is_only_run() const { return runs_.size() == 1; }

  void end_locally(const end_of_call& end) {
    ended_ = true;
    if (caller_disconnected_) {
      finish_call(node_, call_, "caller_gone", end.reason, 0);
    } else if (header_sent_) {
      // The connection closes without the last chunk, so the caller detects the truncation.
      finish_call(node_, call_, "cut", end.reason, 200);
    } else if (end.is_unfit) {
      respond_unfit(node_, call_, decline_reason::cut_off, end.retry_after, end.reason);
    } else {
      respond_locally(node_, call_, end.status, end.retry_after, end.reason);
    }
  }

  void next_attempt() {
    // Earlier attempts of the same request, here and on other nodes, may have had other request
    // ids. The fingerprint links them, so that a poison request is recognized.
    if (!await_poison_clearance(node_, call_)) {
      end_locally({503, retry_after_poison(node_, call_), poison_refusal_reason});
      return;
    }
    const time_point now = monotonic_now();
    const next_step step = choose_step(now);
    if (const auto* end = std::get_if<end_of_call>(&step)) {
      if (!may_wait_for(*end, now) || !sleep_until(now + takeover_poll_interval)) {
        end_locally(*end);
      }
    } else if (!may_send_again(node_, call_, now)) {
      end_locally({503, retry_after_no_target, last_reason_});
    } else {
      waiting_since_.reset();
      carry_out(step);
    }
  }

  // An answer that has not begun is refused at once; one that has begun would be cut.
  [[nodiscard]] bool may_wait_for(const end_of_call& end, time_point now) {
    if (!header_sent_ || !end.is_momentary) {
      return false;
    }
    waiting_since_ = waiting_since_.value_or(now);
    return now - *waiting_since_ < takeover_wait;
  }

  [[nodiscard]] next_step choose_step(time_point now) {
    if (caller_disconnected_) {
      return end_of_call{0, {}, "the caller has gone"};
    }
    if (node_.stop.must_end_calls(now)) {
      return end_of_call{503, retry_after_stopping, stopping_reason};
    }
    return choose_stream_step(node_, call_, *model_, avoided_, now);
  }

  void carry_out(const next_step& step) {
    if (const auto* send = std::get_if<send_to_replica>(&step)) {
      run_at_replica(*send);
    } else if (const auto* to = std::get_if<hand_over_to_peer>(&step)) {
      run_at_peer(to->peer);
    }
  }

  // ---- a second run beside one that has fallen silent ----

  // The only run is silent, or will not go on for all that this node knows.
  void on_doubt() {
    const bool can_begin = call_.matched_route->repeatable() && is_only_run() &&
                           !searching_second_run_ && !forwarding_ && !ended_ &&
                           !caller_disconnected_;
    if (!can_begin) {
      return;
    }
    speaker_ = nullptr;
    searching_second_run_ = true;
    ++second_run_fibers_;
    node_.runtime.post(0, [this, doubted = runs_.front()] {
      try {
        run_beside(doubted);
      } catch (const std::exception& failure) {
        log_handler_failure(call_.raw_request, failure.what());
      }
      const std::lock_guard guard(second_run_lock_);
      --second_run_fibers_;
      second_run_ended_.notify_all();
    });
  }

  // Whether the doubted run is still the only one, and as silent as before.
  [[nodiscard]] bool needs_second_run(const active_run* doubted) const {
    return is_only_run() && runs_.front() == doubted && speaker_ == nullptr && !ended_ &&
           !caller_disconnected_;
  }

  void run_beside(const active_run* doubted) {
    std::string_view noted;
    while (needs_second_run(doubted)) {
      searching_second_run_ = true;
      const next_step step = find_second_run(doubted);
      const auto* end = std::get_if<end_of_call>(&step);
      if (end == nullptr) {
        note_second_run("begun", {});
        // The run that begins now may fall silent as well.
        searching_second_run_ = false;
        carry_out(step);
        continue;
      }
      if (end->reason != noted) {
        noted = end->reason;
        note_second_run("none", end->reason);
      }
      if (!end->is_momentary || !sleep_until(monotonic_now() + takeover_poll_interval)) {
        break;
      }
    }
    searching_second_run_ = false;
  }

  [[nodiscard]] next_step find_second_run(const active_run* doubted) {
    if (!await_poison_clearance(node_, call_)) {
      return end_of_call{503, {}, poison_refusal_reason};
    }
    const time_point now = monotonic_now();
    next_step step = choose_step(now);
    const bool is_place = !std::holds_alternative<end_of_call>(step);
    if (is_place && !needs_second_run(doubted)) {
      return end_of_call{503, {}, "the first run goes on"};
    }
    if (is_place && !may_run_beside(node_, call_, now, silence(now))) {
      return end_of_call{503, {}, "no further run is allowed"};
    }
    return step;
  }

  // Time since the last event, or since the newest run began.
  [[nodiscard]] duration silence(time_point now) const {
    return now - std::max(call_.last_event_at, begun_at_);
  }

  void note_second_run(std::string_view result, std::string_view reason) {
    node_.metrics.count("arbutusworks_second_runs", "result=\"" + std::string(result) + "\"");
    if (call_.writes_log_lines) {
      log_line(log_level::info, "request", "silent run",
               {{"request", call_.fields.id},
                {"targets", call_.tried_targets},
                {"second_run", result},
                {"reason", reason},
                {"last_event", last_id_},
                {"silent_ms", to_milliseconds(silence(monotonic_now()))}});
    }
  }

  void await_second_run() {
    std::unique_lock lock(second_run_lock_);
    second_run_ended_.wait(lock, [this] { return second_run_fibers_ == 0; });
  }

  // ---- runs ----

  void run_at_replica(const send_to_replica& to) {
    avoided_.push_back(to.replica.head);
    active_run active(*this, to.replica.head);
    replica_run run(node_, call_, to.replica, to.expected, last_id_, [&](std::string_view events) {
      return forward(active, run.relay(), run.headers(), run.head(), events);
    });
    begun_at_ = monotonic_now();
    const run_result how = run.run(active.cancel);
    handle_result(active, run, how);
  }

  void handle_result(active_run& active, replica_run& run, run_result how) {
    if (how == run_result::complete && claim(active)) {
      mark_request_harmless(node_, call_);
      mark_blocks_harmless(node_, call_, run.first_event_at(), run.last_event_at(), true);
      if (call_.writes_log_lines) {
        log_line(log_level::debug, "request", "run ended",
                 {{"request", call_.fields.id},
                  {"target", run.head()},
                  {"expected_first_ms", to_milliseconds(run.expected_first_event())},
                  {"first_ms", to_milliseconds(run.time_to_first_event())}});
      }
      end_stream(run.headers(), run.head(), run.relay().held_back());
      return;
    }
    if (how == run_result::failed) {
      mark_request_harmless(node_, call_);
      const answer_use use = use_of_failure(run);
      if (use != answer_use::try_another && !header_sent_ && is_only_run()) {
        end_with_failure(run, use);
        return;
      }
    }
    run.update_strikes(how);
    if (how == run_result::key_withdrawn && is_only_run()) {
      end_locally({503, retry_after_stale(node_, monotonic_now()), run.reason()});
      return;
    }
    const bool may_have_run =
        how == run_result::broken || how == run_result::failed || how == run_result::complete;
    call_.possible_runs += may_have_run ? 1 : 0;
    last_reason_ = is_superseded(active) ? superseded_reason : run.reason();
    log_ended_run(run, may_have_run);
  }

  // A request whose failure the target reports counts as run.
  [[nodiscard]] answer_use use_of_failure(const replica_run& run) const {
    const bool can_try_again = call_.possible_runs + 1 < call_.matched_route->max_attempts;
    return use_of(run.kind(), run.status(), progress_of(call_), can_try_again);
  }

  void end_with_failure(const replica_run& run, answer_use use) {
    ended_ = true;
    if (use == answer_use::replace) {
      ++call_.possible_runs;
      last_reason_ = no_proof_reason;
      log_ended_run(run, true);
      replace_failure(node_, call_, run.status());
      return;
    }
    call_.writer.send(run.status(), answer_headers(call_, run.headers(), run.head()),
                      run.failure_body());
    finish_call(node_, call_, "failed", "the target's own failure", run.status());
  }

  void log_ended_run(const replica_run& run, bool may_have_run) {
    const std::string_view ran = may_have_run ? "perhaps" : "no";
    if (call_.writes_log_lines) {
      const bool had_event = run.first_event_at() != time_point{};
      log_line(log_level::info, "request", "attempt ended",
               {{"request", call_.fields.id},
                {"target", run.head()},
                {"reason", last_reason_},
                {"status", run.status()},
                {"ran", ran},
                {"print", hash_text(call_.fingerprint)},
                {"answered", run.answered()},
                {"expected_first_ms", to_milliseconds(run.expected_first_event())},
                {"first_ms", to_milliseconds(run.time_to_first_event())},
                {"running_ms",
                 had_event ? to_milliseconds(monotonic_now() - run.first_event_at()) : 0.0},
                {"last_event", last_id_},
                {"sends", call_.possible_sends}});
    }
    node_.metrics.count(
        "arbutusworks_attempts_broken",
        "ran=\"" + std::string(ran) + "\",answered=\"" + std::string(run.answered()) + "\"");
  }

  // Hands the request over to a peer, which goes on after the last event received.
  void run_at_peer(const node_record& peer) {
    active_run active(*this, relay_attempt_id(peer.id));
    event_relay relay(last_id_);
    held_bytes held(&node_.buffers);
    http_headers headers;
    const relay_sink sink{
        [&headers](int, const http_headers& received) {
          headers = received;
          return true;
        },
        [&](std::string_view bytes) {
          const std::string_view events = relay.take(bytes);
          held.set(relay.buffered_bytes() + events.size());
          if (!events.empty()) {
            note_peer_event(peer.id);
          }
          return (events.empty() || forward(active, relay, headers, {}, events)) &&
                 relay.fault() == event_fault::none;
        }};
    begun_at_ = monotonic_now();
    const relay_answer answer = hand_over(node_, call_, peer, last_id_, active.cancel, sink);
    finish_relay(active, answer, headers, relay);
  }

  void note_peer_event(const node_id& peer) {
    call_.last_event_at = monotonic_now();
    if (call_.first_event_at == time_point{}) {
      call_.first_event_at = call_.last_event_at;
    }
    node_.relays.heard(call_.last_event_at, peer);
  }

  void finish_relay(active_run& active, const relay_answer& answer, const http_headers& headers,
                    const event_relay& relay) {
    const bool streamed = answer.outcome == relay_outcome::answered && answer.status == 200;
    if (streamed && !relay.inside_event() && claim(active)) {
      end_stream(headers, {}, relay.held_back());
      return;
    }
    const bool goes_on = streamed || answer.outcome == relay_outcome::not_taken ||
                         answer.outcome == relay_outcome::broken;
    if (goes_on || !is_only_run()) {
      last_reason_ = is_superseded(active) ? superseded_reason
                     : streamed            ? "the stream ended inside an event"
                                           : answer.reason;
      call_.possible_runs += streamed ? 1 : 0;
    } else if (header_sent_ || caller_disconnected_) {
      end_locally({answer.status, {}, refused_by_peer_reason});
    } else {
      ended_ = true;
      pass_on(node_, call_, answer);
    }
  }

  // ---- the answer ----

  // Forwards whole events of the run that `relay` has received them from.
  bool forward(active_run& run, const event_relay& relay, const http_headers& headers,
               const target_id& target, std::string_view events) {
    if (!claim(run)) {
      return false;
    }
    last_id_ = relay.last_id();
    call_.forwarded_events += relay.events() - run.forwarded_events;
    run.forwarded_events = relay.events();
    forwarding_ = true;
    const bool reached = start_answer(headers, target) && call_.writer.write(events);
    forwarding_ = false;
    caller_disconnected_ = caller_disconnected_ || !reached;
    return reached;
  }

  bool start_answer(const http_headers& headers, const target_id& target) {
    if (header_sent_) {
      return true;
    }
    header_sent_ = true;
    return call_.writer.start(200, answer_headers(call_, headers, target));
  }

  // `last_bytes`: what followed the last event.
  void end_stream(const http_headers& headers, const target_id& target,
                  std::string_view last_bytes) {
    ended_ = true;
    start_answer(headers, target);
    const bool reached = call_.writer.write(last_bytes) && call_.writer.finish();
    finish_call(node_, call_, reached ? "done" : "caller_gone", "", 200);
  }

  static constexpr std::string_view superseded_reason = "another run went on first";

  hosted_state& node_;
  hosted_request& call_;
  const model_spec* model_;
  std::string last_id_;    // of the last event forwarded, or that the caller already had
  time_point begun_at_{};  // when the newest run began
  std::optional<time_point> waiting_since_;  // for a replica, without a run in progress
  std::vector<target_id> avoided_;           // heads of all runs, also of those in progress
  std::string_view last_reason_ = "no attempt was made";
  bool caller_disconnected_ = false;
  bool header_sent_ = false;  // the header of the response was sent to the caller
  bool forwarding_ = false;   // a write to the caller is in progress
  bool ended_ = false;

  std::vector<active_run*> runs_;      // in progress: at most two
  active_run* speaker_ = nullptr;      // the run that answers; null: whichever speaks first
  bool searching_second_run_ = false;  // one of the fibers looks for a place
  std::size_t second_run_fibers_ = 0;  // that refer to this object
  boost::fibers::mutex second_run_lock_;
  boost::fibers::condition_variable second_run_ended_;
};

}  // namespace

void serve_stream(hosted_state& node, hosted_request& call) {
  stream_call(node, call).run();
}

}  // namespace arbutus
