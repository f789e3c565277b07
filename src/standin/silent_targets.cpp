// Waits of the stand-in targets that are silent.
#include "standin/silent_targets.h"

#include "connection/clock.h"
#include "connection/fiber_runtime.h"
#include "standin/standin_http.h"

namespace arbutus::standin {

void silent_targets::set(const std::string& target, bool silent) {
  const std::lock_guard guard(mutex_);
  if (silent) {
    targets_.insert(target);
  } else {
    targets_.erase(target);
  }
}

bool silent_targets::contains(const std::string& target) const {
  const std::lock_guard guard(mutex_);
  return targets_.contains(target);
}

void silent_targets::wait_while_silent(const std::string& target) const {
  while (contains(target) && sleep_until(monotonic_now() + fault_poll_interval)) {
  }
}

}  // namespace arbutus::standin
