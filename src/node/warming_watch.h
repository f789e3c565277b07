// Applies warming targets (admission/warming_targets) at a hosted node: which targets are observed,
// whether a request may be sent to one, and what is logged and counted.
#pragma once

#include "node/hosted_state.h"

namespace arbutus {

// Whether the configuration limits sends to warming targets of a service.
[[nodiscard]] bool limits_warming_targets(const hosted_state& node);

// Applies changes of the targets and of the configuration to the node's warming targets.
void update_warming_targets(hosted_state& node, time_point now);

// Whether the target may be chosen now; counts the call as demand if the target is warming.
[[nodiscard]] bool check_warming_target(hosted_state& node, time_point now,
                                        const target_id& target);
// Uses a grant if the target is warming; false if there is none.
[[nodiscard]] bool use_warming_grant(hosted_state& node, time_point now, const target_id& target);

// Logs and counts what has changed since the last call.
void report_warming_targets(hosted_state& node, time_point now);

}  // namespace arbutus
