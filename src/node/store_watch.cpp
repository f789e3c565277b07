// Following the platform's store.
#include "node/store_watch.h"

#include <nlohmann/json.hpp>

#include "connection/clock.h"
#include "node/log.h"
#include "platform/documents.h"
#include "version/field_text.h"

namespace arbutus {

namespace {

// The feed answers at once when there is a change, and otherwise after this: its answer is what
// proves that the configuration is still the newest, and a proof counts from its question. With
// 700 ms a node asks 1.4 times a second and its proof is 0.7 to 1.4 s old.
constexpr duration configuration_wait = 700ms;
// Beyond the wait, for the store's own slowness; then the connection may be a silent one.
constexpr duration answer_slack = 1200ms;
// Versions in a row: one more read within this is coalesced with the next.
constexpr duration configuration_pause = 40ms;
// Records of targets change about every second each. Asked as often as this, a node is told of a
// change within 200 ms on average 100 ms after it, for 5 calls a second.
constexpr duration target_interval = 200ms;
// In the first seconds replicas form, and each wait costs loads that are cheap only then.
constexpr duration target_interval_at_start = 80ms;
constexpr duration start_phase = 12s;
constexpr duration retry_pause = 100ms;
constexpr duration read_timeout = 1500ms;

constexpr std::string_view node_table = "nodes";
// A node that came to another address is found within this.
constexpr duration node_interval = 5s;
constexpr duration node_interval_at_start = 300ms;

}  // namespace

void store_watch::note_dependency(std::string_view name, bool& up, bool now_up,
                                  std::string_view reason) {
  if (up == now_up) {
    return;
  }
  up = now_up;
  log_line(now_up ? log_level::info : log_level::warning, "store", now_up ? "regained" : "lost",
           {{"what", name},
            {"reason", reason},
            {"lease_age_ms", to_milliseconds(node_.lease.age(monotonic_now()).value_or(-1ms))}});
}

void store_watch::take_configuration(const std::string& text, std::uint64_t row_version) {
  if (row_version <= configuration_row_) {
    return;  // an answer that was overtaken by a newer one
  }
  service_map_result result = read_service_map(text);
  if (!result.map) {
    for (const finding& f : result.problems) {
      log_line(log_level::error, "configuration", "finding",
               {{"place", f.where.file}, {"message", f.message}, {"expected", f.expected}});
    }
    return;
  }
  configuration_row_ = row_version;
  if (node_.map && result.map->version() < node_.map->version()) {
    log_line(log_level::error, "configuration", "kept: the store has an older version",
             {{"version", node_.map->version()}, {"offered", result.map->version()}});
    return;
  }
  node_.map = std::make_shared<const service_map>(std::move(*result.map));
  log_line(log_level::info, "configuration", "in force",
           {{"version", node_.map->version()},
            {"routes", std::uint64_t{node_.map->routes().size()}},
            {"row", row_version}});
}

// The whole row, when there is no position to go on from.
bool store_watch::read_configuration(std::uint64_t& position) {
  const time_point asked = monotonic_now();
  const auto result = node_.store.read(configuration_table, {}, asked + read_timeout);
  const auto* rows = std::get_if<store_rows>(&result);
  if (rows == nullptr || rows->version < position) {
    note_dependency("configuration", configuration_up_, false,
                    rows == nullptr ? "no answer" : "an old answer");
    return false;
  }
  for (const store_row& row : rows->rows) {
    if (row.key == configuration_key) {
      take_configuration(row.value, row.version);
    }
  }
  position = rows->version;
  if (node_.map) {
    node_.lease.proved(asked);
  }
  note_dependency("configuration", configuration_up_, true, "read");
  return true;
}

void store_watch::follow_configuration() {
  std::uint64_t position = 0;
  bool positioned = false;
  for (;;) {
    if (!positioned) {
      positioned = read_configuration(position);
      if (!sleep_until(monotonic_now() + (positioned ? 0ms : retry_pause))) {
        return;
      }
      continue;
    }
    const time_point asked = monotonic_now();
    const auto result = node_.store.watch(configuration_table, position, configuration_wait,
                                          asked + configuration_wait + answer_slack);
    if (const auto* rows = std::get_if<store_rows>(&result)) {
      for (const store_row& row : rows->rows) {
        if (row.key == configuration_key && !row.removed) {
          take_configuration(row.value, row.version);
        }
      }
      position = std::max(position, rows->version);
      node_.lease.proved(asked);
      note_dependency("configuration", configuration_up_, true, "watched");
      if (!sleep_until(monotonic_now() + (rows->rows.empty() ? 0ms : configuration_pause))) {
        return;
      }
      continue;
    }
    const bool dropped = std::holds_alternative<history_dropped>(result);
    positioned = !dropped;
    if (!dropped) {
      note_dependency("configuration", configuration_up_, false, "the watch failed");
    }
    if (!sleep_until(monotonic_now() + (dropped ? 0ms : retry_pause))) {
      return;
    }
  }
}

void store_watch::take_target(time_point asked, const store_row& row) {
  const target_id id{row.key};
  if (row.removed) {
    node_.fleet.unlisted(asked, id);
    log_line(log_level::info, "fleet", "unlisted", {{"target", id}});
    return;
  }
  std::string problem;
  auto record = read_target_record(id, row.value, problem);
  if (!record) {
    log_line(log_level::warning, "fleet", "unreadable record",
             {{"target", id}, {"reason", problem}});
    return;
  }
  const target_view* before = node_.fleet.find(id);
  if (before == nullptr || !before->listed) {
    log_line(log_level::info, "fleet", "listed",
             {{"target", id}, {"service", record->service}, {"domain", record->domain}});
  } else if (record->draining && !before->record.draining) {
    log_line(log_level::info, "fleet", "draining", {{"target", id}});
  }
  node_.fleet.listed(asked, std::move(*record));
}

bool store_watch::read_targets(std::uint64_t& position) {
  std::vector<target_record> records;
  std::string from;
  std::uint64_t first_version = 0;
  const time_point asked = monotonic_now();
  for (;;) {
    const auto result = node_.store.read(target_table, from, monotonic_now() + read_timeout);
    const auto* rows = std::get_if<store_rows>(&result);
    if (rows == nullptr || rows->version < position) {
      return false;
    }
    first_version = first_version == 0 ? rows->version : first_version;
    for (const store_row& row : rows->rows) {
      std::string problem;
      if (auto record = read_target_record(target_id{row.key}, row.value, problem)) {
        records.push_back(std::move(*record));
      } else {
        log_line(log_level::warning, "fleet", "unreadable record",
                 {{"target", row.key}, {"reason", problem}});
      }
    }
    if (!rows->more || rows->rows.empty()) {
      break;
    }
    from = rows->rows.back().key + '\x01';
  }
  node_.fleet.replace_all(asked, records);
  node_.fleet_known = true;
  node_.fleet_read_at = asked;
  position = first_version;
  log_line(log_level::info, "fleet", "read whole",
           {{"targets", std::uint64_t{records.size()}}, {"position", position}});
  return true;
}

void store_watch::follow_targets() {
  std::uint64_t position = 0;
  bool positioned = false;
  const time_point started = monotonic_now();
  for (;;) {
    const time_point asked = monotonic_now();
    if (!positioned) {
      positioned = read_targets(position);
      note_dependency("targets", targets_up_, positioned, "whole list");
      if (!sleep_until(asked + (positioned ? target_interval_at_start : retry_pause))) {
        return;
      }
      continue;
    }
    const auto result =
        node_.store.watch(target_table, position, 0ms, asked + answer_slack);
    if (const auto* rows = std::get_if<store_rows>(&result)) {
      for (const store_row& row : rows->rows) {
        take_target(asked, row);
      }
      position = std::max(position, rows->version);
      node_.fleet_read_at = asked;
      note_dependency("targets", targets_up_, true, "watched");
    } else if (std::holds_alternative<history_dropped>(result)) {
      positioned = false;
      continue;
    } else {
      note_dependency("targets", targets_up_, false, "the watch failed");
    }
    node_.fleet.forget_old(asked);
    const bool starting = asked - started < start_phase;
    if (!sleep_until(asked + (starting ? target_interval_at_start : target_interval))) {
      return;
    }
  }
}

void store_watch::follow_nodes(
    const std::function<void(const std::vector<node_record>&)>& found) {
  const endpoint& link = node_.settings.listen.links;
  const nlohmann::json own = {node_.settings.data_centre.str(), to_string(link)};
  bool written = false;
  const time_point started = monotonic_now();
  for (;;) {
    const time_point now = monotonic_now();
    if (!written) {
      transaction t;
      t.writes.push_back({std::string(node_table), node_.settings.id.str(), own.dump()});
      written = is_ok(node_.store.write(t, now + read_timeout));
    }
    const auto result = node_.store.read(node_table, {}, monotonic_now() + read_timeout);
    if (const auto* rows = std::get_if<store_rows>(&result)) {
      std::vector<node_record> peers;
      for (const store_row& row : rows->rows) {
        const auto document = nlohmann::json::parse(row.value, nullptr, false);
        if (!document.is_array() || document.size() < 2 || !document[1].is_string()) {
          continue;
        }
        const auto address = parse_endpoint(document[1].get<std::string>());
        if (address) {
          peers.push_back({node_id{row.key}, data_centre_id{document[0].get<std::string>()},
                           *address, {}});
        }
      }
      found(peers);
    }
    const bool starting = now - started < start_phase / 4;
    if (!sleep_until(now + (starting ? node_interval_at_start : node_interval))) {
      return;
    }
  }
}

}  // namespace arbutus
