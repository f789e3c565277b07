// A small fleet inside this process, for `trial`: stand-ins of the platform, of target VMs and of
// a plain service, and six nodes in three data centres, all on loopback with free ports.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "connection/fiber_runtime.h"
#include "connection/http_client.h"
#include "node/node.h"
#include "standin/fleet.h"
#include "version/configuration.h"

namespace arbutus {

// Keys that the trial's rules know, in clear: they open nothing else.
struct trial_workspace {
  std::string name;
  std::string key;
  double share = 1.0;
};

class trial_fleet {
 public:
  trial_fleet();
  ~trial_fleet();

  // Proposes the rules with this share for the first workspace through the first node, as `apply`
  // does. Returns the version, or 0 if it was not accepted.
  std::uint64_t apply(double first_share);

  [[nodiscard]] standin_fleet& standins() { return *standins_; }
  [[nodiscard]] std::vector<std::unique_ptr<node>>& nodes() { return nodes_; }
  [[nodiscard]] socket_address caller_address(std::size_t node) const;
  [[nodiscard]] fiber_runtime& runtime() { return runtime_; }
  [[nodiscard]] http_client& client() { return *client_; }
  [[nodiscard]] const std::vector<trial_workspace>& workspaces() const { return workspaces_; }
  [[nodiscard]] std::size_t wanted_replicas() const;
  // A member of a replica that serves now, and the replica.
  struct member {
    vm_id vm;
    replica_id replica;
    std::size_t node = 0;  // a node of its data centre
  };
  [[nodiscard]] member find_member(std::size_t data_centre);
  // Whether the node routes to the replica, and none of its members is `without`.
  [[nodiscard]] bool serves_without(std::size_t node, const replica_id& replica,
                                    const vm_id& without);
  [[nodiscard]] bool is_routed_to(std::size_t node, const replica_id& replica);

 private:
  [[nodiscard]] std::string inventory_text() const;
  [[nodiscard]] std::string rules_text(double first_share) const;

  // In order of construction: the runtime outlives all that runs on it.
  fiber_runtime runtime_;  // of the stand-ins and of the callers
  std::vector<trial_workspace> workspaces_;
  std::unique_ptr<standin_fleet> standins_;
  std::unique_ptr<http_client> client_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::uint64_t version_ = 0;
};

}  // namespace arbutus
