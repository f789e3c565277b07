// Content of `status`: one node's view of its data centre, for operators.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/units.h"
#include "process/report.h"
#include "version/assignment.h"

namespace arbutus {

struct node_status {
  node_id id;
  data_centre_id data_centre;
  bool live = false;
  bool leaving = false;
  std::uint64_t config_version{};
  time_point config_since;  // when the node with this view first knew of that version
  std::uint64_t assignment_version{};
};

struct vm_status {
  vm_id id;
  std::string condition;  // alive, suspect, lost, leaving, unknown
  time_point since;
  replica_id reported_replica;  // as the target reports it
  generation reported_gen;
  engine_state reported_state = engine_state::idle;
};

struct replica_status {
  replica_id id;
  model_id model;
  replica_phase phase = replica_phase::active;
  generation fencing_generation;
  std::vector<vm_id> members;   // members in force now, with activated standbys
  std::vector<vm_id> standbys;  // standbys that the row reserves for the replica
  bool serving = false;
  std::string why_not;  // reason why the replica does not serve; empty if it serves
};

// A running VM that belongs to no serving replica.
struct stranded_vm {
  vm_id id;
  std::string reason;
};

struct drain_status {
  replica_id id;
  std::vector<node_id> waiting_for;  // have not acknowledged the drain or still have requests
  std::uint32_t running{};           // requests, as reported by the engine
};

// Numbers of events in the coordination of nodes since the start of this process.
struct coordination_counters {
  std::uint64_t row_reads{};
  std::uint64_t writes_won{};
  std::uint64_t writes_lost{};
  std::uint64_t writes_unknown{};
  std::uint64_t restored_copies{};  // table reads that returned an older row than was known
  std::uint64_t activations{};      // activations of standbys that this node started
  std::uint64_t orders_sent{};
  std::uint64_t orders_refused{};
  std::uint64_t orders_unknown{};
  std::uint64_t orders_withheld{};  // orders not sent because the check right before sending failed
};

struct status_view {
  node_id self;
  bool table_reachable = true;
  time_point table_reachability_since;  // since when the table has been reachable or unreachable
  std::uint64_t assignment_version{};
  std::uint64_t config_version{};
  std::vector<node_status> nodes;
  std::vector<vm_status> vms;
  std::vector<replica_status> replicas;
  std::vector<stranded_vm> stranded;
  std::vector<drain_status> drains;
  std::vector<std::string>
      unmet_requirements;  // requirements that the planner could not satisfy, with reasons
  coordination_counters counters;
};

}  // namespace arbutus
