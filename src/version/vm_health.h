// The condition of a VM as an input of the planner. The component that monitors the VMs decides
// when an unresponsive VM counts as lost.
#pragma once

#include "base/id.h"

namespace arbutus {

enum class vm_condition {
  working,
  suspect,  // briefly unresponsive: keeps its place, but is not chosen for anything new
  lost,
  leaving,  // still works, but the platform removes it soon
};

struct vm_health {
  vm_id vm;
  vm_condition condition = vm_condition::lost;
};

}  // namespace arbutus
