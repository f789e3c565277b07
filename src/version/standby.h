// Standbys: how many are worth their price, and which VMs.
#pragma once

#include <cstdint>

#include "version/plan_draft.h"
#include "version/rules.h"

namespace arbutus {

struct standby_question {
  double members{};            // VMs of a replica
  double failures_per_hour{};  // of one VM
  double repair_hours{};       // until a failed VM is back
  double replicas_per_domain{};
  double spares_per_domain{};  // shared, not reserved
  weights preference;
};

struct standby_answer {
  // Worth it even when the VM could be doing something else.
  std::uint32_t worth_paying = 0;
  // Worth it when the VM would be idle anyway: it is stranded either way, and what a reservation
  // costs is only that another replica that needs it has to wait for an acknowledgement.
  std::uint32_t worth_when_idle = 0;
};

// Expected replica-hours without service per hour, and so for every other figure here, with this
// many standbys of its own.
[[nodiscard]] double expected_downtime(const standby_question& q, std::uint32_t standbys);

[[nodiscard]] standby_answer standbys_worth(const standby_question& q);

// For a model in this data centre.
[[nodiscard]] standby_question ask_for(const plan_draft& draft, const model_rule& rule);

// How many the rules fix or the weights make worth paying for, for the model with most.
[[nodiscard]] std::size_t standbys_kept(const plan_draft& draft);

// Fills, renews and takes back reservations, all within the replica's own fabric domain.
void reserve_standbys(plan_draft& draft);

}  // namespace arbutus
