// Work that a fiber repeats until it is stopped, as when a node ends.
#pragma once

#include <functional>
#include <memory>

#include "connection/fiber_runtime.h"

namespace arbutus {

class periodic {
 public:
  // Runs `work` on `worker` every `interval`, first after one interval. The runtime outlives this.
  periodic(fiber_runtime& runtime, std::size_t worker, duration interval,
           std::function<void()> work);
  // Waits until a run of `work` that is under way has ended; none begins after that.
  ~periodic();
  periodic(const periodic&) = delete;
  periodic& operator=(const periodic&) = delete;

 private:
  struct state;
  std::shared_ptr<state> state_;  // shared with the fiber, which may see the end later
};

}  // namespace arbutus
