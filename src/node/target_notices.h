// Log lines and counters about targets that restrain this node, for both kinds of nodes.
#pragma once

#include <string_view>
#include <vector>

#include "admission/target_backoff.h"
#include "base/id.h"

namespace arbutus {

// Writes a line for a restraint that begins and for an unreadable one; a backoff that is only
// extended is counted, not logged, since each request in flight may extend it.
void log_target_notice(const request_id& request, const target_instance& target,
                       const target_notice& notice, const target_backoffs::effect& effect);

// Label values of the counter of restraints, one for each change.
[[nodiscard]] std::vector<std::string_view> names_of(const target_backoffs::effect& effect);

}  // namespace arbutus
