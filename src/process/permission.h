// Who may be routed to. Permission rests on evidence about each member and lapses by itself: a
// node that was paused or cut off finds its evidence old and stops, with nobody telling it to.
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

// How old the newest observation of each member may be. Under the 2.5 s within which a lost member
// has to end routing; over the 2 s that an observation is old at worst when both its prober's
// interval and the heartbeat that carries it were just missed.
inline constexpr duration permission_time = 2400ms;
// A target that ignores fencing tokens has to report the right generation for so long before its
// replica serves: longer than an order that was overtaken stays valid on its way.
inline constexpr duration settle_time = 2500ms;

// What is known of one member.
struct member_evidence {
  const observation* seen = nullptr;  // newest, own or a trusted peer's; null: none
  target_condition state = target_condition::unknown;
  bool checks_tokens = true;
};

// Since when a VM has reported the same process, replica, generation and ready state, without a
// differing report in between.
class steadiness {
 public:
  // To be called with every newest observation.
  void observe(const observation& seen);
  void forget(const vm_id& vm) { spells_.erase(vm); }
  // Empty when the VM was not ready when last seen.
  [[nodiscard]] std::optional<time_point> ready_since(const vm_id& vm) const;

 private:
  struct spell {
    std::uint64_t incarnation{};
    replica_id replica;
    generation gen;
    engine_state state = engine_state::idle;
    time_point since;
  };
  std::map<vm_id, spell> spells_;
};

struct permit {
  bool granted = false;
  time_point valid_until{};    // set if granted
  time_point serving_since{};  // set if granted
  std::string why_not;         // set otherwise
};

// Whether requests may be sent to this composition at `now`.
[[nodiscard]] permit permission_for(time_point now, const composition& in_force,
                                    const steadiness& steady,
                                    const std::function<member_evidence(const vm_id&)>& evidence);

}  // namespace arbutus
