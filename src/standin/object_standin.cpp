// Reads and writes of objects in the stand-in object store.
#include "standin/object_standin.h"

#include <utility>

namespace arbutus::standin {

object_reply object_standin::get(time_point now, const std::string& name,
                                 const data_centre_id& from) {
  const access_decision decision = fault_model_.admit(now, store_access::read, from);
  if (decision.result != access_result::pass) {
    return {status_of(decision.result), {}, decision.latency};
  }
  const auto found = objects_.find(name);
  if (found == objects_.end()) {
    return {store_status::missing, {}, decision.latency};
  }
  return {store_status::ok, found->second, decision.latency};
}

object_reply object_standin::put(time_point now, const std::string& name, std::string content,
                                 const data_centre_id& from) {
  const access_decision decision = fault_model_.admit(now, store_access::write, from);
  if (decision.result != access_result::pass) {
    return {status_of(decision.result), {}, decision.latency};
  }
  if (fault_model_.should_lose_request()) {
    return {store_status::no_response, {}, decision.latency};
  }
  objects_[name] = std::move(content);
  return {fault_model_.record_write() ? store_status::no_response : store_status::ok,
          {},
          decision.latency};
}

}  // namespace arbutus::standin
