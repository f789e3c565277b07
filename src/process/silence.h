// Notices replicas that have gone silent.
//
// An engine that loses a member of its replica goes on accepting requests and moves none of them.
// One would see every stream of that replica stop at once, seconds before the platform's list or
// the engine itself says so. A replica that works sends an event of each stream with every pass.
#pragma once

#include <map>
#include <vector>

#include "base/id.h"
#include "base/units.h"

namespace arbutus {

struct silence_settings {
  // Beyond the expected gap: a late packet, the node's own scheduling and the engine's rounding.
  duration margin = 100ms;
  // No gap is taken for silence before this.
  duration least = 180ms;
  // After a replica was found well, it is not asked about again for so long.
  duration pause = 400ms;
};

class silence_monitor {
 public:
  explicit silence_monitor(const silence_settings& settings = {}) : settings_(settings) {}

  // A stream was sent, and its first event is expected at `first_by`.
  void sent(time_point now, const target_id& head, duration expected_first);
  // An event came; `expected_gap` until the next of any stream of this head.
  void event(time_point now, const target_id& head, duration expected_gap);
  void first_event(const target_id& head);
  void ended(time_point now, const target_id& head, bool had_first_event);
  // The replica was asked and works.
  void found_well(time_point now, const target_id& head);

  // Heads that should have sent something by now.
  [[nodiscard]] std::vector<target_id> silent(time_point now) const;

 private:
  struct state {
    std::size_t waiting = 0;  // streams without a first event
    std::size_t running = 0;  // streams with one
    time_point last_event{};
    duration gap{};
    time_point first_by{};  // when a first event was last overdue, if nothing came at all
    time_point quiet_until{};
  };

  silence_settings settings_;
  std::map<target_id, state> heads_;
};

}  // namespace arbutus
