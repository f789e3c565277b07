// Makes one call over HTTP and reads its answer.
#include "load/caller.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "connection/clock.h"
#include "node/sse.h"

namespace arbutus {

namespace {

using json = nlohmann::json;

constexpr int status_ok = 200;
constexpr std::string_view data_prefix = "data: ";

void read_error(const json& body, raw_answer& raw) {
  raw.error_type = "unknown";
  if (!body.is_object() || !body.contains("error") || !body["error"].is_object()) {
    return;
  }
  raw.error_type = body["error"].value("type", "unknown");
  raw.error_code = body["error"].value("code", "");
}

std::string text_of(const json& body) {
  const auto choices = body.find("choices");
  if (choices == body.end() || !choices->is_array() || choices->empty()) {
    return {};
  }
  return choices->front().value("text", "");
}

http_request request_of(const call_address& to, const model_id& model,
                        const std::string& booking_path, const planned_call& call) {
  http_request request;
  request.method = "POST";
  request.headers.add("authorization", "Bearer " + to.workspace_key);
  request.headers.add("content-type", "application/json");
  if (!to.request_class.empty()) {
    request.headers.add("x-class", to.request_class);
  }
  if (!to.request_id.empty()) {
    request.headers.add("x-request-id", to.request_id);
  }
  if (call.kind == call_kind::booking) {
    request.target = booking_path;
    request.headers.add("idempotency-key", call.prompt);
    request.body = guarantee_checker::booking_body(call.prompt);
    return request;
  }
  request.target = "/v1/completions";
  const json body = {{"model", model.str()},
                     {"prompt", call.prompt},
                     {"max_tokens", call.answer_tokens},
                     {"stream", call.kind == call_kind::streamed}};
  request.body = body.dump();
  return request;
}

// Parses the bytes of one answer as they arrive, and records the time of the first token.
class answer_reader {
 public:
  explicit answer_reader(const planned_call& call) : call_(call) {}

  bool on_headers(int status, const http_headers& headers) {
    answer_.raw.status = status;
    if (const auto id = headers.find("x-request-id")) {
      answer_.raw.id = request_id{std::string(*id)};
    }
    return true;
  }

  bool on_bytes(std::string_view bytes) {
    if (call_.kind != call_kind::streamed || answer_.raw.status != status_ok) {
      body_.append(bytes);
      return true;
    }
    splitter_.append(bytes);
    while (const auto frame = splitter_.next()) {
      on_frame(*frame);
    }
    return true;
  }

  timed_answer finish(const call_result& result) {
    answer_.ended = monotonic_now();
    raw_answer& raw = answer_.raw;
    raw.may_have_been_sent = result.outcome != call_outcome::not_sent;
    if (raw.status != status_ok) {
      read_error(json::parse(body_, nullptr, false), raw);
    } else if (call_.kind == call_kind::booking) {
      raw.marked_complete = result.ok();
      raw.text = std::move(body_);
    } else if (call_.kind == call_kind::buffered && result.ok()) {
      const json body = json::parse(body_, nullptr, false);
      raw.marked_complete = body.is_object() && body.contains("choices");
      raw.text = raw.marked_complete ? text_of(body) : std::string();
    }
    return std::move(answer_);
  }

 private:
  void on_frame(std::string_view frame) {
    frame.remove_prefix(std::min(frame.size(), data_prefix.size()));
    if (frame.starts_with("[DONE]")) {
      answer_.raw.marked_complete = true;
      return;
    }
    const json body = json::parse(frame, nullptr, false);
    if (!body.is_object()) {
      return;
    }
    if (body.contains("error")) {
      read_error(body, answer_.raw);
      return;
    }
    const std::string text = text_of(body);
    if (text.empty()) {
      return;
    }
    if (answer_.first_token == time_point::min()) {
      answer_.first_token = monotonic_now();
    }
    ++answer_.tokens;
    answer_.raw.text += text;
  }

  const planned_call& call_;
  sse_splitter splitter_;
  std::string body_;
  timed_answer answer_;
};

}  // namespace

timed_answer make_call(http_client& client, const call_address& to, const model_id& model,
                       const std::string& booking_path, const planned_call& call,
                       time_point deadline) {
  answer_reader reader(call);
  const call_result result = client.stream(
      to.target, request_of(to, model, booking_path, call), deadline,
      [&](int status, const http_headers& headers) { return reader.on_headers(status, headers); },
      [&](std::string_view bytes) { return reader.on_bytes(bytes); });
  return reader.finish(result);
}

}  // namespace arbutus
