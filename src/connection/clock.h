// The clocks of this machine. Shells read time here and nowhere else, and pass it on as `now`.
#pragma once

#include <chrono>

#include "base/units.h"

namespace arbutus {

// Monotonic time of this machine; never steps back, and goes on while the machine is suspended.
// What goes wrong with a clock that stands still then: leases and proofs that lapsed during the
// suspension would look valid after it, and a withdrawn key would be served.
[[nodiscard]] time_point monotonic_now();

// The moment `t` on the standard library's steady clock, which timers use. That clock may stand
// still during a suspension, so the result is good for arming a timer now, not for keeping.
[[nodiscard]] std::chrono::steady_clock::time_point to_steady(time_point t);

// Time since the Unix epoch, which operators may step; only for what outlives the process.
[[nodiscard]] wall_time wall_now();

}  // namespace arbutus
