// One run of a streamed call at a replica: sends the request, hands the events on as they arrive,
// and finds out how the run ended.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "node/hosted_parts.h"
#include "request/event_relay.h"
#include "request/replica_choice.h"

namespace arbutus {

// How a run ended.
enum class run_result : std::uint8_t {
  complete,       // the target sent its whole stream
  failed,         // the target sent a complete answer that is not a success
  not_run,        // the target did not run the request
  not_sent,       // no byte was sent
  broken,         // the request may have run in part
  key_withdrawn,  // the caller's key was revoked before the request was sent
};

class replica_run {
 public:
  // Forwards whole events; false abandons the run.
  using event_handler = std::function<bool(std::string_view events)>;

  // The run goes on behind the event `resume_after`. `node` and `call` outlive it.
  replica_run(hosted_state& node, hosted_request& call, serving_replica replica,
              const replica_estimate& expected, const std::string& resume_after,
              event_handler forward)
      : node_(node),
        call_(call),
        replica_(std::move(replica)),
        expected_(expected),
        relay_(resume_after),
        forward_(std::move(forward)) {}

  // Sends the request and returns when the run has ended. Called once per object.
  [[nodiscard]] run_result run(const cancel_token& cancel);

  // Clears the request if this run lasted long enough. Otherwise, if the target closed the
  // connection shortly after the start, checks whether that is a strike against the request.
  void update_strikes(run_result how);

  [[nodiscard]] const target_id& head() const { return replica_.head; }
  [[nodiscard]] const event_relay& relay() const { return relay_; }
  [[nodiscard]] time_point first_event_at() const { return first_event_at_; }
  // Zero if there was no first event.
  [[nodiscard]] duration time_to_first_event() const {
    return had_first_event() ? first_event_at_ - sent_at_ : duration{};
  }
  [[nodiscard]] duration expected_first_event() const { return expected_.to_first_event; }
  [[nodiscard]] time_point last_event_at() const { return last_event_at_; }
  // Why the run did not complete.
  [[nodiscard]] std::string_view reason() const { return reason_; }
  // What had been received from the target: "events", "head" or "nothing".
  [[nodiscard]] std::string_view answered() const;
  // The target's answer. Its body is kept only if it is not a success.
  [[nodiscard]] int status() const { return status_; }
  [[nodiscard]] answer_kind kind() const { return answer_.kind; }
  [[nodiscard]] const http_headers& headers() const { return headers_; }
  [[nodiscard]] const std::string& failure_body() const { return failure_body_; }

 private:
  [[nodiscard]] forwarded_fields fields_to_forward() const;
  [[nodiscard]] bool is_send_permitted();
  bool on_head(int status, const http_headers& headers);
  bool on_bytes(std::string_view bytes);
  [[nodiscard]] bool is_overdue(time_point now) const;
  void note_event(time_point now);
  void note_first_event(time_point now);
  void calibrate(time_point now);
  [[nodiscard]] run_result read_end(const call_result& result);
  void note_oversized_answer(const call_result& result);
  [[nodiscard]] run_result read_unsent(const call_result& result);
  [[nodiscard]] bool is_full() const;
  [[nodiscard]] bool had_first_event() const { return first_event_at_ != time_point{}; }

  hosted_state& node_;
  hosted_request& call_;
  serving_replica replica_;
  replica_estimate expected_;
  event_relay relay_;
  held_bytes held_{&node_.buffers};  // of relay_
  event_handler forward_;

  send_permission permission_ = send_permission::granted;  // as last checked before sending
  time_point sent_at_{};
  time_point first_event_at_{};
  time_point last_event_at_{};
  time_point bytes_without_event_at_{};  // first bytes behind the last event; zero: none
  bool overdue_ = false;                 // such bytes came for too long
  bool connection_lost_ = false;         // the target closed or reset the connection
  response_fields answer_;
  int status_ = 0;
  http_headers headers_;
  std::string failure_body_;
  std::string_view reason_;
};

}  // namespace arbutus
