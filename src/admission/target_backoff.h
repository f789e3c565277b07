// Targets that restrain this node in their responses: a 503 with Retry-After asks it to back off
// for a while, and a leaving target wants no further request at all.
//
// A restraint applies to one incarnation of a target at one address: it neither passes to the next
// target at that address nor ends with a change of the target's record. It is known only to the
// node that received the response, and a restarted node forgets it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "base/id.h"
#include "base/units.h"
#include "version/inventory.h"

namespace arbutus {

// What a response says about further requests to its target.
struct target_notice {
  std::optional<duration> retry_after;      // of a 503: the target wants no request for this long
  bool has_unreadable_retry_after = false;  // of a 503: at least one value is not a valid time
  bool is_leaving = false;

  [[nodiscard]] bool is_empty() const {
    return !retry_after && !has_unreadable_retry_after && !is_leaving;
  }
};

// One incarnation of a target at one address.
struct target_instance {
  target_id id;
  endpoint address;
  auto operator<=>(const target_instance&) const = default;
};

// Why a target gets no requests of this node.
enum class target_restraint : std::uint8_t { none, backing_off, leaving };

class target_backoffs {
 public:
  struct backoff {
    time_point begun{};
    time_point ends{};
  };
  // What a response changed.
  struct effect {
    bool backoff_begun = false;
    bool backoff_extended = false;  // the target was backing off already
    bool leaving = false;           // for the first time
    bool unreadable = false;
  };
  struct counts {
    std::size_t backing_off = 0;
    std::size_t leaving = 0;
  };

  // A backoff never ends earlier than an earlier response asked for, whatever later ones say: the
  // target counts from its own response, and successes may belong to requests that it had accepted
  // before.
  effect on_response(time_point now, const target_instance& target, const target_notice& notice);

  [[nodiscard]] bool is_empty() const { return backoffs_.empty() && leaving_.empty(); }
  [[nodiscard]] target_restraint restraint_of(time_point now, const target_instance& target) const;
  // The running backoff of a target; empty if it has none.
  [[nodiscard]] std::optional<backoff> backoff_of(time_point now,
                                                  const target_instance& target) const;
  [[nodiscard]] counts count(time_point now) const;

  // Erases ended backoffs, and leaving targets that have not said so for `leaving_retention`,
  // except those for which `is_listed(id)` returns true.
  template <class IsListed>
  void forget(time_point now, IsListed&& is_listed) {
    std::erase_if(backoffs_, [&](const auto& entry) { return now >= entry.second.ends; });
    std::erase_if(leaving_, [&](const auto& entry) {
      return now - entry.second > leaving_retention && !is_listed(entry.first.id);
    });
  }

  // Upper bound of a backoff, whatever the target asks for: a wrong value must not cost its
  // capacity for longer than an operator takes to notice.
  static constexpr duration max_backoff = 5min;
  // The record of a leaving target may disappear and return while the platform's store is
  // unavailable.
  static constexpr duration leaving_retention = 10min;

 private:
  effect extend_backoff(time_point now, const target_instance& target, duration asked);

  std::map<target_instance, backoff> backoffs_;
  std::map<target_instance, time_point> leaving_;  // when each last said that it is leaving
};

// Time after which a caller should retry that is refused because of the backoff: its end and a part
// of the time after it, by `random_sample` (uniform in [0, 1)). Without the spread, all callers
// that were refused during the backoff would retry in the moment of its end.
[[nodiscard]] duration retry_after_backoff(time_point now, const target_backoffs::backoff& backoff,
                                           double random_sample);

[[nodiscard]] std::string_view to_string(target_restraint restraint);

}  // namespace arbutus
