// Converts a node's status to JSON.
#include "node/status_json.h"

#include <nlohmann/json.hpp>

namespace arbutus {

namespace {

using json = nlohmann::json;

double seconds_ago(time_point now, time_point then) {
  return then == time_point{} ? -1.0 : to_seconds(now - then);
}

template <class Id>
json names(const std::vector<Id>& ids) {
  json list = json::array();
  for (const Id& id : ids) {
    list.push_back(id.str());
  }
  return list;
}

json to_json(const node_status& n, time_point now) {
  return {{"node", n.id.str()},
          {"data_centre", n.data_centre.str()},
          {"live", n.live},
          {"leaving", n.leaving},
          {"config_version", n.config_version},
          {"config_seconds", seconds_ago(now, n.config_since)},
          {"assignment_version", n.assignment_version}};
}

json to_json(const vm_status& v, time_point now) {
  return {{"vm", v.id.str()},
          {"condition", v.condition},
          {"seconds", seconds_ago(now, v.since)},
          {"replica", v.reported_replica.str()},
          {"generation", to_string(v.reported_gen)}};
}

json to_json(const replica_status& r) {
  return {{"replica", r.id.str()},
          {"model", r.model.str()},
          {"draining", r.phase == replica_phase::draining},
          {"generation", to_string(r.fencing_generation)},
          {"members", names(r.members)},
          {"standbys", names(r.standbys)},
          {"serving", r.serving},
          {"why_not", r.why_not}};
}

json to_json(const coordination_counters& c) {
  return {{"row_reads", c.row_reads},
          {"writes_won", c.writes_won},
          {"writes_lost", c.writes_lost},
          {"writes_unknown", c.writes_unknown},
          {"restored_copies", c.restored_copies},
          {"activations", c.activations},
          {"orders_sent", c.orders_sent},
          {"orders_refused", c.orders_refused},
          {"orders_unknown", c.orders_unknown},
          {"orders_withheld", c.orders_withheld}};
}

}  // namespace

std::string status_json(const status_view& view, time_point now) {
  json out = {{"node", view.self.str()},
              {"table_reachable", view.table_reachable},
              {"table_seconds", seconds_ago(now, view.table_reachability_since)},
              {"assignment_version", view.assignment_version},
              {"config_version", view.config_version},
              {"counters", to_json(view.counters)},
              {"unmet", view.unmet_requirements},
              {"nodes", json::array()},
              {"vms", json::array()},
              {"replicas", json::array()},
              {"stranded", json::array()},
              {"drains", json::array()}};
  for (const node_status& n : view.nodes) {
    out["nodes"].push_back(to_json(n, now));
  }
  for (const vm_status& v : view.vms) {
    out["vms"].push_back(to_json(v, now));
  }
  for (const replica_status& r : view.replicas) {
    out["replicas"].push_back(to_json(r));
  }
  for (const stranded_vm& s : view.stranded) {
    out["stranded"].push_back({{"vm", s.id.str()}, {"reason", s.reason}});
  }
  for (const drain_status& d : view.drains) {
    out["drains"].push_back(
        {{"replica", d.id.str()}, {"waiting_for", names(d.waiting_for)}, {"running", d.running}});
  }
  return out.dump();
}

}  // namespace arbutus
