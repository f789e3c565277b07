// Builds and parses replica names. A replica's name carries what a node that did not form the
// replica cannot know otherwise.
//
// A spare is a replica of a single member that is never opened. Both kinds of name hold the model
// and the head, so a node knows what an engine loads, and which target to query if it never saw the
// head. The origin differs for each incarnation of a replica controller: otherwise two
// controllers that choose the same head and epoch simultaneously would mix their members under one
// name. The digest covers the members' incarnations (target_incarnation.h): a delayed order may
// bring a restarted member back under the same name and epoch, and the replica would look complete
// but make no progress.
#pragma once

#include <span>
#include <string>
#include <string_view>

#include "base/id.h"

namespace arbutus {

[[nodiscard]] std::string spare_name(const model_id& model, const target_id& id);
// The first member is the head. `origin` must not contain dots.
[[nodiscard]] std::string replica_name(const model_id& model, std::string_view origin,
                                       std::span<const target_id> members);
[[nodiscard]] model_id model_of_name(std::string_view name);
[[nodiscard]] bool is_spare_name(std::string_view name);
[[nodiscard]] target_id head_of(std::string_view name);

// Whether a replica of this name was formed of these incarnations. True for a name without a
// digest.
[[nodiscard]] bool matches_incarnations(std::string_view name, std::span<const target_id> members);

}  // namespace arbutus
