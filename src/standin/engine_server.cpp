// HTTP interface of a stand-in engine: its paths, and responses that wait while it is paused.
#include "standin/engine_server.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "process/engine_wire.h"
#include "standin/fault_commands.h"
#include "standin/standin_http.h"

namespace arbutus::standin {

namespace {

using json = nlohmann::json;

const http_headers json_content{{"content-type", "application/json"}};

std::string hexadecimal(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

std::uint64_t number(std::string_view text, int base) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value, base);
  return value;
}

}  // namespace

engine_server::engine_server(fiber_runtime& runtime, const socket_address& address,
                             std::mutex& mutex, engine_standin& engine)
    : mutex_(mutex),
      engine_(engine),
      server_(runtime, address, [this](const http_request& request, response_writer& writer) {
        handle(request, writer);
      }) {}

void engine_server::handle(const http_request& request, response_writer& writer) {
  if (handle_control_request(request, writer)) {
    return;
  }
  const time_point received_at = monotonic_now();
  if (!wait_while_paused(writer)) {
    return;
  }
  const std::string& path = request.target;
  if (path == "/report") {
    report(writer);
  } else if (path == "/order") {
    handle_order(request, received_at, writer);
  } else if (path == "/v1/completions") {
    complete(completion_kind::text, request, writer);
  } else if (path == "/v1/chat/completions") {
    complete(completion_kind::chat, request, writer);
  } else if (const auto id = after(path, "/cancel/")) {
    cancel(*id, writer);
  } else if (const auto since = after(path, "/cache-events?since=")) {
    cache_events(*since, writer);
  } else if (const auto block = after(path, "/kv/")) {
    kv(request, *block, writer);
  } else {
    send(writer, 404, json_content, R"({"error":{"type":"not_run","message":"no such path"}})");
  }
}

bool engine_server::handle_control_request(const http_request& request, response_writer& writer) {
  if (request.target == "/faults") {
    std::unique_lock lock(mutex_);
    const auto result = set_faults(engine_, monotonic_now(), request.body);
    lock.unlock();
    send_fault_result(writer, result);
    return true;
  }
  if (request.target == "/counters") {
    std::unique_lock lock(mutex_);
    const std::string body = encode(engine_.counters());
    lock.unlock();
    send_json(writer, 200, body);
    return true;
  }
  return false;
}

bool engine_server::wait_while_paused(response_writer& writer) {
  return wait_while(writer, [this] {
    const std::lock_guard lock(mutex_);
    return engine_.paused();
  });
}

bool engine_server::wait_until_responsive(response_writer& writer) {
  return wait_while(writer, [this] {
    const std::lock_guard lock(mutex_);
    return engine_.paused() || engine_.unresponsive();
  });
}

void engine_server::send(response_writer& writer, int status, const http_headers& headers,
                         std::string_view body) {
  if (wait_until_responsive(writer)) {
    writer.send(status, headers, body);
  }
}

void engine_server::send_not_run(response_writer& writer, const not_run& refusal,
                                 const http_headers& more_headers) {
  const json body = {{"error", {{"type", "not_run"}, {"message", refusal.reason}}}};
  http_headers headers = json_content;
  for (const auto& [name, value] : more_headers) {
    headers.add(name, value);
  }
  send(writer, refusal.status, headers, body.dump());
}

void engine_server::report(response_writer& writer) {
  std::unique_lock lock(mutex_);
  const std::string body = encode(engine_.report(monotonic_now()));
  lock.unlock();
  send(writer, 200, json_content, body);
}

void engine_server::handle_order(const http_request& request, time_point received_at,
                                 response_writer& writer) {
  const outcome<order> decoded = decode_order(request.body);
  if (!is_ok(decoded)) {
    send_error(writer, 400, "invalid", "malformed order");
    return;
  }
  std::unique_lock lock(mutex_);
  const order_reply reply = engine_.apply(monotonic_now(), std::get<order>(decoded), received_at);
  lock.unlock();
  http_headers headers = json_content;
  if (!reply.accepted) {
    headers.add("x-reason", reply.reason);
  }
  send(writer, reply.accepted ? 200 : 409, headers, encode(reply.report));
}

void engine_server::cancel(const std::string& id, response_writer& writer) {
  std::unique_lock lock(mutex_);
  const bool done = engine_.cancel(monotonic_now(), request_id{id});
  lock.unlock();
  send(writer, 200, json_content, done ? R"({"cancelled":true})" : R"({"cancelled":false})");
}

void engine_server::cache_events(const std::string& since, response_writer& writer) {
  std::unique_lock lock(mutex_);
  const auto events = engine_.cache().events(monotonic_now(), number(since, 10));
  lock.unlock();
  json list = json::array();
  for (const cache_event& e : events) {
    list.push_back({{"seq", e.sequence},
                    {"kind", e.change == cache_change::stored ? "stored" : "removed"},
                    {"block", hexadecimal(e.block)}});
  }
  send(writer, 200, json_content, json{{"events", list}}.dump());
}

void engine_server::kv(const http_request& request, const std::string& block,
                       response_writer& writer) {
  std::unique_lock lock(mutex_);
  if (request.method == "PUT") {
    const bool taken = engine_.cache().import_prefix(monotonic_now(), request.body);
    lock.unlock();
    send(writer, taken ? 200 : 400, json_content, "{}");
    return;
  }
  const std::string blob = engine_.cache().export_prefix(number(block, 16));
  lock.unlock();
  send(writer, blob.empty() ? 404 : 200, {{"content-type", "application/octet-stream"}}, blob);
}

}  // namespace arbutus::standin
