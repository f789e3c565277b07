// HTTP client of the platform's services.
#include "node/platform_client.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace arbutus {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_precondition_failed = 412;

std::string describe(const call_result& result) {
  if (!result.ok()) {
    return std::string(result.reason()) + ": " + result.detail;
  }
  return "status " + std::to_string(result.response.status);
}

std::optional<std::uint64_t> row_version(const http_response& response) {
  const auto field = response.headers.find("x-row-version");
  if (!field) {
    return std::nullopt;
  }
  std::uint64_t version = 0;
  const auto [end, error] = std::from_chars(field->data(), field->data() + field->size(), version);
  if (error != std::errc{} || end != field->data() + field->size()) {
    return std::nullopt;
  }
  return version;
}

bool has_status(const call_result& result, int status) {
  return result.ok() && result.response.status == status;
}

}  // namespace

platform_client::platform_client(http_client& client, platform_addresses addresses,
                                 data_centre_id data_centre)
    : client_(client), addresses_(std::move(addresses)), data_centre_(std::move(data_centre)) {}

call_result platform_client::call(const socket_address& target, http_request request,
                                  time_point deadline) {
  request.headers.add("x-data-centre", data_centre_.str());
  return client_.fetch(target, request, deadline);
}

outcome<table_row> platform_client::read(const table_read& asked, time_point deadline) {
  http_request request;
  request.target = "/table/" + asked.key;
  const call_result result = call(addresses_.table, std::move(request), deadline);
  if (has_status(result, status_not_found)) {
    return table_row{};
  }
  const auto version = row_version(result.response);
  if (!has_status(result, status_ok) || !version) {
    return unknown{describe(result)};
  }
  return table_row{result.response.body, *version};
}

outcome<table_written> platform_client::write(const table_write& asked, time_point deadline) {
  http_request request;
  request.method = "PUT";
  request.target = "/table/" + asked.key;
  request.headers.add("if-match", std::to_string(asked.expected));
  request.body = asked.value;
  const call_result result = call(addresses_.table, std::move(request), deadline);
  if (has_status(result, status_precondition_failed)) {
    return refused{"the row has another version"};
  }
  const auto version = row_version(result.response);
  if (!has_status(result, status_ok) || !version) {
    return unknown{describe(result)};
  }
  return table_written{*version};
}

outcome<std::string> platform_client::get(const object_get& asked, time_point deadline) {
  http_request request;
  request.target = "/objects/" + asked.name;
  call_result result = call(addresses_.objects, std::move(request), deadline);
  if (has_status(result, status_not_found)) {
    return refused{"no such object"};
  }
  if (!has_status(result, status_ok)) {
    return unknown{describe(result)};
  }
  return std::move(result.response.body);
}

outcome<std::monostate> platform_client::put(const object_put& asked, time_point deadline) {
  http_request request;
  request.method = "PUT";
  request.target = "/objects/" + asked.name;
  request.body = asked.content;
  const call_result result = call(addresses_.objects, std::move(request), deadline);
  if (!has_status(result, status_ok)) {
    return unknown{describe(result)};
  }
  return std::monostate{};
}

outcome<std::vector<vm_list_entry>> platform_client::list_vms(time_point deadline) {
  http_request request;
  request.target = "/vms";
  const call_result result = call(addresses_.vms, std::move(request), deadline);
  if (!has_status(result, status_ok)) {
    return unknown{describe(result)};
  }
  std::vector<vm_list_entry> entries;
  const auto list = nlohmann::json::parse(result.response.body, nullptr, false);
  if (!list.is_array()) {
    return unknown{"malformed VM list"};
  }
  for (const auto& item : list) {
    if (!item.is_object() || !item.contains("vm") || !item["vm"].is_string()) {
      return unknown{"malformed VM list entry"};
    }
    entries.push_back({vm_id{item["vm"].get<std::string>()}, item.value("leaving", false)});
  }
  return entries;
}

}  // namespace arbutus
