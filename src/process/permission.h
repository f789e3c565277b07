// Which replicas may be routed to. Permission is based on recent observations of each member and
// expires on its own: a node that was paused or cut off has only old observations and stops routing
// without being notified.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/id.h"
#include "base/units.h"
#include "process/observations.h"
#include "process/report.h"
#include "version/assignment.h"

namespace arbutus {

// A replica may be routed to while the newest observation of each of its members is not older than
// this. Less than the 2.5 s within which routing to a replica with a lost member must end; more
// than the 2 s that an observation is old in the worst case, when both the probe interval and the
// heartbeat that carries it were just missed.
inline constexpr duration permission_validity = 2400ms;
// A target that does not check fencing tokens must report the right generation for this long before
// its replica serves. Exceeds the time for which a delayed older order stays valid in transit.
inline constexpr duration token_settle_time = 2500ms;

// The newest observation and the condition of one member.
struct member_observation {
  const observation* seen = nullptr;  // newest, by this node or a trusted peer; null: none
  target_condition state = target_condition::unknown;
  bool checks_fencing_tokens = true;
};

// Tracks since when a VM has reported the same incarnation, replica, generation and state without
// a differing report in between.
class ready_tracker {
 public:
  // To be called for each new newest observation.
  void observe(const observation& seen);
  void forget(const vm_id& vm) { runs_.erase(vm); }
  // Since when the VM has been ready without interruption; empty when it was not ready when last
  // observed.
  [[nodiscard]] std::optional<time_point> ready_since(const vm_id& vm) const;

 private:
  struct ready_run {
    std::uint64_t incarnation{};
    replica_id replica;
    generation fencing_generation;
    engine_state state = engine_state::idle;
    time_point since;
  };
  std::map<vm_id, ready_run> runs_;
};

struct permit {
  bool granted = false;
  time_point valid_until{};    // set if granted
  time_point serving_since{};  // set if granted
  std::string why_not;         // set otherwise
};

// Whether requests may be sent to this composition at `now`.
[[nodiscard]] permit permission_for(
    time_point now, const composition& in_force, const ready_tracker& readiness,
    const std::function<member_observation(const vm_id&)>& lookup_member);

}  // namespace arbutus
