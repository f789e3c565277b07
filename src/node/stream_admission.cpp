// Admission of streamed calls by the room of replicas.
#include "node/stream_admission.h"

#include <algorithm>

#include "admission/replica_room.h"
#include "node/log.h"

namespace arbutus {

namespace {

bool contains(std::span<const target_id> list, const target_id& id) {
  return std::ranges::find(list, id) != list.end();
}

std::vector<known_replica> known_replicas(const hosted_state& node,
                                          std::span<const serving_replica> replicas,
                                          std::span<const target_id> excluded,
                                          std::span<const target_id> suspected) {
  std::vector<known_replica> known;
  known.reserve(replicas.size());
  for (const serving_replica& replica : replicas) {
    const bool allowed = !contains(excluded, replica.head) && !contains(suspected, replica.head);
    known.push_back({node.loads.total(replica.head), replica.slowdown_factor,
                     replica.crosses_domains, allowed});
  }
  return known;
}

bool may_refuse(const hosted_request& call) {
  return !call.is_admitted && !call.relayed && call.possible_sends == 0 &&
         call.possible_runs == 0 && call.other_runs == 0 && call.fields.resume_after.empty();
}

void note_decision(hosted_state& node, const hosted_request& call, const class_admission& c,
                   const admission_plan& plan, const std::optional<refusal>& refused) {
  node.metrics.count("arbutusworks_admissions", "model=\"" + call.fields.model.str() +
                                                    "\",priority=\"" + std::to_string(c.priority) +
                                                    "\",decision=\"" +
                                                    (refused ? "refused" : "admitted") + "\"");
  if (!refused || !call.writes_log_lines) {
    return;
  }
  log_line(log_level::info, "admission", "refused",
           {{"request", call.fields.id},
            {"model", call.fields.model},
            {"priority", c.priority},
            {"fraction", c.fraction},
            {"arrivals", c.arrivals},
            {"can_take", c.can_take},
            {"room", c.room},
            {"completions", plan.completions},
            {"active", plan.active},
            {"slots", plan.slots},
            {"retry_after_ms", to_milliseconds(refused->retry_after)}});
}

}  // namespace

stream_admission admit_stream(hosted_state& node, hosted_request& call, const model_spec& model,
                              std::span<const serving_replica> replicas,
                              std::span<const target_id> excluded,
                              std::span<const target_id> suspected, time_point now) {
  if (!call.map->has_prioritised_streams(call.service->id)) {
    return {};
  }
  const std::vector<known_replica> known = known_replicas(node, replicas, excluded, suspected);
  if (node.trend.is_due(now)) {
    node.trend.update(now, node.demand.all(now));
  }
  const std::vector<request_class> classes = request_classes(node.trend.current(), model.id);
  admission_plan plan = plan_admission(*call.service->engine, model, known, classes,
                                       node.calibration.correction(model.id));
  class_admission* own = plan.find(call.urgency.value_or(0));
  if (own == nullptr) {
    return {};
  }
  stream_admission result;
  if (may_refuse(call)) {
    if (own->fraction < 1 && node.random.unit() >= own->fraction) {
      result.refused = {retry_delay(plan, call.deadline - now, node.random.unit()),
                        at_capacity_reason};
    }
    call.is_admitted = !result.refused;
    note_decision(node, call, *own, plan, result.refused);
  }
  if (plan.is_short) {
    result.can_take = std::move(own->can_take_by_replica);
  }
  return result;
}

}  // namespace arbutus
