// Decides which nodes may send to a target that declares a rate limit (admission/send_limits).
//
// The limit applies to all nodes together. Fixed shares would go to nodes without callers: with
// 340 nodes and 2 requests a second, a node could send once in three minutes. So the hub that
// manages the target's data centre issues grants at the limit's rate, one for each request, and
// picks a random receiver for each: one of its own nodes, or the hub of another data centre, which
// picks among its nodes. Receivers are weighted by their recent demand for the target. Grants are
// sent with the heartbeats and expire, so no more are outstanding than the limit allows in a second
// or two.
//
// While two hubs both act as replica controller, both issue grants; a hub that has ended issues
// none. Value types in virtual time.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/id.h"
#include "base/rng.h"
#include "base/units.h"

namespace arbutus {

// What a heartbeat reports about a target's limit.
struct limit_update {
  target_id target;
  std::optional<double> per_second;  // empty if the target no longer declares a limit
  duration age{};                    // time since the target's response that declared the limit
  double demand = 0;  // calls a second for the target, from the sender or its whole data centre
  bool operator==(const limit_update&) const = default;
};

// Grants for one warming target. They expire at a fixed age, so only those of the newest round are
// sent, and only once: `total` tells whether they were received already.
struct warming_grant {
  target_id target;
  std::uint64_t total = 0;
  std::uint64_t newest = 0;  // of `total`, issued in the newest round
  bool operator==(const warming_grant&) const = default;
};

// Total numbers of grants that one incarnation of the receiver has been given so far, for targets
// with recent grants. Totals rather than increments, so that a lost message does no harm.
struct grant_update {
  std::string receiver_incarnation;
  std::vector<std::pair<target_id, std::uint64_t>> totals;
  std::vector<warming_grant> warming = {};
  bool operator==(const grant_update&) const = default;
};

// How many grants a hub may issue for a warming target.
struct warming_issue {
  double per_second = 0;
  // In any time of one second and the maximum age of a grant, at most this many.
  std::size_t max_in_window = 0;
};

// The numbers for a hub with the given share (hub_followers) of a target that bears
// `requests_per_second` while it is cold, so that all nodes together send at most
// `requests_per_second` x `overage` + `tolerance` in any second. Issues nothing if that bound is at
// most 1, or less than 1 of it falls to this hub.
[[nodiscard]] warming_issue issue_for_warming(double requests_per_second, double overage,
                                              double tolerance, double share);

// Used by a hub to issue and distribute grants.
class send_grants {
 public:
  // `demand`: calls a second that `peer` could have sent to each target. `peer` is a node of this
  // data centre or the hub of another one.
  void set_demand(time_point now, const node_id& peer, const std::string& incarnation,
                  bool is_remote_hub, std::map<target_id, double> demand);

  // Distributes the grants of one round of heartbeats. `issued`: the targets that this hub issues
  // grants for, and their limits in requests a second.
  void distribute_round(time_point now, rng& random, const std::map<target_id, double>& issued);
  // Issues grants for warming targets to the nodes of this data centre, from the rates that applied
  // since the previous call.
  void distribute_warming_round(time_point now, rng& random,
                                const std::map<target_id, warming_issue>& issued);
  // When the previous round for warming targets was.
  [[nodiscard]] time_point warming_round_at() const { return warming_round_at_; }
  // Adds grants that the issuing hub of another data centre gave to this hub, for the nodes of this
  // data centre.
  void received(const target_id& target, std::uint64_t count);

  [[nodiscard]] grant_update update_for(time_point now, const node_id& peer) const;
  // Demand of all nodes of this data centre together, in calls a second.
  [[nodiscard]] std::map<target_id, double> local_demand(time_point now) const;

  // A target with a limit of zero still gets requests at this rate, to notice when the limit
  // changes.
  static constexpr double min_grants_per_second = 0.2;
  // The total of a target is repeated in heartbeats for this long after its newest grant: several
  // heartbeats in a row may be lost.
  static constexpr duration resend_duration = 2s;
  // A peer that last reported its demand longer ago than this gets no grants.
  static constexpr duration max_demand_age = 1500ms;

 private:
  struct grant_count {
    std::uint64_t total = 0;
    time_point granted_at{};  // when the newest grant was given
  };
  struct warming_count {
    std::uint64_t total = 0;
    std::uint64_t newest = 0;
    time_point round_at{};  // when `newest` were issued
  };
  struct warming_issuer {
    double credit = 0;                 // fraction of a grant not issued yet
    std::deque<time_point> issued_at;  // within the window of `max_in_window`
  };
  struct receiver {
    time_point reported_at{};
    std::string incarnation;
    bool is_remote_hub = false;
    std::map<target_id, double> demand;
    std::map<target_id, grant_count> granted;  // to this incarnation; totals never decrease
    std::map<target_id, warming_count> warming;
  };

  void distribute(time_point now, rng& random, const target_id& target, bool to_other_hubs,
                  double& credit);
  [[nodiscard]] receiver* pick_receiver(time_point now, rng& random, const target_id& target,
                                        bool to_other_hubs);

  std::map<node_id, receiver> receivers_;
  std::map<target_id, double> issue_credit_;  // fraction of a grant not distributed yet, below one
  std::map<target_id, double>
      forward_credit_;  // grants received, to be distributed in the next round
  time_point last_round_at_{};
  std::map<target_id, warming_issuer> warming_issuers_;
  time_point warming_round_at_{};
};

// Used by a node, and by a hub that receives grants from the issuing hub.
class grant_receiver {
 public:
  // The grants that are new in this update. `valid_from`: the content of the heartbeat is not older
  // than this. Grants that may be too old are dropped, since they belong to an earlier second of
  // the limit.
  std::map<target_id, std::uint64_t> receive(time_point valid_from, time_point now,
                                             const node_id& from,
                                             const std::string& sender_incarnation,
                                             const std::string& own_incarnation,
                                             const grant_update& update);

  // The same for warming targets. The caller dates them from `valid_from`, at which they may have
  // expired already.
  std::map<target_id, std::uint64_t> receive_warming(const node_id& from,
                                                     const std::string& sender_incarnation,
                                                     const std::string& own_incarnation,
                                                     const grant_update& update);

  static constexpr duration max_grant_transit_time = 1s;

 private:
  struct sender_totals {
    std::string incarnation;
    std::map<target_id, std::uint64_t> totals;
    std::map<target_id, std::uint64_t> warming_totals;
  };
  // Totals are kept for this many incarnations of each sender: incarnations have no order, and a
  // heartbeat of a previous one may come late.
  static constexpr std::size_t max_incarnations_per_sender = 3;
  [[nodiscard]] sender_totals& find_sender(const node_id& from, const std::string& incarnation);

  std::map<node_id, std::deque<sender_totals>> senders_;  // newest incarnation at the end
};

}  // namespace arbutus
