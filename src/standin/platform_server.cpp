// HTTP interface of the stand-in platform.
#include "standin/platform_server.h"

#include <nlohmann/json.hpp>

#include "standin/fault_commands.h"
#include "standin/standin_http.h"

namespace arbutus::standin {

namespace {

using json = nlohmann::json;

int http_status(store_status status) {
  switch (status) {
    case store_status::ok:
      return 200;
    case store_status::missing:
      return 404;
    case store_status::conflict:
      return 412;
    case store_status::limited:
      return 429;
    case store_status::down:
    case store_status::no_response:
      return 503;
  }
  return 500;
}

// Sends the result of a call to the table or the object store after that store's latency.
void reply(response_writer& writer, store_status status, duration latency,
           const http_headers& headers, std::string_view body) {
  if (latency > duration{} && !wait_for(writer, latency)) {
    return;
  }
  if (status == store_status::no_response) {
    close_without_response(writer);
  } else {
    writer.send(http_status(status), headers, body);
  }
}

// Sends the result of a table call. The value of a row is sent on reads only; a writer gets the
// version and can read the row.
void reply(response_writer& writer, const table_reply& r, bool with_value) {
  http_headers headers{{"content-type", "application/octet-stream"}};
  if (r.status == store_status::ok || r.status == store_status::conflict) {
    headers.add("x-row-version", std::to_string(r.row.version));
  }
  const std::string_view body = with_value ? std::string_view(r.row.value) : std::string_view{};
  reply(writer, r.status, r.latency, headers, body);
}

data_centre_id caller_of(const http_request& request) {
  return data_centre_id{header_text(request, "x-data-centre")};
}

outcome<faults_applied> set_platform_faults(platform_standin& platform, time_point now,
                                            std::string_view text) {
  const json command = json::parse(text, nullptr, false);
  if (!command.is_object()) {
    return refused{"not a JSON object"};
  }
  outcome<faults_applied> result = faults_applied{};
  for (const auto& [name, value] : command.items()) {
    if (name == "table") {
      result = set_faults(platform.table.faults(), now, value.dump());
    } else if (name == "objects") {
      result = set_faults(platform.objects.faults(), now, value.dump());
    } else if (name == "vm_list_lag_ms" && value.is_number()) {
      platform.vms.set_lag(from_seconds(value.get<double>() / 1000.0));
    } else {
      result = refused{"no such fault: " + name};
    }
    if (!is_ok(result)) {
      break;
    }
  }
  return result;
}

}  // namespace

platform_server::platform_server(fiber_runtime& runtime, const socket_address& address,
                                 platform_standin& platform, fault_handler other_faults)
    : platform_(platform), other_faults_(std::move(other_faults)) {
  server_ = std::make_unique<http_server>(
      runtime, address, http_server_limits{},
      [this](const http_request& request, response_writer& writer) { handle(request, writer); });
}

void platform_server::handle(const http_request& request, response_writer& writer) {
  if (const auto key = after(request.target, "/table/")) {
    table(request, *key, writer);
  } else if (const auto prefix = after(request.target, "/table-list/")) {
    list(request, *prefix, writer);
  } else if (const auto name = after(request.target, "/objects/")) {
    objects(request, *name, writer);
  } else if (request.target == "/vms") {
    vms(request, writer);
  } else if (request.target == "/faults") {
    faults(request, writer);
  } else if (request.target == "/snapshot" || request.target == "/restore") {
    snapshot_or_restore(request.target == "/restore", writer);
  } else if (request.target == "/counters") {
    counters(writer);
  } else if (request.target.starts_with("/faults/") && other_faults_) {
    other_faults_(request, writer);
  } else {
    send_error(writer, 404, "invalid", "no such path");
  }
}

void platform_server::table(const http_request& request, const std::string& key,
                            response_writer& writer) {
  constexpr std::uint64_t none = ~std::uint64_t{0};
  const std::uint64_t expected = header_number(request, "if-match", none);
  const bool writes = request.method == "PUT" || request.method == "DELETE";
  if (writes && expected == none) {
    send_error(writer, 428, "invalid", "if-match is missing");
    return;
  }
  const data_centre_id from = caller_of(request);
  std::unique_lock lock(platform_.mutex);
  const time_point now = monotonic_now();
  table_reply result;
  if (request.method == "PUT") {
    result = platform_.table.write(now, key, request.body, expected, from);
  } else if (request.method == "DELETE") {
    result = platform_.table.erase(now, key, expected, from);
  } else {
    result = platform_.table.read(now, key, from);
  }
  lock.unlock();
  reply(writer, result, !writes);
}

void platform_server::list(const http_request& request, const std::string& prefix,
                           response_writer& writer) {
  std::unique_lock lock(platform_.mutex);
  const auto result = platform_.table.list(monotonic_now(), prefix, caller_of(request));
  lock.unlock();
  reply(writer, result.status, result.latency, {{"content-type", "application/json"}},
        json(result.keys).dump());
}

void platform_server::objects(const http_request& request, const std::string& name,
                              response_writer& writer) {
  const data_centre_id from = caller_of(request);
  std::unique_lock lock(platform_.mutex);
  const time_point now = monotonic_now();
  const object_reply result = request.method == "PUT"
                                  ? platform_.objects.put(now, name, request.body, from)
                                  : platform_.objects.get(now, name, from);
  lock.unlock();
  reply(writer, result.status, result.latency, {{"content-type", "application/octet-stream"}},
        result.content);
}

void platform_server::vms(const http_request& request, response_writer& writer) {
  std::unique_lock lock(platform_.mutex);
  const bool unreachable = platform_.table.faults().cut_off.contains(caller_of(request));
  const auto entries = platform_.vms.read(monotonic_now());
  lock.unlock();
  if (unreachable) {
    close_without_response(writer);
    return;
  }
  json list = json::array();
  for (const vm_list_entry& e : entries) {
    list.push_back({{"vm", e.vm.str()}, {"leaving", e.leaving}});
  }
  send_json(writer, 200, list.dump());
}

void platform_server::faults(const http_request& request, response_writer& writer) {
  std::unique_lock lock(platform_.mutex);
  const auto result = set_platform_faults(platform_, monotonic_now(), request.body);
  lock.unlock();
  send_fault_result(writer, result);
}

void platform_server::snapshot_or_restore(bool restore, response_writer& writer) {
  std::unique_lock lock(platform_.mutex);
  if (restore) {
    platform_.table.restore(platform_.backup);
  } else {
    platform_.backup = platform_.table.snapshot();
  }
  lock.unlock();
  send_json(writer, 200, "{}");
}

void platform_server::counters(response_writer& writer) {
  std::unique_lock lock(platform_.mutex);
  const std::string table = encode(platform_.table.counters());
  const std::string objects = encode(platform_.objects.counters());
  lock.unlock();
  send_json(writer, 200, "{\"table\":" + table + ",\"objects\":" + objects + "}");
}

}  // namespace arbutus::standin
