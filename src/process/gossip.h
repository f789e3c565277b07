// What nodes tell each other: typed messages and their MessagePack form.
//
// Traffic is dominated by heartbeats (one a second to each peer), so these are arrays of small
// integers. A target is named once per change; from then on the sender's own small number for it
// ("slot") stands for it, whatever configuration versions sender and receiver have. The sender of
// a message is known from the link and not repeated in it.
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

// One target as its prober saw it. Exactly one of three forms:
//   full: report is set; names the target and all else, and binds the slot;
//   load: load is set; all else as in the last full of this slot;
//   same: neither; load, too, as it was last.
struct observation_delta {
  std::uint32_t slot{};
  duration age{};  // at sending, rounded up
  std::optional<engine_report> report;
  std::optional<target_load> load;
  auto operator<=>(const observation_delta&) const = default;
};

// A target that did not answer its prober, since `age` ago.
struct probe_failure {
  vm_id vm;
  duration age{};               // of the newest failed probe's start
  std::uint64_t incarnation{};  // that answered last; 0: none ever
  std::uint32_t count{};        // failed probes in a row
  auto operator<=>(const probe_failure&) const = default;
};

// Requests a second that this node admitted, for limits shared between nodes.
struct workspace_usage {
  workspace_id workspace;
  double requests_per_second{};  // sent in steps of 0.01
  auto operator<=>(const workspace_usage&) const = default;
};

struct heartbeat {
  node_id from;  // from the link
  message_stamp stamp;
  std::uint64_t config_version{};
  std::string config_hash;  // empty: as in the last heartbeat that had one
  std::uint64_t assignment_version{};
  bool table_reachable = false;
  bool draining = false;
  bool informed = false;        // membership::informed
  std::vector<node_id> silent;  // peers not heard for control_timing::lapse_after
  std::vector<observation_delta> observations;
  std::vector<probe_failure> failures;
  std::vector<composition> activations;
  std::vector<workspace_usage> usage;
  std::vector<replica_id> in_use;  // draining replicas at which the sender still has requests
  auto operator<=>(const heartbeat&) const = default;
};

// Asks for content by its hash; the answer may build on the content the asker has.
struct config_request {
  std::string hash;
  std::string have;  // hash of what the asker has; empty: nothing
  auto operator<=>(const config_request&) const = default;
};

// Content, whole or as what to replace in the content `base`: an operator's change touches a few
// bytes of an inventory of more than a hundred kilobytes.
struct config_content {
  config_head head;
  std::string base;  // hash; empty: `middle` is the whole content
  std::uint64_t prefix{};
  std::uint64_t suffix{};
  std::string middle;
  auto operator<=>(const config_content&) const = default;
};

// A row of the assignment newer than the receiver's.
struct assignment_push {
  std::string bytes;  // encoded assignment
  auto operator<=>(const assignment_push&) const = default;
};

// Urgent: a probe failed, or a connection was refused.
struct lost_notice {
  message_stamp stamp;
  probe_failure failure;
  auto operator<=>(const lost_notice&) const = default;
};

// Urgent: the target goes away.
struct leaving_notice {
  vm_id vm;
  std::uint64_t incarnation{};  // 0: known from the platform's list only
  auto operator<=>(const leaving_notice&) const = default;
};

// A data centre as one of its nodes sums it up for another data centre.
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
// `from` becomes heartbeat::from. Damaged bytes are refused with a reason.
[[nodiscard]] outcome<gossip_message> decode_gossip(const node_id& from, std::string_view bytes);

}  // namespace arbutus
