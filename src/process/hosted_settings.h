// Settings of a hosted node: one on a platform that stores the configuration and the list of
// targets itself. The operators' rules are not part of the settings: the platform accepts them and
// the node watches them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/finding.h"
#include "base/id.h"
#include "base/units.h"
#include "process/settings.h"
#include "version/inventory.h"

namespace arbutus {

struct hosted_listen {
  endpoint caller_endpoint;
  endpoint readiness_endpoint;  // polled by the load balancer, which sends connections only to
                                // ready nodes
  endpoint link_endpoint;       // for connections from other nodes
  endpoint relay_endpoint;      // for calls that other nodes hand over; empty: takes none over
  endpoint metrics_endpoint;    // metrics in the Prometheus text format, for monitoring
};

struct hosted_bounds {
  duration key_withdrawal_limit = 5s;  // after this no node accepts a withdrawn API key
  duration configuration_limit =
      3s;                        // after this an accepted configuration is in force at every node
  duration drain_limit = 2s;     // after this a leaving target gets no new requests
  duration shutdown_grace = 8s;  // from SIGTERM until the platform kills the node's process
  duration stall_limit = 4s;     // after this an engine whose replica lost a member gives up
  double retry_ratio = 0.2;      // retries per request, over all nodes
  double retry_burst = 100;      // retries allowed in each retry window besides retry_ratio
  duration retry_window = 10s;
  // In each second, a warming target may get `warmup_overage` times the rate that it bears and
  // `warmup_tolerance` requests more, from all nodes together.
  double warmup_overage = 1;
  double warmup_tolerance = 0;
  // The operators expect that an evacuated data centre gets no new requests after this. No decision
  // depends on it: evacuations are in force as soon as a node knows of them.
  duration evacuation_limit = 5s;
  duration target_heartbeat = 1200ms;  // interval at which a live target refreshes its record
};

// Log volume per node in bytes per second. A log collector for 340 nodes then receives at most
// 22 MB/s.
inline constexpr std::uint32_t default_log_rate = 64 * 1024;

struct hosted_settings {
  node_id id;
  data_centre_id data_centre;
  std::vector<data_centre_id> data_centres;  // all data centres of the deployment
  // The region of each data centre; a data centre without an entry is in no region.
  std::map<data_centre_id, region_id> regions;
  hosted_listen listen;
  endpoint store;
  hosted_bounds bounds;
  node_strength strength;              // of the VM that the node runs on
  std::uint32_t memory_mb = 0;         // that the process may use; 0: not known
  std::uint32_t file_descriptors = 0;  // that the process may use; 0: not known
  bool cold_start = false;             // a claim that the deployment starts for the first time
  log_settings log{.bytes_per_second = default_log_rate};
};

struct hosted_settings_result {
  hosted_settings settings;
  findings problems;  // usable when has_errors(problems) is false
};

// Parses the settings from TOML. The findings name `file_name`. Never throws on invalid text.
[[nodiscard]] hosted_settings_result load_hosted_settings(std::string_view text,
                                                          const std::string& file_name);

}  // namespace arbutus
