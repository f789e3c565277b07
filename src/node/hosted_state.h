// State shared by the components of a hosted node, for the lifetime of the process.
//
// A hosted node runs on one worker: an entry-level VM has a quarter of a core, and a second thread
// would only add context switches. Fibers of a worker run one at a time, so the state needs no
// locks. But a fiber may be suspended at any call that waits, and the state may have changed when
// it resumes.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission/demand_trend.h"
#include "admission/send_limits.h"
#include "admission/target_backoff.h"
#include "admission/warming_targets.h"
#include "admission/workspace_shares.h"
#include "base/rng.h"
#include "capacity/model_demand.h"
#include "connection/http_client.h"
#include "node/attempt_registry.h"
#include "node/hosted_metrics.h"
#include "node/planned_stop.h"
#include "node/poison_state.h"
#include "platform/engines.h"
#include "platform/store.h"
#include "process/config_lease.h"
#include "process/config_transfer.h"
#include "process/evacuations.h"
#include "process/feed_log.h"
#include "process/fleet_view.h"
#include "process/hosted_settings.h"
#include "process/lost_target_reports.h"
#include "process/node_heartbeat.h"
#include "process/peer_table.h"
#include "process/rejecting_heads.h"
#include "process/serving_feed.h"
#include "process/stall_monitor.h"
#include "process/start_kind.h"
#include "process/store_version.h"
#include "process/target_reach.h"
#include "request/instance_choice.h"
#include "request/latency_calibration.h"
#include "request/relay_peers.h"
#include "request/replica_choice.h"
#include "request/retry_window.h"
#include "version/service_map.h"

namespace arbutus {

// What the admission of streams was last decided by.
struct admission_figures {
  time_point at{};
  double calls_per_second{};  // that arrive at all nodes
  double room{};              // requests
  double fraction{};          // admitted
};

struct hosted_state {
  hosted_state(time_point now, hosted_settings s, fiber_runtime& r);

  hosted_settings settings;
  std::string incarnation;  // identifies this start of the process
  time_point started_at;
  start_evidence start;  // whether the whole deployment starts for the first time
  fiber_runtime& runtime;
  buffer_account buffers;    // what this node holds for callers and targets
  http_client targets_http;  // for forwarded requests
  http_client
      control_http;  // for reports and orders; short timeout, as a late response is a failure
  http_client platform_http;
  http_client relay_http;  // for calls handed over to peers
  platform_store store;
  platform_engines engines;

  evacuations evacuated_data_centres;      // their targets get no requests
  std::shared_ptr<const service_map> map;  // null until the first version was read
  config_lease configuration_lease;
  config_history configurations;  // texts of versions, for the nodes that get them from this one
  config_lag configuration_lag;
  // The store, as last read, has an older configuration than the one in force: it came back from a
  // copy, and the operators have not written again yet.
  bool store_lacks_configuration = false;
  std::uint64_t reported_store_era = 0;  // the newest era of the store in heartbeats of peers
  fleet_view fleet;
  bool fleet_known = false;  // the serving replicas are known, or the list of targets was read
  // The record of every target is known. Required to control replicas: otherwise this node would
  // dissolve replicas whose members it does not know.
  bool fleet_complete = false;
  time_point fleet_list_requested_at{};  // send time of the query that returned the newest list
  load_table loads;
  demand_table demand;      // for the models of services with prioritised streams
  demand_trend trend;       // of all nodes' demand
  workspace_shares shares;  // of the same calls, of this node's callers
  std::map<demand_key, admission_figures> admissions;  // as last decided
  latency_calibration calibration;                     // of the models of these services
  instance_table instances;
  std::map<service_id, retry_window> retry_windows;
  stall_monitor replica_stalls;
  lost_target_reports lost_reports;  // received from peers
  rejecting_heads rejections;
  send_limits limits;
  warming_targets warming;             // of services with a warm-up limit
  std::uint64_t warming_revision = 0;  // fleet revision and configuration version that it has
  std::uint64_t warming_version = 0;
  time_point informed_at{};  // the newest information from this node's hub or the store
  target_backoffs backoffs;
  std::map<service_id, target_reach> reach;
  relay_peers relays;
  std::size_t taken_over = 0;  // calls of peers that run at this node
  // The newest configuration that peers have applied to calls of this node.
  std::uint64_t relayed_version = 0;
  attempt_registry attempts;
  poison_state poison;
  peer_table peers;
  // Rows of the watched tables, for the nodes that receive them from this one. The text of the
  // configuration is in `configurations`.
  feed_log target_rows;
  serving_feed forwarded_serving;     // on a hub: the serving replicas that it forwards
  serving_follower received_serving;  // on other nodes: the serving replicas received from the hub
  feed_log configuration_rows;
  hosted_metrics metrics;
  rng random;  // for decisions that must differ between nodes
  // A caller's request has arrived at this node or, as reported, at a peer.
  bool requests_seen = false;
  bool stopping = false;
  planned_stop stop;

