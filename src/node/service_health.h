// Tracks recent failures of instances of services that are not models; instances with a recent
// failure are tried last.
#pragma once

#include <map>
#include <mutex>

#include "base/units.h"
#include "version/inventory.h"

namespace arbutus {

// Recent failures of service instances, as observed by this node. Shared by all calls. Thread-safe.
class service_health {
 public:
  void note_failure(time_point now, const endpoint& instance);
  void note_success(const endpoint& instance);
  [[nodiscard]] bool failed_recently(time_point now, const endpoint& instance) const;

 private:
  mutable std::mutex lock_;
  std::map<endpoint, time_point> last_failure_at_;
};

}  // namespace arbutus
