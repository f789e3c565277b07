// The clocks of this machine. Shells read time here and nowhere else, and pass it on as `now`.
#pragma once

#include "base/units.h"

namespace arbutus {

// Monotonic time of this process; never steps back.
[[nodiscard]] time_point monotonic_now();

// Time since the Unix epoch, which operators may step; only for what outlives the process.
[[nodiscard]] wall_time wall_now();

}  // namespace arbutus
