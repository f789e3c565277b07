// How long a node may check keys by its configuration version.
//
// A revoked key must be rejected by all nodes within a bound, also by nodes that are partitioned or
// were paused. A node therefore uses keys only while it has a proof, younger than the bound, that
// the platform named its version as the newest. The age of a proof counts from the moment the query
// was sent, because the answer may have been delayed without limit.
//
// Uses a clock that also runs while the machine is suspended.
#pragma once

#include <algorithm>
#include <optional>

#include "base/units.h"

namespace arbutus {

struct config_lease_settings {
  duration bound = 5s;  // from acceptance of a version until the keys it revokes are rejected
  // A watch may miss changes for 1 s before it is notified that history was dropped, so an empty
  // answer proves only that there was nothing newer 1 s before the query.
  duration watch_staleness = 1s;
  // Drift between two clocks over the bound, and the delay between the check of a request and its
  // send to a target.
  duration margin = 300ms;
};

class config_lease {
 public:
  explicit config_lease(const config_lease_settings& settings) : settings_(settings) {}

  // The platform answered a query sent at `queried_at`, and this node has the version that it named
  // as the newest.
  void renew(time_point queried_at) {
    if (!proof_query_time_ || queried_at > *proof_query_time_) {
      proof_query_time_ = queried_at;
    }
  }

  // Checked when the request is read: its caller sent it before `now`, so it is enough that the
  // proof is younger than the bound at this time.
  [[nodiscard]] bool valid(time_point now) const {
    return proof_query_time_ && now - *proof_query_time_ < lifetime();
  }

  [[nodiscard]] duration lifetime() const {
    return settings_.bound - settings_.watch_staleness - settings_.margin;
  }

  // Age of the newest proof; for logs.
  [[nodiscard]] std::optional<duration> age(time_point now) const {
    if (!proof_query_time_) {
      return std::nullopt;
    }
    return now - *proof_query_time_;
  }

 private:
  config_lease_settings settings_;
  std::optional<time_point> proof_query_time_;
};

}  // namespace arbutus
