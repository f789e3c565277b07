// The rules: which models and services the operators want to run, where and for whom. A value type,
// part of a configuration version.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/id.h"
#include "base/units.h"

namespace arbutus {

// Relative costs of a replica that is down and of accelerators that no replica can use; only their
// ratio matters.
struct weights {
  double group_downtime = 1.0;
  double stranded_accelerators = 1.0;
  auto operator<=>(const weights&) const = default;
};

struct model_placement {
  data_centre_id data_centre;
  std::uint32_t replicas{};  // desired number in this data centre
  auto operator<=>(const model_placement&) const = default;
};

struct model_rule {
  model_id id;
  std::string version;
  std::uint32_t vms_per_replica = 1;
  std::uint32_t accelerators_per_vm = 1;
  std::uint32_t slots = 8;  // requests that a replica runs concurrently
  bool may_cross_fabric_domains = false;
  std::uint32_t rank = 0;  // order of repair: models with a smaller number are repaired first
  std::vector<adapter_id> adapters;
  std::vector<model_placement> placements;
  auto operator<=>(const model_rule&) const = default;
};

struct service_rule {
  service_id id;
  std::string path_prefix;  // requests below this path go to the service
  // Method and path prefix of calls that may be repeated; all other calls run at most once.
  struct idempotent_call {
    std::string method;
    std::string path_prefix;
    auto operator<=>(const idempotent_call&) const = default;
  };
  std::vector<idempotent_call> idempotent_calls;
  // Workspaces that may call the service. Without a list all may, with an empty one none.
  std::optional<std::vector<workspace_id>> workspaces;
  auto operator<=>(const service_rule&) const = default;

  [[nodiscard]] bool may_be_called_by(const workspace_id& workspace) const;
};

// A class of requests within a workspace, such as "interactive" or "batch".
struct class_rule {
  std::string name;
  std::uint32_t priority = 0;  // 0 is the highest priority
  duration deadline = 30s;     // time until the response must be complete
  duration first_token = 2s;
  auto operator<=>(const class_rule&) const = default;
};

struct workspace_rule {
  workspace_id id;
  std::vector<std::string> key_hashes;  // SHA-256 of each key, hexadecimal
  std::vector<model_id> models;         // models that it may use
  double share = 1.0;                   // weight in fair queueing between workspaces
  double requests_per_second = 0;       // limit over all nodes; 0: no limit
  double burst = 0;
  auto operator<=>(const workspace_rule&) const = default;
};

struct rules {
  std::vector<model_rule> models;
  std::vector<service_rule> services;
  std::vector<workspace_rule> workspaces;
  std::vector<class_rule> classes;
  weights preference;
  std::uint32_t spare_vms_per_data_centre = 0;  // shared by all replicas
  std::uint32_t standbys_per_replica = 0;       // 0: the planner decides, based on the weights
  double vm_failures_per_day = 0.0;             // of all VMs together; an input of the planner
  double vm_repair_hours = 4.0;
  auto operator<=>(const rules&) const = default;

  [[nodiscard]] const model_rule* find_model(const model_id& id) const;
  [[nodiscard]] const service_rule* find_service(const service_id& id) const;
  [[nodiscard]] const workspace_rule* find_workspace(const workspace_id& id) const;
  [[nodiscard]] const class_rule* find_class(std::string_view name) const;
};

}  // namespace arbutus
