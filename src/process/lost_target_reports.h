// Targets that peers report as lost.
//
// Such a report is no proof: a node whose link is saturated loses every target within 0.5 s, and
// all other nodes would move their streams away from working replicas. Nodes do not verify each
// report themselves either: when a data centre is cut off, 80 nodes that query 74 engines each
// send some thousand queries per second. A report therefore makes a replica the last choice for new
// requests; together with a stall of the node's own streams it is sufficient to move them. Only the
// node that controls the replicas of a data centre queries the targets.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "base/id.h"
#include "base/units.h"

namespace arbutus {

class lost_target_reports {
 public:
  // Stores the newest report of a peer, which replaces its previous one.
  void store_report(time_point now, const node_id& peer, bool hub,
                    const std::vector<target_id>& lost) {
    if (lost.empty()) {
      reports_.erase(peer);
      return;
    }
    reports_[peer] = {now, hub, {lost.begin(), lost.end()}};
  }

  [[nodiscard]] bool contains(time_point now, const target_id& id) const {
    return std::any_of(reports_.begin(), reports_.end(), [&](const auto& entry) {
      return is_fresh(now, entry.second) && entry.second.lost.contains(id);
    });
  }

  [[nodiscard]] bool contains_any(time_point now, const std::vector<target_id>& ids) const {
    return !reports_.empty() && std::any_of(ids.begin(), ids.end(),
                                            [&](const target_id& id) { return contains(now, id); });
  }

  // Targets that other hubs report as lost; a hub passes them on within its data centre only.
  [[nodiscard]] std::set<target_id> reported_by_hubs(time_point now) const {
    std::set<target_id> result;
    for (const auto& [peer, report] : reports_) {
      if (report.hub && is_fresh(now, report)) {
        result.insert(report.lost.begin(), report.lost.end());
      }
    }
    return result;
  }

  // How long a peer's report is used. Three heartbeat intervals: one heartbeat may be late, and a
  // peer that has ended does not revoke its report.
  static constexpr duration report_retention = 600ms;

 private:
  struct lost_report {
    time_point at;
    bool hub = false;
    std::set<target_id> lost;
  };

  [[nodiscard]] static bool is_fresh(time_point now, const lost_report& report) {
    return now - report.at < report_retention;
  }

  std::map<node_id, lost_report> reports_;
};

}  // namespace arbutus
