// Which targets a hosted call may be sent to now, and what their responses change about that.
#include <algorithm>

#include "node/hosted_parts.h"
#include "node/log.h"
#include "node/target_notices.h"
#include "node/warming_watch.h"

namespace arbutus {

namespace {

constexpr std::string_view send_limit_reason = "the targets take no more requests now";
constexpr std::string_view warmup_reason = "the targets warm up";
constexpr std::string_view backoff_reason = "the targets asked for a backoff";
constexpr std::string_view leaving_reason = "the targets are leaving";
// Mean delay for requests whose targets are all excluded by evacuation or region. Operators may
// lift an evacuation at any time, so it is shorter than the formation of a replica, 12 to 16 s.
constexpr duration mean_retry_after_exclusion = 2s;

bool check_send_limit(hosted_state& node, time_point now, const target_id& target) {
  if (!node.limits.is_limited(target)) {
    return true;
  }
  node.limits.note_demand(now, target);
  const bool may = node.limits.may_send(now, target);
  node.metrics.count("arbutusworks_limited_choices", may ? "granted=\"yes\"" : "granted=\"no\"");
  return may;
}

constexpr duration mean_retry_after_limit = 800ms;

// The time is randomized, so that callers that were refused together do not all retry
// simultaneously.
duration randomized(hosted_state& node, duration mean) {
  return from_seconds(to_seconds(mean) * (0.5 + node.random.unit()));
}

// A replica with a member in an evacuated data centre would run the request there, too.
bool is_evacuated(const hosted_state& node, const candidate_target& target) {
  const evacuations& evacuated = node.evacuated_data_centres;
  return !evacuated.is_empty() &&
         (evacuated.is_evacuated(target.data_centre) ||
          std::ranges::any_of(target.other_data_centres, [&](const data_centre_id& id) {
            return evacuated.is_evacuated(id);
          }));
}

void update_send_limit(hosted_state& node, time_point sent_at, const target_id& target,
                       const response_fields& answer) {
  // A failure may come from a component of the target that does not report the target's send limit,
  // so only a success without a limit removes it.
  const bool may_clear_limit = answer.kind == answer_kind::succeeded;
  const bool may_report_limit = is_response(answer.kind) || answer.kind == answer_kind::not_run;
  if (answer.is_misdirected || !may_report_limit ||
      (!answer.limit.is_present && !may_clear_limit)) {
    return;
  }
  const auto change = node.limits.on_response(sent_at, monotonic_now(), target, answer.limit);
  if (change == send_limits::change::none) {
    return;
  }
  log_line(log_level::info, "limit", to_string(change),
           {{"target", target}, {"per_second", answer.limit.per_second.value_or(-1)}});
  node.metrics.count("arbutusworks_send_limits",
                     "change=\"" + std::string(to_string(change)) + "\"");
}

// The members of a replica hold the request's state, so all of them count.
bool is_region_allowed(const hosted_state& node, const hosted_request& call,
                       const candidate_target& target) {
  const region_map& regions = node.settings.regions;
  return !call.regions.is_restricted() ||
         (call.regions.allows(regions, target.data_centre) &&
          std::ranges::all_of(target.other_data_centres, [&](const data_centre_id& id) {
            return call.regions.allows(regions, id);
          }));
}

}  // namespace

void exclude_if_unavailable(hosted_state& node, hosted_request& call, time_point now,
                            const candidate_target& target, excluded_targets& excluded) {
  const target_id& id = target.id;
  if (!is_region_allowed(node, call, target)) {
    excluded.by_region = true;
    excluded.ids.push_back(id);
    return;
  }
  if (is_evacuated(node, target)) {
    excluded.by_evacuation = true;
    excluded.ids.push_back(id);
    return;
  }
  if (node.reach[call.service->id].is_unreachable(id)) {
    excluded.by_reach = true;
    excluded.ids.push_back(id);
    return;
  }
  // Usually no target is restrained, and nothing is copied for each candidate.
  const target_restraint restraint = node.backoffs.is_empty()
                                         ? target_restraint::none
                                         : node.backoffs.restraint_of(now, {id, target.address});
  if (restraint == target_restraint::none) {
    const bool may_send_cold = check_warming_target(node, now, id);
    const bool may_send_limited = check_send_limit(node, now, id);
    excluded.by_warmup = excluded.by_warmup || !may_send_cold;
    excluded.by_send_limit = excluded.by_send_limit || !may_send_limited;
    if (!may_send_cold || !may_send_limited) {
      excluded.ids.push_back(id);
    }
    return;
  }
  excluded.ids.push_back(id);
  call.restrained_targets.insert(id);
  if (restraint == target_restraint::leaving) {
    excluded.by_leaving = true;
    return;
  }
  const auto running = node.backoffs.backoff_of(now, {id, target.address});
  if (!excluded.first_backoff || running->ends < excluded.first_backoff->ends) {
    excluded.first_backoff = running;
  }
}

std::optional<refusal> refusal_of_excluded(hosted_state& node, time_point now,
                                           const excluded_targets& excluded,
                                           const std::optional<refusal>& otherwise) {
  std::vector<refusal> reasons;
  if (excluded.first_backoff) {
    reasons.push_back(
        {retry_after_backoff(now, *excluded.first_backoff, node.random.unit()), backoff_reason});
  }
  if (excluded.by_send_limit) {
    reasons.push_back({randomized(node, mean_retry_after_limit), send_limit_reason});
  }
  if (excluded.by_warmup) {
    reasons.push_back({randomized(node, mean_retry_after_limit), warmup_reason});
  }
  if (reasons.empty() && excluded.by_evacuation) {
    reasons.push_back({randomized(node, mean_retry_after_exclusion), evacuated_reason});
  }
  if (reasons.empty() && excluded.by_leaving) {
    reasons.push_back({retry_after_no_target, leaving_reason});
  }
  if (reasons.empty() && excluded.by_region) {
    reasons.push_back({randomized(node, mean_retry_after_exclusion), region_reason});
  }
  if (reasons.empty()) {
    return std::nullopt;
  }
  if (otherwise) {
    reasons.push_back(*otherwise);
  }
  return *std::ranges::min_element(reasons, {}, &refusal::retry_after);
}

void learn_from_response(hosted_state& node, const hosted_request& call, time_point sent_at,
                         const target_instance& target, const response_fields& answer) {
  update_send_limit(node, sent_at, target.id, answer);
  if (answer.warmup_left && !answer.is_misdirected &&
      (is_response(answer.kind) || answer.kind == answer_kind::not_run)) {
    node.warming.on_response(sent_at, monotonic_now(), target.id, *answer.warmup_left);
  }
  const auto effect = node.backoffs.on_response(monotonic_now(), target, answer.notice);
  log_target_notice(call.fields.id, target, answer.notice, effect);
  for (const std::string_view change : names_of(effect)) {
    node.metrics.count("arbutusworks_target_notices", "change=\"" + std::string(change) + "\"");
  }
}

send_permission permission_to_send(hosted_state& node, const hosted_request& call,
                                   const candidate_target& target) {
  if (!is_key_usable(node, call)) {
    return send_permission::key_withdrawn;
  }
  if (!is_region_allowed(node, call, target)) {
    return send_permission::region_not_allowed;
  }
  if (is_evacuated(node, target)) {
    return send_permission::target_evacuated;
  }
  const time_point now = monotonic_now();
  if (node.backoffs.restraint_of(now, {target.id, target.address}) != target_restraint::none) {
    return send_permission::target_restrained;
  }
  return use_warming_grant(node, now, target.id) ? send_permission::granted
                                                 : send_permission::target_warming;
}

std::string_view reason_of(send_permission permission) {
  switch (permission) {
    case send_permission::granted:
      break;
    case send_permission::key_withdrawn:
      return "the key was withdrawn";
    case send_permission::target_restrained:
      return "the target asked for a backoff or leaves meanwhile";
    case send_permission::target_warming:
      return "the target warms up, and this node has no grant for it";
    case send_permission::target_evacuated:
      return evacuated_reason;
    case send_permission::region_not_allowed:
      return region_reason;
  }
  return "permitted";
}

}  // namespace arbutus
