// Observes the targets that may be warming, and limits what is sent to them.
#include "node/warming_watch.h"

#include <algorithm>
#include <string>

#include "node/log.h"

namespace arbutus {

bool limits_warming_targets(const hosted_state& node) {
  return node.map && std::ranges::any_of(node.map->services(), [](const service_spec& service) {
           return service.warmup.has_value();
         });
}

void update_warming_targets(hosted_state& node, time_point now) {
  if (!node.map || !node.fleet_known) {
    return;
  }
  node.warming.note_informed(node.informed_at);
  const bool unchanged =
      node.warming_revision == node.fleet.revision() && node.warming_version == node.map->version();
  if (unchanged) {
    return;
  }
  node.warming_revision = node.fleet.revision();
  node.warming_version = node.map->version();
  if (!limits_warming_targets(node)) {
    node.warming = {};
    return;
  }
  node.warming.begin_update(now, node.informed_at, node.requests_seen);
  for (const auto& [id, view] : node.fleet.all()) {
    const service_spec* service = node.map->find_service(view.record.service);
    if (service == nullptr || !service->warmup) {
      continue;
    }
    warmup_observation seen{view.record.data_centre, *service->warmup, view.lost,
                            view.row_version,        std::nullopt,     view.last_contact_at};
    // Without the records, the rows of serving replicas do not say how long a target is cold.
    if (node.fleet_complete) {
      seen.left_by_record = view.record.warmup_left;
    } else {
      const bool has_answered = view.reported_at != time_point{};
      seen.told_by_hub = !has_answered;
    }
    node.warming.observe(now, id, seen);
  }
  node.warming.end_update();
}

bool check_warming_target(hosted_state& node, time_point now, const target_id& target) {
  update_warming_targets(node, now);
  if (!node.warming.is_warming(now, target)) {
    return true;
  }
  const target_view* view = node.fleet.find(target);
  if (view == nullptr || view->record.data_centre != node.settings.data_centre) {
    node.metrics.count("arbutusworks_warming_choices", "granted=\"elsewhere\"");
    return false;
  }
  node.warming.note_demand(now, target);
  const bool granted = node.warming.has_grant(now, target);
  node.metrics.count("arbutusworks_warming_choices",
                     granted ? "granted=\"yes\"" : "granted=\"no\"");
  return granted;
}

bool use_warming_grant(hosted_state& node, time_point now, const target_id& target) {
  update_warming_targets(node, now);
  return !node.warming.is_warming(now, target) || node.warming.use_grant(now, target);
}

void report_warming_targets(hosted_state& node, time_point now) {
  if (node.warming.is_empty()) {
    return;
  }
  for (const auto& change : node.warming.take_changes(now)) {
    log_line(log_level::info, "warmup", change.warming ? "started" : "finished",
             {{"target", change.target},
              {"evidence", to_string(change.evidence)},
              {change.warming ? "left_ms" : "took_ms", to_milliseconds(change.time)}});
  }
  const auto counts = node.warming.take_grant_counts(now);
  const auto count = [&](std::string_view what, std::uint64_t by) {
    if (by > 0) {
      node.metrics.count("arbutusworks_warming_grants", "what=\"" + std::string(what) + "\"", by);
    }
  };
  count("received", counts.received);
  count("used", counts.used);
  count("expired", counts.expired);
}

}  // namespace arbutus
