// Messages between nodes and their MessagePack encoding.
//
// Heartbeats (one per second to each peer) make up most of the traffic, so they are arrays of small
// integers. A target is named once per change; after that, a small number chosen by the sender (its
// "slot") identifies it, independent of the configuration versions of sender and receiver. The
// sender of a message is known from the link and not part of the message.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/id.h"
#include "base/outcome.h"
#include "base/units.h"
#include "process/freshness.h"
#include "process/report.h"
#include "process/target_load.h"
#include "version/assignment.h"
#include "version/configuration.h"

namespace arbutus {

// A prober's observation of one target, in one of three forms:
//   full: report is set; it contains all fields and binds the slot to the target;
//   load: load is set; all other fields are as in the last full form of this slot;
//   same: neither is set; the load is unchanged, too.
struct observation_delta {
  std::uint32_t slot{};
  duration age{};  // of the observation when the message was sent, rounded up
  std::optional<engine_report> report;
  std::optional<target_load> load;
  auto operator<=>(const observation_delta&) const = default;
};

// A target that does not respond to its prober.
struct probe_failure {
  vm_id vm;
  duration age{};               // time since the start of the newest failed probe
  std::uint64_t incarnation{};  // of the target when it last responded; 0: it never did
  std::uint32_t count{};        // number of consecutive failed probes
  auto operator<=>(const probe_failure&) const = default;
};

// The requests of a workspace that the sender of the heartbeat admitted per second. Nodes add these
// up for limits that they share.
struct workspace_usage {
  workspace_id workspace;
  double requests_per_second{};  // sent in steps of 0.01
  auto operator<=>(const workspace_usage&) const = default;
};

struct heartbeat {
  node_id from;  // sender, known from the link; not part of the encoded message
  message_stamp stamp;
  std::uint64_t config_version{};
  std::string config_hash;  // empty: as in the last heartbeat that contained one
  std::uint64_t assignment_version{};
  bool table_reachable = false;
  bool draining = false;
  bool informed = false;              // the sender has a vote, see membership::informed
  std::vector<node_id> unresponsive;  // peers without a message for control_timing::quorum_expiry
  std::vector<observation_delta> observations;
  std::vector<probe_failure> failures;
  std::vector<composition> activations;
  std::vector<workspace_usage> usage;
  std::vector<replica_id>
      draining_replicas_in_use;  // draining replicas at which the sender still has requests
  auto operator<=>(const heartbeat&) const = default;
};

// Requests content by its hash; the response may be a delta against content the requester has.
struct config_request {
  std::string hash;
  std::string requester_hash;  // hash of the content that the requester has; empty: none
  auto operator<=>(const config_request&) const = default;
};

// Configuration content, complete or as a replacement within the content `base`: an operator's
// change usually affects a few bytes of an inventory of more than 100 KB.
struct config_content {
  config_head head;
  std::string base_hash;  // hash of the base content; empty: `middle` is the complete content
  std::uint64_t prefix_bytes{};
  std::uint64_t suffix_bytes{};
  std::string middle;
  auto operator<=>(const config_content&) const = default;
};

// A row of the assignment newer than the receiver's.
struct assignment_push {
  std::string bytes;  // encoded assignment
  auto operator<=>(const assignment_push&) const = default;
};

// Notifies peers that a target could not be reached. Sent immediately when a probe fails or a
// connection is refused, instead of with the next heartbeat.
struct lost_notice {
  message_stamp stamp;
  probe_failure failure;
  auto operator<=>(const lost_notice&) const = default;
};

// Notifies peers that a target will be removed. Sent immediately rather than with the next
// heartbeat.
struct leaving_notice {
  vm_id vm;
  std::uint64_t incarnation{};  // 0: known from the platform's list only
  auto operator<=>(const leaving_notice&) const = default;
};

// The free capacity of one model in a data centre, and the summary of a data centre that one of its
// nodes sends to other data centres.
struct model_summary {
  model_id model;
  std::uint32_t free_slots{};
  duration queueing_delay{};  // in whole milliseconds
  auto operator<=>(const model_summary&) const = default;
};
struct summary {
  message_stamp stamp;
  data_centre_id data_centre;
  std::uint64_t config_version{};
  std::string config_hash;
  std::vector<model_summary> models;
  auto operator<=>(const summary&) const = default;
};

using gossip_message = std::variant<heartbeat, config_request, config_content, assignment_push,
                                    lost_notice, leaving_notice, summary>;

[[nodiscard]] std::string encode(const gossip_message& message);
// Decodes a message received from node `from`, which becomes heartbeat::from. Damaged bytes are
// refused with a reason.
[[nodiscard]] outcome<gossip_message> decode_gossip(const node_id& from, std::string_view bytes);

}  // namespace arbutus
