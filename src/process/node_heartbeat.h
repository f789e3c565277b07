// Heartbeats that nodes on a hosted platform exchange several times per second.
//
// One node of each data centre, its hub, follows the platform's store and controls the replicas.
// The other nodes report to it that they are alive and what load they have sent to which target.
// The hub's heartbeats carry changes in the store, the proof that the configuration is still the
// newest, and the load sent by all other nodes. Hubs exchange heartbeats with each other. The
// number of messages thus grows linearly with the number of nodes, and the number of queries to the
// store does not grow at all.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission/send_grants.h"
#include "admission/warming_targets.h"
#include "base/id.h"
#include "base/units.h"
#include "capacity/model_demand.h"
#include "process/config_transfer.h"
#include "process/feed_log.h"
#include "process/load_feed.h"
#include "process/poison_exchange.h"
#include "process/serving_feed.h"
#include "request/replica_choice.h"
#include "version/inventory.h"

namespace arbutus {

// The rows of a followed table after the requested position.
struct feed_update {
  std::vector<feed_row> rows;
  bool complete = false;     // the complete table instead of changes only
  std::uint64_t position{};  // of the sender in the table, including these rows
  std::uint64_t after{};     // requested position; only a receiver at or beyond it may apply this
  duration age{};            // time since the sender's newest query to the store was sent
  // There are rows after the requested position, but the hub omits them; the receiver has to read
  // them from the store.
  bool withheld = false;
};

// About warming targets; sent only if the configuration limits what is sent to them. The grants for
// them are in node_heartbeat::grants.
struct warming_report {
  node_id follows;  // hub that the sender follows; empty: none, or it has just changed
  std::size_t known_nodes_here = 0;  // nodes of the sender's data centre that it knows
  std::vector<warming_update> targets;
  bool operator==(const warming_report&) const = default;
};

struct node_heartbeat {
  data_centre_id data_centre;
  // Address and strength of the sender, as in its row in the store. Without this, a hub drops the
  // heartbeats of a node that has just joined until it reads the rows again, which takes seconds
  // and does not happen while the store refuses the hub.
  endpoint link;
  node_strength strength;
  bool hub = false;      // the sender follows the store and controls the data centre
  bool leaving = false;  // the sender is stopping and does not control replicas any more
  bool refused_by_store =
      false;  // the store does not serve the sender: another node must be the hub
  // The sender cannot open connections to the targets: another node must control them.
  bool cut_off_from_targets = false;
  std::size_t known_nodes = 0;  // nodes that the sender knows; zero: not told
  bool requests_seen = false;
  // The sender's clock, and the newest such stamp that it received from the receiver. The content
  // of the heartbeat is newer than the sending of the echoed stamp; that bounds its age, as a
  // message may be delayed without limit.
  std::int64_t stamp_us{};
  std::int64_t echo_us{};  // 0: none yet
  // Position up to which the sender has the target records; the hub sends it the rows after that.
  std::uint64_t targets_position{};
  // Whether the sender follows the records of all targets, or only the serving replicas.
  bool follows_records = true;
  std::string incarnation;  // incarnation of the sender, to which its positions belong
  serving_follower::position
      serving_position;  // up to which the sender has the hub's serving-replica rows
  std::uint64_t configuration_position{};
  // Version in force at the sender, as the operators number it; 0: none. Empty in heartbeats of
  // earlier releases, whose parts of configurations are numbered by rows of the store.
  std::optional<std::uint64_t> configuration_version = 0;
  config_progress configuration_progress;
  // Loads of heads: from a node those of its own requests, from a hub those of others. A hub sends
  // them to nodes that read load updates as `load_changes` instead.
  replica_loads loads;
  // Whether the sender reads load updates, and its position in those of the receiver.
  bool reads_load_updates = true;
  load_position received_load_position;
  std::optional<load_update> load_changes;
  std::vector<target_id> lost;
  // Updates about poison requests, and the sender's position in those of the receiver.
  poison_update poison_changes;
  poison_position received_poison_position;
  // Rate limits that targets declare, and grants to send requests to these targets.
  std::vector<limit_update> limits;
  grant_update grants;
  // From a node the demand of its own callers; from a hub that of its data centre to another hub,
  // and that of the deployment to its nodes.
  model_demand demand;
  std::optional<warming_report> warming;
  // The following are sent only by a hub to a node of its data centre.
  std::optional<feed_update> targets;  // records of targets
  // Serving replicas, sent instead of `targets`; positions are of the sender's incarnation.
  std::optional<feed_update> serving_rows;
  std::optional<feed_update> configuration;
  std::optional<config_part> configuration_part;
};

[[nodiscard]] std::string encode(const node_heartbeat& message);
// Decodes a heartbeat; empty when the bytes are damaged.
[[nodiscard]] std::optional<node_heartbeat> decode_node_heartbeat(std::string_view bytes);

}  // namespace arbutus
