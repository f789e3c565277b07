// What the parts of a hosted node share: it lives as long as the process.
//
// A hosted node runs on one worker: an entry VM there has a quarter of a core, and a second thread
// would only add switches. Fibers of one worker run one at a time, so nothing here needs a lock; a
// fiber may be suspended at any call that waits, and what it read before may have changed after.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/rng.h"
#include "connection/http_client.h"
#include "node/attempt_registry.h"
#include "node/hosted_metrics.h"
#include "node/poison_state.h"
#include "platform/engines.h"
#include "platform/store.h"
#include "process/config_lease.h"
#include "process/config_transfer.h"
#include "process/feed_log.h"
#include "process/fleet_view.h"
#include "process/hosted_settings.h"
#include "process/lost_target_reports.h"
#include "process/misdirected_heads.h"
#include "process/node_heartbeat.h"
#include "process/peer_table.h"
#include "process/serving_feed.h"
#include "process/stall_monitor.h"
#include "request/instance_choice.h"
#include "request/replica_choice.h"
#include "request/retry_window.h"
#include "request/send_limits.h"
#include "version/service_map.h"

namespace arbutus {

struct hosted_state {
  hosted_state(hosted_settings s, fiber_runtime& r);

  hosted_settings settings;
  std::string origin;  // of this incarnation of the process: differs after every start
  fiber_runtime& runtime;
  http_client targets;  // requests that are passed on
  http_client control;  // reports and orders: a target that does not answer at once is a finding
  http_client platform;
  platform_store store;
  platform_engines engines;

  std::shared_ptr<const service_map> map;  // null until the first version was read
  config_lease lease;
  config_history configurations;  // texts, for the nodes that hear them from this one
  config_lag lag;
  fleet_view fleet;
  bool fleet_known = false;  // what serves is known, or the list of targets was read
  // The record of every target is known. Only then may this node keep replicas: it would take
  // those apart whose members it does not know.
  bool fleet_complete = false;
  time_point fleet_read_at{};  // question of the newest answer from the list
  load_table loads;
  instance_table instances;
  std::map<service_id, retry_window> retries;
  stall_monitor silence;
  lost_target_reports suspected;  // by peers
  misdirected_heads misdirected;
  send_limits limits;
  attempt_registry attempts;
  poison_state poison;  // requests that end their targets
  peer_table peers;
  // The followed tables, for the nodes that hear them from this one; the configuration itself is in
  // `configurations`.
  feed_log target_rows;
  serving_feed served;        // of a hub: what it passes on
  serving_follower followed;  // of another node: what it was told
  feed_log configuration_rows;
  hosted_metrics metrics;
  rng random;  // for what nodes must not all decide alike
  bool requests_seen = false;
  bool stopping = false;

  // Replicas of a model that may be sent requests now; built anew only when something changed.
  [[nodiscard]] const std::vector<serving_replica>& replicas(const service_spec& service,
                                                             const model_id& model);
  [[nodiscard]] const std::vector<service_instance>& instances_of(const service_id& service);
  // It knows of a version that it should act by since too long, and does not hold it.
  [[nodiscard]] bool is_outdated(time_point now) const {
    return lag.is_stale(now, settings.bounds.configuration);
  }
  [[nodiscard]] retry_window& retries_of(const service_id& service);
  // The target at this address has started again.
  void forget_connections(const endpoint& address);

 private:
  std::uint64_t cached_revision_ = 0;
  std::uint64_t cached_version_ = 0;
  void drop_outdated_caches();

  std::map<model_id, std::vector<serving_replica>> cached_;
  std::map<service_id, std::vector<service_instance>> cached_instances_;
};

// The rates and sizes at which a node talks to targets.
[[nodiscard]] http_client_limits target_client_limits();
[[nodiscard]] http_client_limits control_client_limits();
[[nodiscard]] http_client_limits platform_client_limits();

}  // namespace arbutus
