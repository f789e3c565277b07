// Stand-in for the platform's VM list: records changes and shows them after a lag.
#include "standin/vm_list_standin.h"

namespace arbutus::standin {

void vm_list_standin::set(time_point now, const vm_id& vm, vm_presence presence) {
  changes_[vm].push_back({now, presence});
}

std::vector<vm_list_entry> vm_list_standin::read(time_point now) const {
  std::vector<vm_list_entry> shown;
  for (const auto& [vm, changes] : changes_) {
    vm_presence presence = vm_presence::removed;
    for (const change& c : changes) {
      if (c.at + lag_ <= now) {
        presence = c.presence;
      }
    }
    if (presence != vm_presence::removed) {
      shown.push_back({vm, presence == vm_presence::leaving});
    }
  }
  return shown;
}

}  // namespace arbutus::standin
