// Stand-in for the platform's VM list, which shows every change only after a lag.
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

  // Records a change of a VM. Changes of one VM must be recorded in order of time.
  void set(time_point now, const vm_id& vm, vm_presence presence);

  // Returns the VM list as it was one lag before `now`.
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
