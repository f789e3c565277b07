// One tick of the keeper. Only for the replica_keeper*.cpp files.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "process/replica_keeper.h"

namespace arbutus {

// Engines of a domain by what they are ready for, beside what they should be.
struct replica_keeper::domain_state {
  std::vector<std::uint32_t> ready;
  std::uint32_t blank = 0;
  std::vector<std::uint32_t> desired;
};

// What one tick works on.
struct replica_keeper::round {
  time_point now;
  const fleet_view& fleet;
  const service_shape& service;
  const engine_parameters& engine;
  const duties& own;
  keeper_effects out = {};
  std::map<replica_key, standing_replica> standing = {};      // of this node's data centres
  std::map<replica_key, standing_replica> standing_all = {};  // of all
  std::set<data_centre_id> dark = {};                         // nothing of them is ordered
  std::set<target_id> taken = {};          // members of a replica that stands or forms
  std::vector<standing_replica> far = {};  // whole ones that span domains
  std::set<replica_key> left = {};         // whose head was seen outside: the members are free
  // Engines that may be used for a replica, by domain.
  std::map<fabric_domain_id, std::vector<const target_view*>> free = {};
  std::map<fabric_domain_id, domain_state> domains = {};  // of all data centres
  // Living engines of the service, of all data centres.
  std::map<fabric_domain_id, std::size_t> engines_of = {};
  std::map<data_centre_id, std::size_t> engines_in = {};
  std::size_t dropped = 0;  // members of real replicas that the list dropped and nobody lost
  // Engines that load a model from the weight store.
  std::size_t loading = 0;
  std::size_t loading_own = 0;

  [[nodiscard]] std::optional<std::size_t> model_index(const model_id& id) const {
    for (std::size_t i = 0; i < engine.models.size(); ++i) {
      if (engine.models[i].id == id) {
        return i;
      }
    }
    return std::nullopt;
  }

  [[nodiscard]] bool is_own(const target_view& view) const {
    return own.data_centres.contains(view.record.data_centre);
  }
  [[nodiscard]] static bool alive(const target_view* view) {
    return view != nullptr && view->listed && !view->lost;
  }
};

}  // namespace arbutus
