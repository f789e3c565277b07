// Names of replicas, which tell what a node cannot know otherwise of one that it did not form.
//
// A spare holds a replica of itself alone, which is never opened. Both kinds name model and head,
// so that a node knows what an engine loads, and whom to ask of a head it never saw. The origin
// differs for each life of a keeper: two that choose the same head and epoch at once would else mix
// their members under one name. The digest is of the members' lives (target_life.h): a member that
// started again may be back under the same name and epoch, by an order of before that came late,
// and one would see a replica that looks whole and moves nothing.
#pragma once

#include <span>
#include <string>
#include <string_view>

#include "base/id.h"

namespace arbutus {

[[nodiscard]] std::string spare_name(const model_id& model, const target_id& id);
// The first member is the head. `origin` without dots.
[[nodiscard]] std::string replica_name(const model_id& model, std::string_view origin,
                                       std::span<const target_id> members);
[[nodiscard]] model_id model_in(std::string_view name);
[[nodiscard]] bool is_spare_name(std::string_view name);
[[nodiscard]] target_id head_of(std::string_view name);

// Whether a replica of this name was formed of these lives. A name without a digest says nothing.
[[nodiscard]] bool is_of_lives(std::string_view name, std::span<const target_id> members);

}  // namespace arbutus
