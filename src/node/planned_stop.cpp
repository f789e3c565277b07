// Ends the calls in progress of a node that stops.
#include "node/planned_stop.h"

#include "connection/fiber_runtime.h"
#include "node/log.h"

namespace arbutus {

void planned_stop::end_calls() {
  if (!sleep_until(calls_end_at_)) {
    return;
  }
  const std::size_t ended = calls.end_all();
  if (ended > 0) {
    log_line(log_level::warning, "node", "calls ended by the stop",
             {{"calls", std::uint64_t{ended}}});
  }
}

}  // namespace arbutus
