// Decides how many standbys (VMs reserved for one replica) are worth their cost, and which VMs they
// are.
#pragma once

#include <cstdint>

#include "version/plan_draft.h"
#include "version/rules.h"

namespace arbutus {

struct standby_inputs {
  double members{};            // VMs of a replica
  double failures_per_hour{};  // expected failures of one VM per hour
  double repair_hours{};       // time until a failed VM is back
  double replicas_per_domain{};
  double spares_per_domain{};  // shared spares, not reserved
  weights preference;
};

struct standby_counts {
  // Number worth their cost even if the VMs could be used otherwise.
  std::uint32_t worthwhile_count = 0;
  // Number worth their cost if the VMs would be idle anyway. The VM is stranded in either case; the
  // only cost is that another replica that needs the VM has to wait for an acknowledgement.
  std::uint32_t worthwhile_count_when_idle = 0;
};

// Expected downtime of a replica with `standbys` of its own, in replica-hours per hour.
[[nodiscard]] double expected_downtime(const standby_inputs& q, std::uint32_t standbys);

[[nodiscard]] standby_counts worthwhile_standbys(const standby_inputs& q);

// The inputs of worthwhile_standbys() for a model in the data centre of `draft`.
[[nodiscard]] standby_inputs standby_inputs_for(const plan_draft& draft, const model_rule& rule);

// Number of standbys that each replica keeps: as fixed by the rules, or else the largest worthwhile
// number of any model.
[[nodiscard]] std::size_t standbys_kept(const plan_draft& draft);

// Adds, replaces and withdraws standbys of the replicas. A standby is always in the fabric domain
// of its replica.
void reserve_standbys(plan_draft& draft);

}  // namespace arbutus
