// Stand-in for the platform's object store: reads and replaces objects by name, with the faults of
// the real store.
#pragma once

#include <map>
#include <string>

#include "base/units.h"
#include "standin/store_fault_model.h"

namespace arbutus::standin {

struct object_reply {
  store_status status = store_status::ok;  // never `conflict`: a put replaces the object
  std::string content;
  duration latency{};
};

class object_standin {
 public:
  explicit object_standin(std::uint64_t seed = 2) : fault_model_(seed) {}

  [[nodiscard]] object_reply get(time_point now, const std::string& name,
                                 const data_centre_id& from = {});
  object_reply put(time_point now, const std::string& name, std::string content,
                   const data_centre_id& from = {});

  [[nodiscard]] store_faults& faults() noexcept { return fault_model_.faults(); }
  [[nodiscard]] const store_counters& counters() const noexcept { return fault_model_.counters(); }

 private:
  std::map<std::string, std::string> objects_;
  store_fault_model fault_model_;
};

}  // namespace arbutus::standin
