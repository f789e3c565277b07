// Runs a function periodically in a fiber until it is stopped, for example when a node shuts down.
#pragma once

#include <functional>
#include <memory>

#include "connection/fiber_runtime.h"

namespace arbutus {

class periodic {
 public:
  // Runs `work` on `worker` every `interval`, first after one interval. The runtime must outlive
  // this object.
  periodic(fiber_runtime& runtime, std::size_t worker, duration interval,
           std::function<void()> work);
  // Waits for a running call of `work`; no call starts after that.
  ~periodic();
  periodic(const periodic&) = delete;
  periodic& operator=(const periodic&) = delete;

 private:
  struct state;
  std::shared_ptr<state> state_;  // shared with the fiber, which may finish later than this object
};

}  // namespace arbutus
