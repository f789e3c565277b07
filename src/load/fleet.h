// A fleet inside this process, for `trial` and `load`: nodes in several data centres and stand-ins
// for the platform, for target VMs and for a service that is not a model, all on free loopback
// ports.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "connection/fiber_runtime.h"
#include "connection/http_client.h"
#include "node/node.h"
#include "standin/fleet.h"
#include "version/configuration.h"

namespace arbutus {

// A workspace whose callers send requests. Its API key is valid in this process only.
struct fleet_workspace {
  std::string name;
  std::string key;
  double share = 1.0;
};

// What a fleet of nodes and stand-ins consists of. All data centres are alike.
struct fleet_spec {
  std::size_t data_centres = 3;
  std::size_t nodes_per_data_centre = 2;
  std::size_t vms_per_data_centre = 7;
  std::uint32_t replicas_per_data_centre = 2;
  std::uint32_t vms_per_replica = 2;
  std::uint32_t slots = 8;
  std::uint32_t standbys_per_replica = 1;
  model_id model{"dispatch-llm"};
  std::size_t node_workers = 1;
  // Worker threads of the runtime that stand-ins and callers share.
  std::size_t runtime_workers = 3;
  fleet_settings standins;
  duration load_balancer_lag = 300ms;
  std::uint64_t seed = 1;
  std::vector<fleet_workspace> workspaces;
  std::vector<class_rule> classes;
};

inline constexpr std::string_view fleet_service_name = "crew-api";
inline constexpr std::string_view fleet_service_path = "/crew";

class fleet {
 public:
  explicit fleet(fleet_spec fleet_config);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  // Proposes a configuration that gives the first workspace this share of the capacity, through the
  // first node, as the `apply` subcommand does. Returns the configuration's version, or 0 if it was
  // not accepted.
  std::uint64_t apply(double first_workspace_share);

  [[nodiscard]] const fleet_spec& fleet_config() const { return fleet_config_; }
  [[nodiscard]] standin_fleet& standins() { return *standins_; }
  [[nodiscard]] std::vector<std::unique_ptr<node>>& nodes() { return nodes_; }
  [[nodiscard]] socket_address caller_address(std::size_t node) const;
  [[nodiscard]] data_centre_id data_centre(std::size_t index) const;
  [[nodiscard]] fiber_runtime& runtime() { return runtime_; }
  [[nodiscard]] http_client& client() { return *client_; }
  [[nodiscard]] const std::vector<fleet_workspace>& workspaces() const {
    return fleet_config_.workspaces;
  }
  [[nodiscard]] std::size_t desired_replicas() const;
  // Number of serving replicas, summed over all data centres: in each, the lowest number that one
  // of its nodes can route to.
  [[nodiscard]] std::size_t serving_replicas() const;
  [[nodiscard]] bool is_active_on_all_nodes(std::uint64_t version) const;
  // A VM that is a member of a serving replica, with the id of that replica.
  struct member {
    vm_id vm;
    replica_id replica;
    std::size_t node = 0;  // index of a node in the same data centre
  };
  // The last member of the last serving replica of the data centre; `vm` is empty if none serves.
  [[nodiscard]] member find_member(std::size_t data_centre);
  // The head (first member) of a serving replica, which answers the replica's requests.
  struct replica_head {
    vm_id vm;
    socket_address address;
  };
  [[nodiscard]] std::vector<replica_head> heads() const;
  // Whether the node routes to the replica in a composition that does not contain the VM `without`.
  [[nodiscard]] bool routes_without_member(std::size_t node, const replica_id& replica,
                                           const vm_id& without);
  [[nodiscard]] bool is_routed_to(std::size_t node, const replica_id& replica);

 private:
  [[nodiscard]] inventory assets_without_ports() const;
  [[nodiscard]] std::string inventory_text() const;
  [[nodiscard]] std::string rules_text(double first_workspace_share) const;
  void start_nodes();

  fleet_spec fleet_config_;
  // The order of these members matters: the runtime must outlive everything that runs on it.
  fiber_runtime runtime_;
  std::unique_ptr<standin_fleet> standins_;
  std::unique_ptr<http_client> client_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::uint64_t version_ = 0;
};

}  // namespace arbutus
