// State of one tick of the replica controller. Private to the replica_controller*.cpp files.
#pragma once

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>
#include <set>
#include <vector>

#include "capacity/replica_controller.h"

namespace arbutus {

// Numbers of engines of a fabric domain by model: current (`ready`) and planned (`desired`).
struct replica_controller::domain_state {
  std::vector<std::uint32_t> ready;
  std::uint32_t unloaded = 0;
  std::vector<std::uint32_t> desired;

  [[nodiscard]] std::uint32_t engines() const {
    return std::accumulate(ready.begin(), ready.end(), unloaded);
  }
};

// An engine of the service, and what this controller knows about it.
struct replica_controller::engine_ref {
  const target_view& view;
  local_engine_state& local;
};

// Inputs, intermediate results and effects of one tick.
struct replica_controller::tick_context {
  time_point now;
  const fleet_view& fleet;
  const service_spec& service;
  const engine_parameters& engine;
  const responsibilities& own;
  controller_effects effects = {};
  std::vector<double> shares = {};       // planned shares of engine time, by model
  bool shares_changed = false;           // by demand, in this tick
  std::vector<engine_ref> engines = {};  // of the service, in all data centres
  // Replicas with members in this node's data centres.
  std::map<replica_key, formed_replica> formed = {};
  std::map<replica_key, formed_replica> formed_in_all_data_centres = {};  // in all data centres
  std::set<data_centre_id> unreachable = {};  // data centres whose engines get no orders
  std::set<target_id> engines_in_use = {};    // engines in a replica that is formed or being formed
  std::vector<formed_replica> cross_domain_replicas = {};  // complete replicas that span domains
  std::set<replica_key> vacated_replicas =
      {};  // replicas whose head was seen outside, so members are free
  // Engines that can be used for a new replica, by domain.
  std::map<fabric_domain_id, std::vector<const target_view*>> free_engines = {};
  std::map<fabric_domain_id, domain_state> domains = {};  // in all data centres
  // Number of reachable engines of the service in all data centres.
  std::map<fabric_domain_id, std::size_t> engines_by_domain = {};
  std::map<data_centre_id, std::size_t> engines_by_data_centre = {};
  std::size_t unlisted_members =
      0;  // unlisted members of replicas, without spares, that are not lost
  // Numbers of engines that load a model from the weight store: in all data centres, and in those
  // that this node controls.
  std::size_t loading_engines = 0;
  std::size_t loading_in_own_data_centres = 0;

  [[nodiscard]] std::optional<std::size_t> model_index(const model_id& id) const {
    for (std::size_t i = 0; i < engine.models.size(); ++i) {
      if (engine.models[i].id == id) {
        return i;
      }
    }
    return std::nullopt;
  }

  // Simultaneous loads from the weight store that this node's data centres may always use.
  [[nodiscard]] std::size_t own_load_limit() const {
    return std::max<std::size_t>(1, engine.concurrent_loads *
                                        std::max<std::size_t>(1, own.data_centres.size()) /
                                        std::max<std::size_t>(1, own.all_data_centres));
  }

  [[nodiscard]] bool is_in_own_data_centre(const target_view& view) const {
    return own.data_centres.contains(view.record.data_centre);
  }
  [[nodiscard]] bool is_evacuated(const target_view& view) const {
    return own.evacuated.contains(view.record.data_centre);
  }
  [[nodiscard]] static bool alive(const target_view* view) {
    return view != nullptr && view->listed && !view->lost;
  }
};

}  // namespace arbutus
