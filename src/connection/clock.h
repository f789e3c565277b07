// The clocks of this machine. Only the I/O code reads the time, always through these functions, and
// passes it to the decision code as `now`.
#pragma once

#include <chrono>

#include "base/units.h"

namespace arbutus {

// Monotonic time of this machine. It never steps back and includes the time during which the
// machine is suspended. With a clock that stops then, leases and proofs that expired during the
// suspension would look valid after it, and a revoked key would still be accepted.
[[nodiscard]] time_point monotonic_now();

// Converts `t` to the standard library's steady clock, which timers use. That clock may stop while
// the machine is suspended, so the result is only valid for starting a timer now; do not store it.
[[nodiscard]] std::chrono::steady_clock::time_point to_steady(time_point t);

// Processor time that the calling thread has used.
[[nodiscard]] duration thread_processor_time();

// Time since the Unix epoch. Operators may set this clock, so use it only for times that outlive
// the process.
[[nodiscard]] wall_time wall_now();

}  // namespace arbutus
