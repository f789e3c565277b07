// How long a node may check the API keys of callers by its configuration version.
//
// A revoked key must be rejected by all nodes within a time limit, also by nodes that are
// partitioned or were paused. A node therefore accepts keys only while it has a proof, younger than
// this limit, that the platform named the node's version as the newest. The age of a proof counts
// from the moment the node sent its query to the platform, because the answer may have been delayed
// without limit.
//
// Uses a clock that also runs while the machine is suspended.
#pragma once

#include <algorithm>
#include <optional>

#include "base/units.h"

namespace arbutus {

struct config_lease_settings {
  // Time limit from acceptance of a configuration until all nodes reject the keys that it revokes.
  duration revocation_bound = 5s;
  // A node's watch of the platform's store may miss changes for 1 s before it is notified that
  // history was dropped, so an empty answer proves only that there was nothing newer 1 s before the
  // query.
  duration platform_watch_staleness = 1s;
  // Covers the drift between two clocks over the time limit, and the delay between the check of a
  // request's key and the sending of the request to a target.
  duration safety_margin = 300ms;
};

class config_lease {
 public:
  explicit config_lease(const config_lease_settings& settings) : settings_(settings) {}

  // Call when the platform has answered a query sent at `queried_at` and this node has the
  // configuration version that the platform named as the newest.
  void renew(time_point queried_at) {
    if (!proof_query_time_ || queried_at > *proof_query_time_) {
      proof_query_time_ = queried_at;
    }
  }

  // Whether keys may be checked at `now`, the time when a request is read. The caller sent the
  // request before `now`, so it is enough that the proof is young enough at this time.
  [[nodiscard]] bool valid(time_point now) const {
    return proof_query_time_ && now - *proof_query_time_ < proof_validity();
  }

  [[nodiscard]] duration proof_validity() const {
    return settings_.revocation_bound - settings_.platform_watch_staleness -
           settings_.safety_margin;
  }

  // Age of the newest proof that this node's configuration is current; for logs.
  [[nodiscard]] std::optional<duration> age(time_point now) const {
    if (!proof_query_time_) {
      return std::nullopt;
    }
    return now - *proof_query_time_;
  }

 private:
  config_lease_settings settings_;
  // When the query was sent that gave the newest proof that this node's configuration is current;
  // none: no proof yet.
  std::optional<time_point> proof_query_time_;
};

}  // namespace arbutus
