// Recent failures of service instances.
#include "node/service_health.h"

namespace arbutus {

namespace {

// For this long after a failure, an instance is tried after the others.
constexpr duration failure_retention = 3s;

}  // namespace

void service_health::note_failure(time_point now, const endpoint& instance) {
  const std::lock_guard guard(lock_);
  last_failure_at_[instance] = now;
}

void service_health::note_success(const endpoint& instance) {
  const std::lock_guard guard(lock_);
  last_failure_at_.erase(instance);
}

bool service_health::failed_recently(time_point now, const endpoint& instance) const {
  const std::lock_guard guard(lock_);
  const auto found = last_failure_at_.find(instance);
  return found != last_failure_at_.end() && now < found->second + failure_retention;
}

}  // namespace arbutus
