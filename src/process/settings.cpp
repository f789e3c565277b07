// Reads node settings from TOML.
#include "process/settings.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "version/field_text.h"
#include "version/secret.h"
#include "version/toml_reader.h"

namespace arbutus {

namespace {

constexpr std::array<std::string_view, 4> level_names = {"debug", "info", "warning", "error"};
constexpr std::array<std::string_view, 2> format_names = {"text", "json"};

constexpr integer_range header_bytes{1024, 1024 * 1024};
constexpr integer_range body_bytes{1024, 1024 * 1024 * 1024};
constexpr integer_range buffered_bytes{1024 * 1024, 2147483648};
constexpr integer_range connections{1, 1'000'000};
constexpr integer_range workers{0, 1024};
// Accepted range of timeouts, in milliseconds. A timeout of more than an hour is most likely given
// in the wrong unit.
constexpr integer_range timeout_ms{1, 3'600'000};

class settings_reader {
 public:
  settings_reader(const toml_table& document, findings& problems)
      : root_(document, "", problems), problems_(problems) {}

  node_settings read() {
    read_node();
    read_listen();
    read_platform();
    for (table_reader& table : root_.tables("peer")) {
      read_peer(table);
    }
    read_limits();
    read_log();
    read_threads();
    read_timing();
    read_operators();
    root_.finish();
    return std::move(settings_);
  }

 private:
  void read_node() {
    if (auto table = root_.table("node", presence::required)) {
      table->read("id", settings_.id);
      table->read("data_centre", settings_.data_centre);
      table->finish();
    }
  }

  void read_endpoint(table_reader& table, std::string_view key, endpoint& value) {
    table.read(key, value, presence::required);
    if (value.port != 0) {
      register_endpoint(value, table.place_of(key));
    }
  }

  // Reports an endpoint that is used for two purposes. Without this, the second listener fails
  // only at startup, or a peer gets requests for a service that it does not offer.
  void register_endpoint(const endpoint& value, place where) {
    const auto [first, is_new] = used_.emplace(value, where);
    if (!is_new) {
      problems_.push_back({severity::error, std::move(where),
                           "endpoint " + to_string(value) + " is taken at line " +
                               std::to_string(first->second.line),
                           "endpoints that differ"});
    }
  }

  void read_listen() {
    if (auto table = root_.table("listen", presence::required)) {
      read_endpoint(*table, "callers", settings_.listen.caller_endpoint);
      read_endpoint(*table, "links", settings_.listen.link_endpoint);
      table->finish();
    }
  }

  // The endpoints of the table, the objects and the VM list may be equal, as one server may offer
  // all three services.
  void read_platform() {
    if (auto table = root_.table("platform", presence::required)) {
      table->read("table", settings_.platform.table, presence::required);
      table->read("objects", settings_.platform.objects, presence::required);
      table->read("vms", settings_.platform.vms, presence::required);
      table->finish();
    }
  }

  void read_peer(table_reader& table) {
    peer_settings peer;
    table.read("id", peer.id);
    table.read("data_centre", peer.data_centre);
    read_endpoint(table, "link", peer.link);
    read_endpoint(table, "caller", peer.caller);
    table.finish();
    check_peer_id(table, peer.id);
    settings_.peers.push_back(std::move(peer));
  }

  void check_peer_id(table_reader& table, const node_id& id) {
    if (id.empty()) {
      return;
    }
    if (id == settings_.id) {
      table.problem("id", quoted_for_message(id.str()) + " is this node itself", "another node");
    }
    const auto same = [&](const peer_settings& p) { return p.id == id; };
    if (std::any_of(settings_.peers.begin(), settings_.peers.end(), same)) {
      table.problem("id", quoted_for_message(id.str()) + " is listed already", "each peer once");
    }
  }

