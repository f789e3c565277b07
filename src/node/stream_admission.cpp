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

std::vector<known_replica> known_replicas(std::span<const serving_replica> replicas,
                                          std::span<const replica_load> loads,
                                          std::span<const target_id> excluded,
                                          std::span<const target_id> suspected) {
  std::vector<known_replica> known;
  known.reserve(replicas.size());
  for (std::size_t i = 0; i < replicas.size(); ++i) {
    const target_id& head = replicas[i].head;
    known.push_back({loads[i], replicas[i].slowdown_factor, replicas[i].crosses_domains,
                     !contains(excluded, head) && !contains(suspected, head)});
  }
  return known;
}

// For the gauges.
void keep_figures(hosted_state& node, time_point now, const model_key& model,
                  const admission_plan& plan, std::span<const request_class> classes) {
  for (std::size_t i = 0; i < plan.classes.size(); ++i) {
    const class_admission& c = plan.classes[i];
    node.admissions[{model, c.priority}] = {now, classes[i].per_second, c.room, c.fraction};
  }
}

bool may_refuse(const hosted_request& call) {
  return !call.is_admitted && !call.relayed && call.possible_sends == 0 &&
         call.possible_runs == 0 && call.other_runs == 0 && call.fields.resume_after.empty();
}

void note_decision(hosted_state& node, const hosted_request& call, const class_admission& c,
                   const admission_plan& plan, double of_workspace,
                   const std::optional<refusal>& refused) {
  node.metrics.count("arbutusworks_admissions",
                     "service=\"" + call.service->id.str() + "\",model=\"" +
                         call.fields.model.str() + "\",priority=\"" + std::to_string(c.priority) +
                         "\",decision=\"" + (refused ? "refused" : "admitted") + "\"");
  if (!refused || !call.writes_log_lines) {
    return;
  }
  log_line(log_level::info, "admission", "refused",
           {{"request", call.fields.id},
            {"service", call.service->id},
            {"model", call.fields.model},
            {"priority", c.priority},
            {"fraction", c.fraction},
            {"workspace", call.workspace},
            {"workspace_fraction", of_workspace},
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
  stream_admission result;
  result.loads = loads_of(replicas, node.loads);
  const std::vector<known_replica> known =
      known_replicas(replicas, result.loads, excluded, suspected);
  if (node.trend.is_due(now)) {
    node.trend.update(now, node.demand.all(now));
  }
  const model_key key = model_of(call);
  const std::vector<request_class> classes = request_classes(node.trend.current(), key);
  admission_plan plan = plan_admission(*call.service->engine, model, known, classes,
                                       node.calibration.correction(key));
  class_admission* own = plan.find(call.urgency.value_or(0));
  if (own == nullptr) {
    return result;
  }
  keep_figures(node, now, key, plan, classes);
  if (may_refuse(call)) {
    const double fraction =
        node.shares.fraction(now, {key, own->priority}, call.workspace, own->fraction);
    if (fraction < 1 && node.random.unit() >= fraction) {
      result.refused = {retry_delay(plan, call.deadline - now, node.random.unit()),
                        at_capacity_reason};
    }
    call.is_admitted = !result.refused;
    note_decision(node, call, *own, plan, fraction, result.refused);
  }
  if (plan.is_short) {
    result.can_take = std::move(own->can_take_by_replica);
  }
  return result;
}

}  // namespace arbutus
