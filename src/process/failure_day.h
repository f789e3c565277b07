// A day of failures in one data centre, played against the planner and the local repair alone: no
// sockets, no nodes. It compares policies in one run by the two measures that matter, group
// downtime and stranded accelerators, and the two ways to choose who writes the row.
#pragma once

#include <cstdint>
#include <ostream>
#include <vector>

#include "base/units.h"
#include "version/rules.h"

namespace arbutus {

enum class standby_policy {
  none,      // no VM beyond those of the replicas
  shared,    // spares that only the row can give to a replica
  reserved,  // the same spares, reserved as the planner decides
};

enum class row_writer {
  ranked,  // any node proposes, each later by its rank
  leased,  // the holder of a lease does
};

struct failure_day_settings {
  std::uint32_t fabric_domains = 5;
  std::uint32_t replicas_per_domain = 2;
  std::uint32_t vms_per_replica = 16;
  std::uint32_t spares_per_domain = 2;  // powered beside the replicas; none under policy none
  std::uint32_t nodes = 21;
  // A sixteenth of what the whole fleet sees on an ordinary day.
  double vm_failures_per_day = 29.0 / 16;
  double vm_restarts_per_day = 160.0 / 16;
  double vm_repair_hours = 4.0;
  duration restart = 10min;
  duration restart_notice = 2min;  // the platform lists the VM as leaving that long before
  std::uint32_t domain_losses = 1;
  duration domain_loss = 1h;
  std::uint32_t table_outages = 1;  // the row cannot be read or written
  duration table_outage = 1h;
  std::uint32_t cut_offs = 1;  // the data centre sees nothing outside, the table included
  duration cut_off = 1h;
  duration weights_load = 3min;  // of a member that is new to its place
  standby_policy policy = standby_policy::reserved;
  row_writer writer = row_writer::ranked;
  weights preference;
};

struct failure_day_result {
  double group_downtime{};         // replica-seconds desired and not served
  double stranded_accelerators{};  // accelerator-seconds powered and in no replica that serves
  std::uint32_t rows_written = 0;
  std::uint32_t wasted_writes = 0;  // refused: another was first
  std::uint32_t lease_writes = 0;   // to renew or take the lease
  std::uint32_t activations = 0;    // standbys used without the table
  // From the moment a change is seen until its row is written; not while it could not be.
  std::vector<double> seconds_to_write;
};

// Deterministic: equal settings and seed, equal result.
[[nodiscard]] failure_day_result run_failure_day(const failure_day_settings& settings,
                                                 std::uint64_t seed);

// Policies and writers over many seeds, in one table.
void print_failure_day(std::ostream& out);

}  // namespace arbutus