  // Replicas of the service's model that may be sent requests now; cached until the fleet or the
  // configuration changes. The reference is valid until the next call.
  [[nodiscard]] const std::vector<serving_replica>& replicas(const service_spec& service,
                                                             const model_id& model);
  [[nodiscard]] const std::vector<service_instance>& instances_of(const service_id& service);
  // The newest era of the store that this node knows of; 0: none yet. It never decreases.
  [[nodiscard]] std::uint64_t store_era() const {
    return std::max(store.newest_era(), reported_store_era);
  }
  // Whether the position in a table, or the version of a row, is of an earlier era of the store.
  [[nodiscard]] bool is_superseded(std::uint64_t position) const {
    return era_of(position) < store_era();
  }
  // Whether this node has lacked a configuration version for longer than is allowed.
  [[nodiscard]] bool is_outdated(time_point now) const {
    return configuration_lag.is_stale(now, settings.bounds.configuration_limit);
  }
  [[nodiscard]] retry_window& retries_of(time_point now, const service_id& service);
  // Whether this node is cut off from the targets of a model service. It then controls no replicas.
  [[nodiscard]] bool is_cut_off_from_models() const;
  // Drops pooled connections to an address whose target has restarted.
  void forget_connections(const endpoint& address);

 private:
  [[nodiscard]] retry_window new_retry_window() const;

  std::uint64_t cached_revision_ = 0;  // fleet revision when the caches were filled
  std::uint64_t cached_version_ = 0;   // configuration version when the caches were filled
  void drop_outdated_caches();

  // A call that began under an older version may ask for another size of the model.
  struct replica_kind {
    model_key model;
    std::uint32_t size{};
    auto operator<=>(const replica_kind&) const = default;
  };
  std::map<replica_kind, std::vector<serving_replica>> cached_replicas_;
  std::map<service_id, std::vector<service_instance>> cached_instances_;
};

// Counts a call whose target sent what is no answer, by the reason.
void count_malformed_answer(hosted_state& node, const call_result& result);

// Counts an answer that was given up for its size. `part`: "head" (with chunk extensions and
// trailers), "body" or "event" of a target's answer, or "relayed" for an answer of a peer.
void count_oversized_answer(hosted_state& node, std::string_view part);

// Bytes in buffers above which no request is taken, by the settings; 0: no limit.
[[nodiscard]] std::size_t max_buffered_bytes(const hosted_settings& settings);

// Connections of callers and of peers that are accepted, by the settings.
struct connection_share {
  std::size_t callers = 0;
  std::size_t peers = 0;
};
[[nodiscard]] connection_share accepted_connections(const hosted_settings& settings);

// Limits of the clients for requests, control calls and the platform.
// Those for requests count what they hold in `buffers`.
[[nodiscard]] http_client_limits target_client_limits(buffer_account* buffers = nullptr);
[[nodiscard]] http_client_limits control_client_limits();
[[nodiscard]] http_client_limits platform_client_limits();
[[nodiscard]] http_client_limits relay_client_limits();

}  // namespace arbutus
