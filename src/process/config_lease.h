// How long the accepted version that a node holds may be acted on for what depends on keys.
//
// A key that was taken away has to be dead everywhere within a bound, also at nodes that are cut
// off or were paused. So a node uses keys only while it holds a proof, younger than the bound, that
// the platform still called its version the newest. A proof counts from the moment its question
// was sent: the answer may have been on its way for any time.
//
// Time is that of a clock that also runs while the machine is suspended.
#pragma once

#include <algorithm>
#include <optional>

#include "base/units.h"

namespace arbutus {

struct config_lease_settings {
  duration bound = 5s;  // from acceptance of a version until keys that it took away are dead
  // Watches may miss changes for a second before they are told that history was dropped, so that an
  // empty answer proves only that there was nothing newer a second before its question.
  duration watch_blindness = 1s;
  // Two clocks' drift over the bound and the lag between the check and the send of a request.
  duration margin = 300ms;
};

class config_lease {
 public:
  explicit config_lease(const config_lease_settings& settings) : settings_(settings) {}

  // The platform answered a question sent at `asked`, and this node holds what it named newest.
  void proved(time_point asked) {
    if (!proved_at_ || asked > *proved_at_) {
      proved_at_ = asked;
    }
  }

  // A request that comes now was sent by its caller before now. So it is enough that the bound has
  // not passed since the proof when the request is looked at.
  [[nodiscard]] bool valid(time_point now) const {
    return proved_at_ && now - *proved_at_ < lifetime();
  }

  [[nodiscard]] duration lifetime() const {
    return settings_.bound - settings_.watch_blindness - settings_.margin;
  }

  // Age of the newest proof; for logs.
  [[nodiscard]] std::optional<duration> age(time_point now) const {
    if (!proved_at_) {
      return std::nullopt;
    }
    return now - *proved_at_;
  }

 private:
  config_lease_settings settings_;
  std::optional<time_point> proved_at_;
};

}  // namespace arbutus
