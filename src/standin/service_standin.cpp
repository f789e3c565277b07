// Executes and records the calls of a stand-in for a service that is not a model.
#include "standin/service_standin.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "standin/countdown.h"

namespace arbutus::standin {

std::string service_standin::expected_body(const service_id& service, const service_call& c) {
  return nlohmann::json{{"service", service.str()},
                        {"method", c.method},
                        {"path", c.path},
                        {"body_hash", content_hash(c.body)}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

service_reply service_standin::call(const service_call& c) {
  service_reply reply;
  reply.cut = decrement_if_positive(faults_.cut_before);
  if (reply.cut) {
    return reply;
  }
  record(c);
  reply.cut = decrement_if_positive(faults_.cut_after);
  if (decrement_if_positive(faults_.late)) {
    reply.late_by = faults_.late_by;
  }
  reply.body = expected_body(service_, c);
  return reply;
}

void service_standin::record(const service_call& c) {
  ++counters_.executions;
  const std::string& key = c.key.empty() ? c.id.str() : c.key.str();
  if (key.empty()) {
    return;
  }
  const std::uint32_t count = ++executions_[key];
  counters_.keys = executions_.size();
  counters_.max_per_key = std::max(counters_.max_per_key, count);
}

std::uint32_t service_standin::executions_of(std::string_view key) const {
  const auto found = executions_.find(std::string(key));
  return found == executions_.end() ? 0 : found->second;
}

}  // namespace arbutus::standin
