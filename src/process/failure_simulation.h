// Simulates a day of failures in one data centre. It runs only the planner and the local repair,
// without nodes or network, and compares standby policies, and the two ways to select the node that
// writes the row, by group downtime and by stranded accelerators.
#pragma once

#include <cstdint>
#include <ostream>
#include <vector>

#include "base/units.h"
#include "version/rules.h"

namespace arbutus {

enum class standby_policy {
  none,      // no VMs besides those of the replicas
  shared,    // spares, which only a new row can assign to a replica
  reserved,  // the same spares, reserved for replicas by the planner
};

enum class writer_selection {
  ranked,  // any node may propose; a node of lower rank waits longer
  leased,  // only the holder of a lease proposes
};

struct failure_simulation_settings {
  std::uint32_t fabric_domains = 5;
  std::uint32_t replicas_per_domain = 2;
  std::uint32_t vms_per_replica = 16;
  std::uint32_t spares_per_domain = 2;  // VMs powered besides the replicas; 0 under policy none
  std::uint32_t nodes = 21;
  // Rates of failures and restarts in one data centre: a sixteenth of those of the whole fleet,
  // which has 16 data centres.
  double vm_failures_per_day = 29.0 / 16;
  double vm_restarts_per_day = 160.0 / 16;
  double vm_repair_hours = 4.0;
  duration restart_duration = 10min;
  duration restart_notice_period = 2min;  // the platform lists the VM as leaving this long before
  std::uint32_t domain_outages = 1;
  duration domain_outage_duration = 1h;
  std::uint32_t table_outages = 1;  // in which the row can be neither read nor written
  duration table_outage_duration = 1h;
  std::uint32_t network_partitions =
      1;  // the data centre reaches nothing outside, including the table
  duration partition_duration = 1h;
  duration weights_load_time = 3min;  // for a VM that becomes a member at a rank new to it
  standby_policy policy = standby_policy::reserved;
  writer_selection writer = writer_selection::ranked;
  weights preference;
};

struct failure_simulation_result {
  double group_downtime{};         // replica-seconds desired but not served
  double stranded_accelerators{};  // accelerator-seconds powered but in no serving replica
  std::uint32_t rows_written = 0;
  std::uint32_t wasted_writes = 0;  // row writes refused because another node wrote first
  std::uint32_t lease_writes = 0;   // writes that acquire or renew the lease
  std::uint32_t activations = 0;    // standbys activated while the table was unavailable
  // One entry per change: seconds from its detection until the row with it is written, not counting
  // the time when the table could not be written.
  std::vector<double> row_write_delays_s;
};

// Deterministic: equal settings and an equal seed give an equal result.
[[nodiscard]] failure_simulation_result run_failure_simulation(
    const failure_simulation_settings& settings, std::uint64_t seed);

// Prints one table that compares policies and writer selections over many seeds.
void print_failure_simulation(std::ostream& out);

}  // namespace arbutus
