// Stand-in for the platform's list of VMs, which shows every change only after a lag.
#pragma once

#include <map>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "process/effects.h"

namespace arbutus::standin {

enum class vm_presence { live, leaving, removed };

class vm_list_standin {
 public:
  void set_lag(duration lag) { lag_ = lag; }

  // Times of one VM's changes rise.
  void set(time_point now, const vm_id& vm, vm_presence presence);

  // As the list stood `lag` ago.
  [[nodiscard]] std::vector<vm_list_entry> read(time_point now) const;

 private:
  struct change {
    time_point at;
    vm_presence presence;
  };

  std::map<vm_id, std::vector<change>> changes_;
  duration lag_{};
};

}  // namespace arbutus::standin
