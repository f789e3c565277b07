// Answers of the stand-in store in the wire format of platform/.
#include "standin/hosted_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "connection/clock.h"
#include "platform/base64.h"
#include "standin/standin_http.h"
#include "version/field_text.h"

namespace arbutus::standin {

namespace {

using nlohmann::json;

constexpr duration poll_interval = 10ms;  // of feeds that wait, and of responses at a limited rate

// The store's steady clock.
std::int64_t clock_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(monotonic_now().time_since_epoch())
      .count();
}

// The record of a target with the address at which a node with these paths reaches it.
std::string record_through(const network_paths& paths, const std::string& record) {
  json document = json::parse(record, nullptr, false);
  if (!document.is_object()) {
    return record;
  }
  if (const auto address = parse_endpoint(document.value("address", ""))) {
    document["address"] = to_string(paths.path_to(*address));
  }
  return document.dump();
}

template <typename Row>
json row_json(const std::string& table, const std::string& key, const Row& row,
              const network_paths* paths) {
  json entry = {{"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
  const bool has_path = paths != nullptr && table == targets_table;
  if (row.removed) {
    entry["removed"] = true;
  } else {
    entry["value"] = base64_encode(has_path ? record_through(*paths, row.value) : row.value);
  }
  return entry;
}

}  // namespace

void hosted_store::put(const std::string& table, const std::string& key, std::string value) {
  const std::lock_guard guard(mutex_);
  put_row(table, key, std::move(value));
}

void hosted_store::remove(const std::string& table, const std::string& key) {
  const std::lock_guard guard(mutex_);
  remove_row(table, key);
}

void hosted_store::write_missing(std::span<const desired_row> rows) {
  const std::lock_guard guard(mutex_);
  write_missing_rows(rows);
}

void hosted_store::copy() {
  const std::lock_guard guard(mutex_);
  copy_ = content_;
}

void hosted_store::restore(const std::set<std::string>& lost_tables,
                           std::span<const desired_row> written_again) {
  const std::lock_guard guard(mutex_);
  content_ = copy_;
  for (const std::string& table : lost_tables) {
    content_.tables.erase(table);
  }
  ++era_;
  write_missing_rows(written_again);
}

void hosted_store::drop_history() {
  const std::lock_guard guard(mutex_);
  history_from_ = content_.version;
}

std::size_t hosted_store::rows_of_table(const std::string& table) const {
  const std::lock_guard guard(mutex_);
  const auto found = content_.tables.find(table);
  if (found == content_.tables.end()) {
    return 0;
  }
  return static_cast<std::size_t>(
      std::ranges::count_if(found->second, [](const auto& row) { return !row.second.removed; }));
}

void hosted_store::serve(const http_request& request, response_writer& writer,
                         const network_paths* paths) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (down_) {
    answer(writer, 503, "{}");
    return;
  }
  const std::string table = query_parameter(request.target, "table");
  if (path == "/api/rows-get") {
    send_at_rate(writer, all_rows(table, paths));
  } else if (path == "/api/rows-feed") {
    feed(request, writer, table, paths);
  } else if (path == "/api/rows-tx") {
    write(request, writer);
  } else {
    answer(writer, 404, "{}");
  }
}

void hosted_store::put_row(const std::string& table, const std::string& key, std::string value) {
  content_.tables[table][key] = {std::move(value), ++content_.version, false};
}

void hosted_store::remove_row(const std::string& table, const std::string& key) {
  content_.tables[table][key] = {{}, ++content_.version, true};
}

bool hosted_store::holds(const desired_row& row) {
  const auto& rows = content_.tables[row.table];
  const auto found = rows.find(row.key);
  const bool exists = found != rows.end() && !found->second.removed;
  return row.value.empty() ? !exists : exists && found->second.value == row.value;
}

void hosted_store::write_missing_rows(std::span<const desired_row> rows) {
  for (const desired_row& row : rows) {
    if (holds(row)) {
      continue;
    }
    if (row.value.empty()) {
      remove_row(row.table, row.key);
    } else {
      put_row(row.table, row.key, row.value);
    }
  }
}

std::string hosted_store::all_rows(const std::string& table, const network_paths* paths) {
  json rows = json::array();
  const std::lock_guard guard(mutex_);
  for (const auto& [key, row] : content_.tables[table]) {
    if (!row.removed) {
      rows.push_back(row_json(table, key, row, paths));
    }
  }
  return json{
      {"rows", rows}, {"has-more", false}, {"ver", content_.version}, {"now-ms", clock_ms()}}
      .dump();
}

// Response to a long poll for changes of a table; empty while there are none and `until` is in the
// future.
std::string hosted_store::changes_if_ready(const std::string& table, std::uint64_t after,
                                           time_point until, const network_paths* paths) {
  json rows = json::array();
  const std::lock_guard guard(mutex_);
  for (const auto& [key, row] : content_.tables[table]) {
    if (row.version > after) {
      rows.push_back(row_json(table, key, row, paths));
    }
  }
  if (rows.empty() && monotonic_now() < until) {
    return {};
  }
  return json{{"rows", rows}, {"ver", content_.version}, {"now-ms", clock_ms()}}.dump();
}

bool hosted_store::is_given_out_later(std::uint64_t version) const {
  const std::lock_guard guard(mutex_);
  return version > content_.version;
}

void hosted_store::feed(const http_request& request, response_writer& writer,
                        const std::string& table, const network_paths* paths) {
  const std::uint64_t after = std::stoull("0" + query_parameter(request.target, "after"));
  const auto wait =
      std::chrono::milliseconds(std::stoull("0" + query_parameter(request.target, "wait-ms")));
  const time_point until = monotonic_now() + wait;
  const std::uint64_t asked_in = era_;
  for (;;) {
    if (asked_in != era_ || after < history_from_ || is_given_out_later(after)) {
      answer(writer, 410, "{}");
      return;
    }
    const std::string body = changes_if_ready(table, after, until, paths);
    if (!body.empty()) {
      send_at_rate(writer, body);
      return;
    }
    if (down_ || !wait_for(writer, poll_interval)) {
      answer(writer, 503, "{}");
      return;
    }
  }
}

void hosted_store::write(const http_request& request, response_writer& writer) {
  const std::uint64_t new_version = apply(request.body);
  answer(writer, new_version == 0 ? 412 : 200,
         json{{"ver", new_version}, {"now-ms", clock_ms()}}.dump());
}

// Applies a transaction and returns the store's new version; 0 if it is none or a precondition does
// not hold.
std::uint64_t hosted_store::apply(const std::string& transaction) {
  const json body = json::parse(transaction, nullptr, false);
  if (!body.is_object()) {
    return 0;
  }
  const std::lock_guard guard(mutex_);
  for (const json& c : body.value("precondition", json::array())) {
    const auto& rows = content_.tables[c.value("table", "")];
    const auto found = rows.find(c.value("key", ""));
    const std::uint64_t current =
        found == rows.end() || found->second.removed ? 0 : found->second.version;
    if (current != c.value("ver", std::uint64_t{0})) {
      return 0;
    }
  }
  for (const json& w : body.value("writes", json::array())) {
    put_row(w.value("table", ""), w.value("key", ""),
            base64_decode(w.value("value", "")).value_or(""));
  }
  for (const json& d : body.value("deletes", json::array())) {
    remove_row(d.value("table", ""), d.value("key", ""));
  }
  return content_.version;
}

// All answers of the store name its era.
http_headers hosted_store::headers() const {
  return {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era_)}};
}

void hosted_store::answer(response_writer& writer, int status, std::string_view body) const {
  writer.send(status, headers(), body);
}

void hosted_store::send_at_rate(response_writer& writer, const std::string& body) const {
  const std::size_t rate = bytes_per_s_;
  if (rate == 0) {
    answer(writer, 200, body);
    return;
  }
  constexpr std::size_t pieces_per_s = 1s / poll_interval;
  const std::size_t piece = std::max<std::size_t>(rate / pieces_per_s, 1);
  writer.start(200, headers());
  for (std::size_t at = 0; at < body.size(); at += piece) {
    if (!wait_for(writer, poll_interval) ||
        !writer.write(std::string_view(body).substr(at, piece))) {
      return;
    }
  }
  writer.finish();
}

}  // namespace arbutus::standin
