// Objects by name.
#include "standin/object_standin.h"

#include <utility>

namespace arbutus::standin {

object_reply object_standin::get(time_point now, const std::string& name,
                                 const data_centre_id& from) {
  const gate_pass pass = gate_.enter(now, store_access::read, from);
  if (pass.verdict != gate_verdict::pass) {
    return {status_of(pass.verdict), {}, pass.latency};
  }
  const auto found = objects_.find(name);
  if (found == objects_.end()) {
    return {store_status::missing, {}, pass.latency};
  }
  return {store_status::ok, found->second, pass.latency};
}

object_reply object_standin::put(time_point now, const std::string& name, std::string content,
                                 const data_centre_id& from) {
  const gate_pass pass = gate_.enter(now, store_access::write, from);
  if (pass.verdict != gate_verdict::pass) {
    return {status_of(pass.verdict), {}, pass.latency};
  }
  if (gate_.lose_request()) {
    return {store_status::cut, {}, pass.latency};
  }
  objects_[name] = std::move(content);
  return {gate_.wrote() ? store_status::cut : store_status::ok, {}, pass.latency};
}

}  // namespace arbutus::standin
