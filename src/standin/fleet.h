// All stand-ins of an inventory in this process: one port for each target VM and service instance,
// one for the platform, and a function for each fault. Used by trials and process tests.
//
// Every function may be called from any thread or fiber. Names that are not in the inventory throw
// std::out_of_range.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "connection/fiber_runtime.h"
#include "process/report.h"
#include "standin/engine_server.h"
#include "standin/platform_server.h"
#include "standin/service_server.h"
#include "version/inventory.h"

namespace arbutus::standin {

struct fleet_settings {
  // Whether the engines and services run in this process; the platform's VM list has all VMs in any
  // case.
  bool engines = true;
  bool services = true;
  // Settings of all engines; checks_fencing_tokens comes from the inventory instead.
  engine_settings engine;
  // Rate of the weight store, shared by all engines that load weights; 0: no limit.
  double weight_bytes_per_second = 0;
  duration vm_list_lag{};
  endpoint platform{"127.0.0.1", 0};
  store_faults table;  // initial faults of the table service: latency and rate limits
  store_faults objects;
};

class standin_fleet {
 public:
  // Listens at the addresses of the inventory; port 0 takes any free port. The runtime outlives the
  // fleet. Throws boost::system::system_error if an address cannot be listened on.
  standin_fleet(fiber_runtime& runtime, const inventory& assets, const fleet_settings& settings);
  ~standin_fleet();
  standin_fleet(const standin_fleet&) = delete;
  standin_fleet& operator=(const standin_fleet&) = delete;

  // Inventory as passed to the constructor, with the ports that were chosen.
  [[nodiscard]] const inventory& assets() const noexcept;
  [[nodiscard]] const endpoint& platform() const noexcept;

  // ---- target VMs ----
  void kill_vm(const vm_id& vm);  // the engine's process dies
  // The engine's process starts again, without replica, weights and cache.
  void restart_vm(const vm_id& vm);
  void kill_fabric_domain(const fabric_domain_id& domain);
  void restart_fabric_domain(const fabric_domain_id& domain);
  void pause_vm(const vm_id& vm);
  void resume_vm(const vm_id& vm);
  void set_straggler(const vm_id& vm, double speed);  // 1: normal
  void set_leaving(
      const vm_id& vm,
      bool leaving);  // announces in the engine's report and in the VM list that the VM leaves
  void remove_vm(const vm_id& vm);  // kills it and drops it from the VM list
  void set_unresponsive(const vm_id& vm, bool unresponsive);  // executes requests without answering
  void set_checks_tokens(const vm_id& vm, bool checks);
  void set_answer_faults(const vm_id& vm, const pending_answer_faults& faults);

  // ---- platform ----
  void table_outage(bool down);
  void lose_replies(std::uint64_t writes);  // loses the replies to the next `writes` writes of the
                                            // table, after they took effect
  void set_table_faults(const std::function<void(store_faults&)>& change);
  void set_object_faults(const std::function<void(store_faults&)>& change);
  // `cut`: the data centre cannot reach any service of the platform.
  void cut_off(const data_centre_id& dc, bool cut);
  [[nodiscard]] table_copy table_snapshot();
  void restore_table(table_copy old);

  // ---- services ----
  void set_service_faults(const service_id& service, const service_faults& faults);
  // `index`: position among the service's instances in the inventory.
  void kill_service_instance(const service_id& service, std::size_t index);
  void restart_service_instance(const service_id& service, std::size_t index);

  // ---- observations ----
  [[nodiscard]] engine_report report(const vm_id& vm);
  [[nodiscard]] engine_counters counters(const vm_id& vm);
  // How often engines accepted the request with this id, summed over all VMs; needs
  // engine.counts_runs_by_request.
  [[nodiscard]] std::uint32_t runs(const request_id& id);
  [[nodiscard]] store_counters table_counters();
  [[nodiscard]] service_counters counters(const service_id& service);
  [[nodiscard]] std::uint32_t executions_of(const service_id& service, const std::string& key);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace arbutus::standin

namespace arbutus {

using standin::fleet_settings;
using standin::standin_fleet;

}  // namespace arbutus
