// Rate limits that targets report in their responses: requests per second that a target accepts
// from all nodes together, in force while its responses carry the limit.
//
// A node learns a limit from a response to itself or from its peers. It sends a limited target only
// what its hub has granted (admission/send_grants). Each send uses one grant, be it a first
// attempt, a retry or a resumed stream. A target without grants at this node is not chosen.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "admission/grant_ledger.h"
#include "base/id.h"
#include "base/units.h"

namespace arbutus {

// The target's limit in the headers of a response.
struct announced_limit {
  bool is_present = false;
  bool is_readable = true;           // false: at least one value is not a valid rate
  std::optional<double> per_second;  // the lowest valid rate
};

// The rate limit of a target as last known to this node.
struct send_limit {
  std::optional<double> per_second;  // requests per second; none: the target reports no limit now
  time_point seen_at{};              // time of the newest report
};

class send_limits {
 public:
  enum class change : std::uint8_t { none, announced, removed, unreadable };

  // Processes a response of the target; `sent_at`: when its request was sent. A response without a
  // limit clears one only if its request was sent after the limit was last received.
  change on_response(time_point sent_at, time_point now, const target_id& target,
                     const announced_limit& response_limit);

  // A peer reported the limit; its `seen_at` is not later than the target's response.
  void received(const target_id& target, const send_limit& limit);

  // The last known limit of the target; null if none is known.
  [[nodiscard]] const send_limit* find(const target_id& target) const;
  [[nodiscard]] const std::map<target_id, send_limit>& all() const { return limits_by_target_; }
  [[nodiscard]] bool is_limited(const target_id& target) const;
  // Erases limits that no response or peer has reported for `retention`, except limits in force for
  // which `keep(target)` returns true because the target may still be alive.
  template <class Keep>
  void forget(time_point now, Keep&& keep) {
    std::erase_if(limits_by_target_, [&](const auto& entry) {
      const auto& [target, limit] = entry;
      const bool settled = now - limit.seen_at > retention;
      return settled && (!limit.per_second || !keep(target));
    });
    std::erase_if(local_usage_, [&](const auto& entry) { return !is_limited(entry.first); });
  }

  // Counts a call that could be sent to this limited target.
  void note_demand(time_point now, const target_id& target);
  // Recent calls per second that could have been sent to each target.
  [[nodiscard]] std::map<target_id, double> demand(time_point now) const;

  void granted(time_point now, const target_id& target, std::uint64_t count);
  // Whether the target has no limit or there is a grant left.
  [[nodiscard]] bool may_send(time_point now, const target_id& target) const;
  // Uses one grant, if the target is limited.
  void sent(time_point now, const target_id& target);

  // Unused grants expire after this time, which bounds a burst to the requests that the limit
  // allows in it.
  static constexpr duration grant_validity = 1200ms;
  static constexpr duration retention = 10s;

 private:
  std::map<target_id, send_limit> limits_by_target_;
  std::map<target_id, grant_ledger> local_usage_;
};

[[nodiscard]] std::string_view to_string(send_limits::change change);

}  // namespace arbutus
