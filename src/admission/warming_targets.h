// Which targets are assumed to be cold, and until when. A cold target bears only a few requests per
// second, from all nodes together (`warmup_limit`).
//
// The assumption errs on the cold side: it starts when a node first learns that a target may be
// cold and lasts for the configured time or for as long as the target itself reports. Only newer
// information shortens it. Sends to a warming target need grants (admission/send_grants) that
// expire at a fixed age.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "admission/grant_ledger.h"
#include "base/id.h"
#include "base/units.h"
#include "version/service_map.h"

namespace arbutus {

// Why a target is assumed to be cold.
enum class warmup_evidence : std::uint8_t {
  none,
  new_incarnation,    // it started after traffic had begun
  record,             // its record says so
  response,           // its response says so
  answers_again,      // it was lost
  evacuation_lifted,  // its data centre was evacuated
  node,               // a node of this data centre reported it
  hub,                // a hub reported it
};

[[nodiscard]] std::string_view to_string(warmup_evidence evidence);

// What a heartbeat reports about a target that may be warming.
struct warming_update {
  target_id target;
  duration left{};    // how much longer the target is assumed to be cold; zero: not reported
  duration age{};     // the information is not older than this
  double demand = 0;  // calls per second of the sender that could go to the target
  bool operator==(const warming_update&) const = default;
};

// A target of a service with a warm-up limit, as a node sees it at the moment.
struct warmup_observation {
  data_centre_id data_centre;
  warmup_limit limit;
  bool lost = false;
  std::uint64_t record_version = 0;
  // What the record says, and when the query that returned it was sent; empty if this node does not
  // read the target's record.
  std::optional<duration> left_by_record;
  time_point record_requested_at{};
  // This node knows the target by a row of its hub only. The heartbeat with the row also reports
  // whether the target is cold.
  bool told_by_hub = false;
};

class warming_targets {
 public:
  // Starts an update of all targets. `informed_at`: when this node last heard from its hub or the
  // store. `traffic_seen`: a caller's request has arrived at some node.
  void begin_update(time_point now, time_point informed_at, bool traffic_seen);
  void observe(time_point now, const target_id& target, const warmup_observation& seen);
  // Ends the update. Targets that were not observed in it are forgotten. Targets of the first
  // update were there before this node or this feature: they are cold only by their records or by
  // reports of peers.
  void end_update();
  // Sets when this node last heard from its hub or the store, between updates.
  void note_informed(time_point informed_at);

  // A response to a request sent at `sent_at` says how much longer the target is cold.
  void on_response(time_point sent_at, time_point now, const target_id& target, duration left);
  // A peer reported the target; its report is not older than `valid_from`. Ignored for unknown
  // targets.
  void received(time_point valid_from, time_point now, bool from_hub, const warming_update& update);
  // The targets of the data centre were out of use and may be cold.
  void data_centre_turned_cold(time_point now, const data_centre_id& data_centre);

  [[nodiscard]] bool is_warming(time_point now, const target_id& target) const;
  [[nodiscard]] bool is_empty() const { return targets_.empty(); }
  struct warming_target {
    target_id target;
    data_centre_id data_centre;
    double requests_per_second{};  // that it bears while it is cold
  };
  [[nodiscard]] std::vector<warming_target> all_warming(time_point now) const;

  // Reports for the heartbeat to a node's hub, to a peer hub and to the nodes of a hub. A report is
  // not returned to where it came from: each hop adds its delay to the cold time, so a report that
  // circulated would never end.
  enum class recipient : std::uint8_t { own_hub, other_hub, own_node };
  [[nodiscard]] std::vector<warming_update> updates_for(time_point now, recipient to) const;

  // Grants of this node, and its demand for warming targets.
  void note_demand(time_point now, const target_id& target);
  [[nodiscard]] std::map<target_id, double> demand(time_point now) const;
  // Adds grants that the hub issued after `valid_from`.
  void granted(time_point valid_from, const target_id& target, std::uint64_t count);
  [[nodiscard]] bool has_grant(time_point now, const target_id& target) const;
  bool use_grant(time_point now, const target_id& target);

  // What changed since the last call, for log lines and metrics.
  struct change {
    target_id target;
    bool warming = false;
    warmup_evidence evidence = warmup_evidence::none;
    duration time{};  // remaining if it warms up, else how long it was assumed to be cold
  };
  [[nodiscard]] std::vector<change> take_changes(time_point now);
  struct grant_counts {
    std::uint64_t received = 0;
    std::uint64_t used = 0;
    std::uint64_t expired = 0;
  };
  [[nodiscard]] grant_counts take_grant_counts(time_point now);

  // Grants expire at this age. A window of one second then contains the sends of at most 1.6 s of
  // issuing. 600 ms is long enough for three heartbeats and their echo.
  static constexpr duration max_grant_age = 600ms;
  // A node that has heard nothing for this long does not trust targets that it sees for the first
  // time.
  static constexpr duration max_information_age = 1500ms;

 private:
  struct state {
    warmup_observation seen;
    bool observed = false;    // in the current update
    bool uninformed = false;  // first seen while this node had no fresh information
    time_point cold_until{};
    // Between these times the information that gave `cold_until` was true: it is not older than
    // the first, and arrived at the second.
    time_point valid_from{};
    time_point known_at{};
    warmup_evidence evidence = warmup_evidence::none;
    time_point lost_at{};
    std::uint64_t version_when_lost = 0;
    bool announced = false;  // a change to warming was returned
    time_point announced_at{};
    grant_ledger grants;
  };

  // Applies information that is not older than `earliest` and arrived at `now`.
  static void learn(time_point earliest, time_point now, state& target, time_point cold_until,
                    warmup_evidence evidence);
  void observe_record(time_point now, state& target, const warmup_observation& seen, bool is_new);
  static void observe_loss(time_point now, state& target, const warmup_observation& seen);
  [[nodiscard]] bool is_warming(time_point now, const state& target) const;

  std::map<target_id, state> targets_;
  bool first_update_ended_ = false;
  bool traffic_seen_ = false;
  time_point informed_at_{};
  grant_counts counts_;
};

}  // namespace arbutus
