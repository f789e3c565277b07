// Settings of one node: who it is, where it listens, whom it asks. Read once at the start and
// checked whole before anything starts; what operators want served is in the configuration instead.
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
  endpoint callers;
  endpoint links;  // for other nodes
};

// The platform's services.
struct platform_settings {
  endpoint table;
  endpoint objects;
  endpoint vms;  // the list of VMs
};

// A node to talk to before the configuration is known, or when the platform is away at the start.
struct peer_settings {
  node_id id;
  data_centre_id data_centre;
  endpoint link;
  endpoint caller;
};

// What one caller may cost. Sized for a small entry VM: 2,000 connections with 16 KiB of header
// each stay at 32 MiB.
struct connection_limits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint32_t body_bytes = 8 * 1024 * 1024;
  std::uint32_t connections = 2000;
  duration header_timeout = 10s;  // from the first byte of a request to the end of its header
  duration body_timeout = 30s;    // for the body after it
  duration idle_timeout = 75s;    // between requests of a connection
  duration write_timeout = 10s;   // for a caller that takes no more bytes
};

enum class log_level { debug, info, warning, error };
enum class log_format { text, json };

struct log_settings {
  log_level level = log_level::info;
  log_format format = log_format::text;
  // What is written at most in the long run; more is left out by whole requests
  // (process/log_budget.h). 0: all.
  std::uint32_t bytes_per_second = 0;
};

// What is not set keeps the value that the part itself names. Timing that the nodes of a data
// centre have to share (process/control_timing.h) is no setting of one node.
struct timing_settings {
  std::optional<duration> balancer_lag;  // until the balancer sends nothing more after not ready
  std::optional<duration> stop_limit;    // for what is in flight at a planned stop
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
  std::string operator_key_hash;  // SHA-256 in hexadecimal; empty: nobody may change or look
  timing_settings timing;
};

struct settings_result {
  node_settings settings;
  findings problems;  // usable when has_errors(problems) is false
};

// `file_name` stands in the findings. Never throws on bad text.
[[nodiscard]] settings_result load_settings(std::string_view text, const std::string& file_name);

// Where a node's settings and the inventory tell different things of it: other nodes would look for
// it at endpoints where it does not listen.
[[nodiscard]] findings compare_settings(const node_settings& settings, const inventory& assets,
                                        const std::string& file_name);

// Names as the settings write them: "debug", "info", "warning", "error".
class table_reader;
// Level and bytes a second, which both kinds of nodes have; the table is not finished.
void read_log_volume(table_reader& table, log_settings& log);

[[nodiscard]] std::optional<log_level> parse_log_level(std::string_view name);
[[nodiscard]] std::string_view to_string(log_level level);

}  // namespace arbutus
