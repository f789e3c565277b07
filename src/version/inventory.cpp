// Lookups in the inventory.
#include "version/inventory.h"

#include <algorithm>

namespace arbutus {

namespace {

template <class Record, class Id>
const Record* find_by_id(const std::vector<Record>& records, const Id& id) {
  const auto found =
      std::find_if(records.begin(), records.end(), [&](const Record& r) { return r.id == id; });
  return found == records.end() ? nullptr : &*found;
}

template <class Record>
std::vector<const Record*> in_data_centre(const std::vector<Record>& records,
                                          const data_centre_id& dc) {
  std::vector<const Record*> result;
  for (const Record& r : records) {
    if (r.data_centre == dc) {
      result.push_back(&r);
    }
  }
  return result;
}

}  // namespace

std::string to_string(const endpoint& e) {
  return e.host + ":" + std::to_string(e.port);
}

const vm_record* inventory::find_vm(const vm_id& id) const {
  return find_by_id(vms, id);
}

const node_record* inventory::find_node(const node_id& id) const {
  return find_by_id(nodes, id);
}

std::vector<const vm_record*> inventory::vms_of(const data_centre_id& dc) const {
  return in_data_centre(vms, dc);
}

std::vector<const node_record*> inventory::nodes_of(const data_centre_id& dc) const {
  return in_data_centre(nodes, dc);
}

}  // namespace arbutus
