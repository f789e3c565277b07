// Import of the rules from TOML. Checks the ranges of single fields; cross_check() does the checks
// that involve other records.
#include <algorithm>
#include <initializer_list>
#include <optional>
#include <string>
#include <utility>

#include "version/field_text.h"
#include "version/import.h"
#include "version/secret.h"
#include "version/toml_reader.h"

namespace arbutus {

namespace {

constexpr integer_range count_range{0, 1'000'000};
constexpr integer_range positive_count{1, 1'000'000};
constexpr std::uint32_t max_vms_per_replica = 32;
// At most one day: no caller waits longer, and a larger value was most likely given in another
// unit.
constexpr integer_range timeout_range_ms{1, 86'400'000};
constexpr real_range non_negative_real{0, 1e9, false};
constexpr real_range positive_real{0, 1e9, true};

template <class Id>
void read_ids(table_reader& table, std::string_view key, const std::string& path,
              std::vector<Id>& ids, rules_import& result) {
  for (located_value<std::string>& text : table.read_strings(key)) {
    if (!is_valid_name(text.value)) {
      result.problems.push_back(
          {severity::error, text.at,
           std::string(key) + ": " + quoted_for_message(text.value) + " is no name",
           std::string(name_expected)});
      continue;
    }
    result.places.add_place(record_path(path + '/' + std::string(key), ids.size()), text.at);
    ids.emplace_back(std::move(text.value));
  }
}

void add_field_places(const table_reader& table, const std::string& path,
                      std::initializer_list<std::string_view> keys, place_index& places) {
  places.add_place(path, table.place_of(""));
  for (const std::string_view key : keys) {
    places.add_place(path + '/' + std::string(key), table.place_of(key));
  }
}

void read_placements(table_reader& table, const std::string& path, model_rule& model,
                     rules_import& result) {
  for (const auto& [entry, at] : table.read_counts("replicas", count_range)) {
    const auto& [data_centre, count] = entry;
    result.places.add_place(record_path(path + "/placements", model.placements.size()), at);
    model.placements.push_back({data_centre_id{data_centre}, count});
  }
}

void read_model(table_reader& table, rules_import& result) {
  const std::string path = record_path("models", result.desired.models.size());
  add_field_places(table, path, {"id", "vms_per_replica"}, result.places);
  model_rule model;
  table.read("id", model.id);
  table.read_name("version", model.version, presence::required);
  table.read("vms_per_replica", model.vms_per_replica, presence::optional,
             {1, max_vms_per_replica});
  table.read("accelerators_per_vm", model.accelerators_per_vm, presence::optional, positive_count);
  table.read("slots", model.slots, presence::optional, positive_count);
  table.read("may_cross_fabric_domains", model.may_cross_fabric_domains);
  table.read("rank", model.rank, presence::optional, count_range);
  read_ids(table, "adapters", path, model.adapters, result);
  read_placements(table, path, model, result);
  table.finish();
  result.desired.models.push_back(std::move(model));
}

bool is_path(std::string_view text) {
  const auto plain = [](char c) { return c > ' ' && c < 0x7f && c != '?' && c != '#' && c != '%'; };
  return text.size() > 1 && text.front() == '/' && text.back() != '/' &&
         text.find("//") == std::string_view::npos && std::all_of(text.begin(), text.end(), plain);
}

constexpr std::string_view path_expected =
    "a path such as /crew, without '/' at its end, '?', '#' or '%'";

// Parses a method and a path, such as "GET /crew/cards".
std::optional<service_rule::idempotent_call> parse_call(std::string_view text) {
  const std::size_t blank = text.find(' ');
  if (blank == std::string_view::npos || blank == 0) {
    return std::nullopt;
  }
  const std::string_view method = text.substr(0, blank);
  const std::string_view path = text.substr(blank + 1);
  const auto upper = [](char c) { return c >= 'A' && c <= 'Z'; };
  if (!std::all_of(method.begin(), method.end(), upper) || !is_path(path)) {
    return std::nullopt;
  }
  return service_rule::idempotent_call{std::string(method), std::string(path)};
}

void read_calls(table_reader& table, const std::string& path, service_rule& service,
                rules_import& result) {
  for (const located_value<std::string>& text : table.read_strings("idempotent_calls")) {
    auto call = parse_call(text.value);
    if (!call) {
      result.problems.push_back(
          {severity::error, text.at,
           "idempotent_calls: " + quoted_for_message(text.value) + " is no call",
           "method and path, as \"GET /crew/cards\""});
      continue;
    }
    result.places.add_place(
        record_path(path + "/idempotent_calls", service.idempotent_calls.size()), text.at);
    service.idempotent_calls.push_back(std::move(*call));
  }
}

void read_service(table_reader& table, rules_import& result) {
  const std::string path = record_path("services", result.desired.services.size());
  add_field_places(table, path, {"id", "path_prefix"}, result.places);
  service_rule service;
  table.read("id", service.id);
  table.read("path_prefix", service.path_prefix, presence::required);
  const bool given = !service.path_prefix.empty();
  if (given && !is_path(service.path_prefix)) {
    table.problem("path_prefix", quoted_for_message(service.path_prefix) + " is no path",
                  std::string(path_expected));
  }
  read_calls(table, path, service, result);
  if (table.contains("workspaces")) {
    read_ids(table, "workspaces", path, service.workspaces.emplace(), result);
  }
  table.finish();
  result.desired.services.push_back(std::move(service));
}

void read_key_hashes(table_reader& table, const std::string& path, workspace_rule& workspace,
                     rules_import& result) {
  auto hashes = table.read_strings("key_hashes");
  if (hashes.empty()) {
    result.problems.push_back(
        {severity::warning, table.place_of("key_hashes"),
         "[[workspace]] key_hashes: " + quoted_for_message(workspace.id.str()) +
             " has no key, nobody can use it",
         ""});
  }
  for (located_value<std::string>& text : hashes) {
    if (!is_key_hash(text.value)) {
      // The message omits the text: it may be the key itself, pasted by mistake.
      result.problems.push_back({severity::error, text.at, "key_hashes: an entry is no hash",
                                 "64 digits 0-9 a-f, the SHA-256 of the key"});
      continue;
    }
    result.places.add_place(record_path(path + "/key_hashes", workspace.key_hashes.size()),
                            text.at);
    workspace.key_hashes.push_back(std::move(text.value));
  }
}

void read_workspace(table_reader& table, rules_import& result) {
  const std::string path = record_path("workspaces", result.desired.workspaces.size());
  add_field_places(table, path, {"id"}, result.places);
  workspace_rule workspace;
  table.read("id", workspace.id);
  read_key_hashes(table, path, workspace, result);
  read_ids(table, "models", path, workspace.models, result);
  table.read("share", workspace.share, presence::optional, positive_real);
  table.read("requests_per_second", workspace.requests_per_second, presence::optional,
             non_negative_real);
  table.read("burst", workspace.burst, presence::optional, non_negative_real);
  table.finish();
  result.desired.workspaces.push_back(std::move(workspace));
}

void read_class(table_reader& table, rules_import& result) {
  const std::string path = record_path("classes", result.desired.classes.size());
  add_field_places(table, path, {"name", "first_token_ms"}, result.places);
  class_rule entry;
  table.read_name("name", entry.name, presence::required);
  table.read("priority", entry.priority, presence::optional, count_range);
  table.read_ms("deadline_ms", entry.deadline, presence::optional, timeout_range_ms);
  table.read_ms("first_token_ms", entry.first_token, presence::optional, timeout_range_ms);
  table.finish();
  result.desired.classes.push_back(std::move(entry));
}

void read_weights(table_reader table, rules& desired) {
  table.read("group_downtime", desired.preference.group_downtime, presence::optional,
             non_negative_real);
  table.read("stranded_accelerators", desired.preference.stranded_accelerators, presence::optional,
             non_negative_real);
  if (desired.preference.group_downtime + desired.preference.stranded_accelerators <= 0) {
    table.problem("group_downtime", "both weights are 0", "at least one above 0");
  }
  table.finish();
}

void read_planning(table_reader table, rules& desired) {
  table.read("spare_vms_per_data_centre", desired.spare_vms_per_data_centre, presence::optional,
             count_range);
  table.read("standbys_per_replica", desired.standbys_per_replica, presence::optional,
             {0, max_vms_per_replica});
  table.read("vm_failures_per_day", desired.vm_failures_per_day, presence::optional,
             non_negative_real);
  table.read("vm_repair_hours", desired.vm_repair_hours, presence::optional, positive_real);
  table.finish();
}

template <class Read>
void read_each(table_reader& root, std::string_view key, rules_import& result, Read read) {
  for (table_reader& table : root.tables(key)) {
    if (result.problems.size() >= max_findings) {
      return;
    }
    read(table, result);
  }
}

}  // namespace

rules_import import_rules(std::string_view text, const std::string& file_name) {
  rules_import result;
  const auto document = parse_nonempty_toml(
      text, file_name, "the rules", "[[model]], [[service]], [[workspace]] and [[class]] tables",
      result.problems);
  if (!document) {
    return result;
  }
  table_reader root(*document, "", result.problems);
  read_each(root, "model", result, read_model);
  read_each(root, "service", result, read_service);
  read_each(root, "workspace", result, read_workspace);
  read_each(root, "class", result, read_class);
  if (auto table = root.table("weights")) {
    read_weights(std::move(*table), result.desired);
  }
  if (auto table = root.table("planning")) {
    read_planning(std::move(*table), result.desired);
  }
  root.finish();
  return result;
}

}  // namespace arbutus
