// Targets that restrain this node in their responses.
#include "admission/target_backoff.h"

#include <algorithm>

namespace arbutus {

target_backoffs::effect target_backoffs::on_response(time_point now, const target_instance& target,
                                                     const target_notice& notice) {
  effect result;
  if (notice.retry_after && *notice.retry_after > duration::zero()) {
    result = extend_backoff(now, target, *notice.retry_after);
  }
  result.unreadable = notice.has_unreadable_retry_after;
  if (notice.is_leaving) {
    result.leaving = leaving_.insert_or_assign(target, now).second;
  }
  return result;
}

target_backoffs::effect target_backoffs::extend_backoff(time_point now,
                                                        const target_instance& target,
                                                        duration asked) {
  const time_point ends = now + std::min(asked, max_backoff);
  effect result;
  backoff& own = backoffs_[target];
  if (now >= own.ends) {
    own = {now, ends};
    result.backoff_begun = true;
    return result;
  }
  own.ends = std::max(own.ends, ends);
  result.backoff_extended = true;
  return result;
}

target_restraint target_backoffs::restraint_of(time_point now,
                                               const target_instance& target) const {
  if (leaving_.contains(target)) {
    return target_restraint::leaving;
  }
  return backoff_of(now, target) ? target_restraint::backing_off : target_restraint::none;
}

std::optional<target_backoffs::backoff> target_backoffs::backoff_of(
    time_point now, const target_instance& target) const {
  const auto found = backoffs_.find(target);
  if (found == backoffs_.end() || now >= found->second.ends) {
    return std::nullopt;
  }
  return found->second;
}

target_backoffs::counts target_backoffs::count(time_point now) const {
  const auto running =
      std::ranges::count_if(backoffs_, [now](const auto& e) { return now < e.second.ends; });
  return {static_cast<std::size_t>(running), leaving_.size()};
}

duration retry_after_backoff(time_point now, const target_backoffs::backoff& backoff,
                             double random_sample) {
  constexpr duration longest_spread = 2s;
  const duration spread = std::min((backoff.ends - backoff.begun) / 2, longest_spread);
  return backoff.ends - now + from_seconds(to_seconds(spread) * random_sample);
}

std::string_view to_string(target_restraint restraint) {
  switch (restraint) {
    case target_restraint::none:
      return "none";
    case target_restraint::backing_off:
      return "backing off";
    case target_restraint::leaving:
      return "leaving";
  }
  return "?";
}

}  // namespace arbutus
