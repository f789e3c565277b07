// Completions of a stand-in engine over HTTP. Each has one fiber, which wakes when its next token
// is due.
#include <algorithm>

#include "standin/engine_server.h"
#include "standin/standin_http.h"

namespace arbutus::standin {

namespace {

// Closes a request when the handler ends, which releases its slot, also when its caller has
// disconnected.
class request_closer {
 public:
  request_closer(std::mutex& mutex, engine_standin& engine, batch_handle handle)
      : mutex_(mutex), engine_(engine), handle_(handle) {}
  ~request_closer() { close(); }
  request_closer(const request_closer&) = delete;
  request_closer& operator=(const request_closer&) = delete;

  void close() {
    const std::lock_guard lock(mutex_);
    engine_.close(monotonic_now(), handle_);
  }

 private:
  std::mutex& mutex_;
  engine_standin& engine_;
  batch_handle handle_;
};

http_headers answer_headers(const completion_call& call, const request_id& id) {
  http_headers headers{{"content-type", call.stream ? "text/event-stream" : "application/json"},
                       {"x-request-id", id.str()}};
  if (!call.request.replica.empty()) {
    headers.add("x-replica", call.request.replica.str());
  }
  if (!call.request.fencing_generation.empty()) {
    headers.add("x-generation", call.request.fencing_generation);
  }
  return headers;
}

// Writes the tokens of one answer to the caller's connection as they are generated.
class answer_sender {
 public:
  answer_sender(const completion_call& call, response_writer& writer, bool leaving)
      : call_(call), writer_(writer), leaving_(leaving) {}

  // Sends the tokens of one step; false if nothing more can be sent.
  bool send(const stream_step& step) {
    if (step.state == stream_state::open && step.tokens.empty()) {
      return true;
    }
    if (step.tokens.empty() && step.state == stream_state::cut) {
      close_if_not_started();
      return false;
    }
    if (!wire_) {
      wire_.emplace(call_, step.response_id);
    }
    return call_.stream ? send_frames(step) : send_body(step);
  }

 private:
  void close_if_not_started() {
    if (!writer_.started()) {
      close_without_response(writer_);
    }
  }

  bool send_frames(const stream_step& step) {
    if (!writer_.started() && !writer_.start(200, headers_of_answer(step.response_id))) {
      return false;
    }
    std::string text = wire_->frames(step.tokens);
    if (step.state == stream_state::finished) {
      text += wire_->end();
    }
    return writer_.write(text) && (step.state != stream_state::finished || writer_.finish());
  }

  // Sends the body of an answer without streaming. Of a truncated answer it sends half, and the
  // connection then closes.
  bool send_body(const stream_step& step) {
    const http_headers headers = headers_of_answer(step.response_id);
    const std::string body = wire_->body(step.tokens);
    if (step.state == stream_state::finished) {
      return writer_.send(200, headers, body);
    }
    return writer_.start(200, headers) &&
           writer_.write(std::string_view(body).substr(0, body.size() / 2));
  }

  [[nodiscard]] http_headers headers_of_answer(const request_id& id) const {
    http_headers headers = answer_headers(call_, id);
    if (leaving_) {
      headers.add("Server-Leaving", "1");
    }
    return headers;
  }

  const completion_call& call_;
  response_writer& writer_;
  bool leaving_;                           // the engine says in its answers that it is leaving
  std::optional<completion_writer> wire_;  // empty until the first token is sent
};

}  // namespace

void engine_server::complete(completion_kind kind, const http_request& request,
                             response_writer& writer) {
  const outcome<completion_call> parsed = parse_completion(kind, request);
  if (!is_ok(parsed)) {
    send_not_run(writer, {400, std::get<refused>(parsed).reason});
    return;
  }
  const auto& call = std::get<completion_call>(parsed);
  std::unique_lock lock(mutex_);
  if (const auto backoff = engine_.backoff()) {
    engine_.count_turned_away();
    lock.unlock();
    send_not_run(writer, {503, "asks for a backoff"},
                 {{"Retry-After", std::to_string(to_seconds(*backoff))}});
    return;
  }
  const auto submitted = engine_.submit(monotonic_now(), call.request);
  lock.unlock();
  if (const auto* refusal = std::get_if<not_run>(&submitted)) {
    send_not_run(writer, *refusal);
    return;
  }
  answer(call, std::get<batch_handle>(submitted), writer);
}

bool engine_server::says_leaving() {
  const std::lock_guard lock(mutex_);
  return engine_.says_leaving();
}

void engine_server::answer(const completion_call& call, batch_handle handle,
                           response_writer& writer) {
  request_closer closer(mutex_, engine_, handle);
  answer_sender sender(call, writer, says_leaving());
  writer.on_caller_disconnect([&closer] { closer.close(); });
  while (wait_until_responsive(writer)) {
    std::unique_lock lock(mutex_);
    const stream_step step = engine_.take(monotonic_now(), handle, !call.stream);
    lock.unlock();
    if (step.state == stream_state::expired) {
      send_not_run(writer, {503, "deadline passed in the queue"});
      return;
    }
    if (!sender.send(step) || step.state != stream_state::open) {
      return;
    }
    const time_point poll_at = monotonic_now() + fault_poll_interval;
    if (!wait_until(writer, std::min(step.next_at.value_or(poll_at), poll_at))) {
      return;
    }
  }
}

}  // namespace arbutus::standin
