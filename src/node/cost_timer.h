// Adds the processor time of a scope to the costs of control. The scope must not suspend its fiber:
// the time of other fibers on the worker would be counted.
#pragma once

#include "connection/clock.h"
#include "process/control_costs.h"

namespace arbutus {

class cost_timer {
 public:
  cost_timer(control_costs& costs, control_part part)
      : costs_(costs), part_(part), began_at_(thread_processor_time()) {}
  ~cost_timer() { costs_.add(part_, thread_processor_time() - began_at_); }
  cost_timer(const cost_timer&) = delete;
  cost_timer& operator=(const cost_timer&) = delete;

 private:
  control_costs& costs_;
  control_part part_;
  duration began_at_;
};

}  // namespace arbutus
