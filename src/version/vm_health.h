// What the planner is told of a VM. Who watches VMs decides when silence counts as a loss.
#pragma once

#include "base/id.h"

namespace arbutus {

enum class vm_condition {
  working,
  suspect,  // not heard of for a moment: kept where it is, but given nothing new
  lost,
  leaving,  // still works; the platform takes it away soon
};

struct vm_health {
  vm_id vm;
  vm_condition condition = vm_condition::lost;
};

}  // namespace arbutus
