// Settings of one node: its identity, the endpoints it listens on and the services it uses. They
// are read once at startup and checked completely before anything starts. The operators' rules are
// in the configuration instead.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/finding.h"
#include "base/id.h"
#include "base/units.h"
#include "version/inventory.h"

namespace arbutus {

struct listen_settings {
  endpoint caller_endpoint;
  endpoint link_endpoint;  // for connections from other nodes
};

// The platform's services.
struct platform_settings {
  endpoint table;
  endpoint objects;
  endpoint vms;  // the list of VMs
};

// A node to contact before the configuration is known, or if the platform is unavailable at
// startup.
struct peer_settings {
  node_id id;
  data_centre_id data_centre;
  endpoint link;
  endpoint caller;
};

// Limits on the resources that callers may use. Sized for a small entry VM: 2,000 connections with
// 16 KiB of header each take 32 MiB.
struct connection_limits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint32_t body_bytes = 8 * 1024 * 1024;
  std::uint32_t connections = 2000;
  // Of all bodies of requests and answers that the node holds. Above it, new requests are refused,
  // and at twice of it the largest answers are given up.
  std::uint32_t buffered_bytes = 64 * 1024 * 1024;
  duration header_timeout = 10s;  // from the first byte of a request to the end of its header
  duration body_timeout = 30s;    // from the end of a request's header to the end of its body
  duration idle_timeout = 75s;    // between requests on a connection
  duration write_timeout = 10s;   // until a caller that does not read its response is cut off
};

enum class log_level { debug, info, warning, error };
enum class log_format { text, json };

struct log_settings {
  log_level level = log_level::info;
  log_format format = log_format::text;
  // Long-term limit on the log volume. Above it, all lines of some requests are suppressed
  // (process/log_budget.h). 0: no limit.
  std::uint32_t bytes_per_second = 0;
};

// Unset values keep the default of the component that uses them. Timing that all nodes of a data
// centre must share (process/control_timing.h) cannot be set for one node.
struct timing_settings {
  // From reporting "not ready" until the load balancer sends no more connections.
  std::optional<duration> load_balancer_lag;
  // At a planned stop, requests in flight may run on for this long.
  std::optional<duration> planned_stop_timeout;
};

struct node_settings {
  node_id id;
  data_centre_id data_centre;
  listen_settings listen;
  platform_settings platform;
  std::vector<peer_settings> peers;
  connection_limits limits;
  log_settings log;
  std::uint32_t workers = 0;      // threads of the request path; 0: one for each core
  std::string operator_key_hash;  // SHA-256 in hexadecimal; empty: operators have no access
  timing_settings timing;
};

struct settings_result {
  node_settings settings;
  findings problems;  // usable when has_errors(problems) is false
};

// Parses the settings from TOML. The findings name `file_name`. Never throws on invalid text.
[[nodiscard]] settings_result load_settings(std::string_view text, const std::string& file_name);

// Reports where a node's settings differ from the inventory: other nodes would connect to
// endpoints where it does not listen.
[[nodiscard]] findings compare_settings(const node_settings& settings, const inventory& assets,
                                        const std::string& file_name);

class table_reader;
// Reads level and bytes per second, which both kinds of nodes have; does not call table.finish().
void read_log_level_and_rate(table_reader& table, log_settings& log);

// Converts log levels from and to their names in the settings: "debug", "info", "warning", "error".
[[nodiscard]] std::optional<log_level> parse_log_level(std::string_view name);
[[nodiscard]] std::string_view to_string(log_level level);

}  // namespace arbutus
