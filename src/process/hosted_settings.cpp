// Reads the settings of a hosted node from TOML.
#include "process/hosted_settings.h"

#include <cmath>

#include "version/toml_reader.h"

namespace arbutus {

namespace {

// Accepted range of the time bounds, in milliseconds. A bound of more than an hour is most likely
// given in the wrong unit.
constexpr integer_range bound_ms{1, 3'600'000};

class hosted_reader {
 public:
  hosted_reader(const toml_table& document, findings& problems) : root_(document, "", problems) {}

  hosted_settings read() {
    read_node();
    read_listen();
    if (auto table = root_.table("platform", presence::required)) {
      table->read("store", settings_.store, presence::required);
      table->finish();
    }
    read_bounds();
    read_machine();
    read_log();
    root_.finish();
    return std::move(settings_);
  }

 private:
  void read_node() {
    auto table = root_.table("node", presence::required);
    if (!table) {
      return;
    }
    table->read("id", settings_.id);
    table->read("data_centre", settings_.data_centre);
    for (const auto& name : table->read_strings("data_centres")) {
      settings_.data_centres.emplace_back(name.value);
    }
    table->read("cold_start", settings_.cold_start);
    table->finish();
    read_regions();
  }

  void read_regions() {
    auto table = root_.table("regions");
    if (!table) {
      return;
    }
    for (const data_centre_id& data_centre : settings_.data_centres) {
      region_id region;
      table->read(data_centre.str(), region, presence::optional);
      if (!region.empty()) {
        settings_.regions.emplace(data_centre, region);
      }
    }
    table->finish();
  }

  void read_listen() {
    auto table = root_.table("listen", presence::required);
    if (!table) {
      return;
    }
    table->read("callers", settings_.listen.caller_endpoint, presence::required);
    table->read("ready", settings_.listen.readiness_endpoint, presence::required);
    table->read("links", settings_.listen.link_endpoint, presence::required);
    table->read("metrics", settings_.listen.metrics_endpoint, presence::required);
    table->read("relays", settings_.listen.relay_endpoint, presence::optional);
    table->finish();
  }

  void read_bounds() {
    auto table = root_.table("bounds");
    if (!table) {
      return;
    }
    hosted_bounds& bounds = settings_.bounds;
    const auto optional = presence::optional;
    table->read_ms("key_withdrawal_ms", bounds.key_withdrawal_limit, optional, bound_ms);
    table->read_ms("configuration_ms", bounds.configuration_limit, optional, bound_ms);
    table->read_ms("drain_ms", bounds.drain_limit, optional, bound_ms);
    table->read_ms("stall_ms", bounds.stall_limit, optional, bound_ms);
    table->read_ms("target_heartbeat_ms", bounds.target_heartbeat, optional, bound_ms);
    table->read_ms("evacuation_ms", bounds.evacuation_limit, optional, bound_ms);
    table->read("warmup_overage", bounds.warmup_overage, optional, real_range{1, 100, false});
    table->read("warmup_tolerance", bounds.warmup_tolerance, optional, real_range{0, 1e6, false});
    read_seconds(*table, "grace_s", bounds.shutdown_grace);
    read_seconds(*table, "retry_window_s", bounds.retry_window);
    table->read("retry_ratio", bounds.retry_ratio, optional, real_range{0, 10, false});
    table->read("retry_burst", bounds.retry_burst, optional, real_range{0, 1e6, false});
    table->finish();
  }

  void read_machine() {
    auto table = root_.table("machine");
    if (!table) {
      return;
    }
    constexpr double max_cores = 1024;
    double processor = 0;
    double link_mbps = 0;
    table->read("processor", processor, presence::optional, real_range{0, max_cores, true});
    table->read("link_mbps", link_mbps, presence::optional, real_range{0, 1e6, true});
    constexpr integer_range any{0, 1'000'000'000};
    table->read("memory_mb", settings_.memory_mb, presence::optional, any);
    table->read("file_descriptors", settings_.file_descriptors, presence::optional, any);
    table->finish();
    settings_.strength = {static_cast<std::uint32_t>(std::lround(processor * 1000)),
                          static_cast<std::uint32_t>(std::lround(link_mbps))};
  }

  static void read_seconds(table_reader& table, std::string_view key, duration& value) {
    double seconds = to_seconds(value);
    table.read(key, seconds, presence::optional, real_range{0, 3600, true});
    value = from_seconds(seconds);
  }

  void read_log() {
    auto table = root_.table("log");
    if (!table) {
      return;
    }
    read_log_level_and_rate(*table, settings_.log);
    table->finish();
  }

  table_reader root_;
  hosted_settings settings_;
};

}  // namespace

hosted_settings_result load_hosted_settings(std::string_view text, const std::string& file_name) {
  hosted_settings_result result;
  const auto document = parse_nonempty_toml(
      text, file_name, "the settings", "[node], [listen] and [platform] tables", result.problems);
  if (!document) {
    return result;
  }
  result.settings = hosted_reader(*document, result.problems).read();
  return result;
}

}  // namespace arbutus
