// Times that the followers of the store share. Only for the store_*.cpp files here.
#pragma once

#include "base/units.h"

namespace arbutus {

// Beyond the wait, for the store's own slowness (240 ms when it is sixty times slower); then the
// connection may be a silent one. Wait, slack and a beat leave room for another hub's first
// question before the nodes' proofs are too old.
inline constexpr duration answer_slack = 500ms;
inline constexpr duration start_phase = 12s;
inline constexpr duration retry_pause = 100ms;
// Whether the hub still feeds this node is looked at so often.
inline constexpr duration look_interval = 100ms;
// Four beats of the hub: then this node asks the store itself, and its lease still has over 2 s.
inline constexpr duration fed_for = 800ms;
inline constexpr duration read_timeout = 1500ms;

}  // namespace arbutus