  void read_limits() {
    auto table = root_.table("limits");
    if (!table) {
      return;
    }
    connection_limits& limits = settings_.limits;
    const auto optional = presence::optional;
    table->read("header_bytes", limits.header_bytes, optional, header_bytes);
    table->read("body_bytes", limits.body_bytes, optional, body_bytes);
    table->read("connections", limits.connections, optional, connections);
    table->read("buffered_bytes", limits.buffered_bytes, optional, buffered_bytes);
    table->read_ms("header_timeout_ms", limits.header_timeout, optional, timeout_ms);
    table->read_ms("body_timeout_ms", limits.body_timeout, optional, timeout_ms);
    table->read_ms("idle_timeout_ms", limits.idle_timeout, optional, timeout_ms);
    table->read_ms("write_timeout_ms", limits.write_timeout, optional, timeout_ms);
    table->finish();
  }

  void read_log() {
    auto table = root_.table("log");
    if (!table) {
      return;
    }
    auto format = static_cast<std::size_t>(settings_.log.format);
    table->read_choice("format", format, format_names);
    settings_.log.format = static_cast<log_format>(format);
    read_log_level_and_rate(*table, settings_.log);
    table->finish();
  }

  void read_threads() {
    if (auto table = root_.table("threads")) {
      table->read("workers", settings_.workers, presence::optional, workers);
      table->finish();
    }
  }

  static void read_override(table_reader& table, std::string_view key,
                            std::optional<duration>& value) {
    duration given{};
    table.read_ms(key, given, presence::optional, timeout_ms);
    if (given > duration::zero()) {
      value = given;
    }
  }

  void read_timing() {
    auto table = root_.table("timing");
    if (!table) {
      return;
    }
    timing_settings& timing = settings_.timing;
    read_override(*table, "balancer_lag_ms", timing.load_balancer_lag);
    read_override(*table, "stop_limit_ms", timing.planned_stop_timeout);
    table->finish();
  }

  void read_operators() {
    auto table = root_.table("operators");
    if (!table) {
      return;
    }
    table->read("key_hash", settings_.operator_key_hash, presence::required);
    if (!is_key_hash(settings_.operator_key_hash)) {
      table->problem("key_hash", "is no SHA-256 in hexadecimal", "64 digits from 0 to f");
    }
    table->finish();
  }

  table_reader root_;
  findings& problems_;
  node_settings settings_;
  std::map<endpoint, place> used_;
};

}  // namespace

settings_result load_settings(std::string_view text, const std::string& file_name) {
  settings_result result;
  const auto document = parse_nonempty_toml(
      text, file_name, "the settings", "[node], [listen] and [platform] tables", result.problems);
  if (!document) {
    return result;
  }
  result.settings = settings_reader(*document, result.problems).read();
  return result;
}

findings compare_settings(const node_settings& settings, const inventory& assets,
                          const std::string& file_name) {
  findings problems;
  const auto differs = [&](const std::string& what, const std::string& here,
                           const std::string& there) {
    if (here != there) {
      problems.push_back({severity::error,
                          {file_name, 0, 0},
                          what + " is " + here + ", but the inventory has another",
                          there});
    }
  };
  const node_record* record = assets.find_node(settings.id);
  if (record == nullptr) {
    problems.push_back(
        {severity::error,
         {file_name, 0, 0},
         "node " + quoted_for_message(settings.id.str()) + " is not in the inventory",
         ""});
    return problems;
  }
  differs("data_centre", settings.data_centre.str(), record->data_centre.str());
  differs("links", to_string(settings.listen.link_endpoint), to_string(record->link));
  differs("callers", to_string(settings.listen.caller_endpoint), to_string(record->caller));
  return problems;
}

void read_log_level_and_rate(table_reader& table, log_settings& log) {
  constexpr integer_range rate{0, 1'000'000'000};
  auto level = static_cast<std::size_t>(log.level);
  table.read_choice("level", level, level_names);
  log.level = static_cast<log_level>(level);
  table.read("bytes_per_second", log.bytes_per_second, presence::optional, rate);
}

std::optional<log_level> parse_log_level(std::string_view name) {
  const auto found = std::find(level_names.begin(), level_names.end(), name);
  if (found == level_names.end()) {
    return std::nullopt;
  }
  return static_cast<log_level>(found - level_names.begin());
}

std::string_view to_string(log_level level) {
  return level_names[static_cast<std::size_t>(level)];
}

}  // namespace arbutus
