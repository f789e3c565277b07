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

bool check_send_limit(hosted_state& node, time_point now, const target_id& target) {
  if (!node.limits.is_limited(target)) {
    return true;
  }
  node.limits.note_demand(now, target);
  const bool may = node.limits.may_send(now, target);
  node.metrics.count("arbutusworks_limited_choices", may ? "granted=\"yes\"" : "granted=\"no\"");
  return may;
}

// The time is randomized, so that callers that were refused together do not all retry
// simultaneously.
duration retry_after_limit(hosted_state& node) {
  constexpr duration mean_retry_after = 800ms;
  return from_seconds(to_seconds(mean_retry_after) * (0.5 + node.random.unit()));
}

void update_send_limit(hosted_state& node, time_point sent_at, const target_id& target, int status,
                       const response_fields& answer) {
  // A failure may come from a component of the target that does not report the target's send limit,
  // so only a success without a limit removes it.
  const bool may_clear_limit = answer.kind == answer_kind::target_response && status / 100 == 2;
  const bool may_report_limit =
      answer.kind == answer_kind::target_response || answer.kind == answer_kind::not_run;
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

}  // namespace

void exclude_if_unavailable(hosted_state& node, hosted_request& call, time_point now,
                            const target_id& id, const endpoint& address,
                            excluded_targets& excluded) {
  if (node.reach[call.service->id].is_unreachable(id)) {
    excluded.by_reach = true;
    excluded.ids.push_back(id);
    return;
  }
  // Usually no target is restrained, and nothing is copied for each candidate.
  const target_restraint restraint = node.backoffs.is_empty()
                                         ? target_restraint::none
                                         : node.backoffs.restraint_of(now, {id, address});
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
  const auto running = node.backoffs.backoff_of(now, {id, address});
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
    reasons.push_back({retry_after_limit(node), send_limit_reason});
  }
  if (excluded.by_warmup) {
    reasons.push_back({retry_after_limit(node), warmup_reason});
  }
  if (reasons.empty() && excluded.by_leaving) {
    reasons.push_back({retry_after_no_target, leaving_reason});
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
                         const target_instance& target, int status, const response_fields& answer) {
  update_send_limit(node, sent_at, target.id, status, answer);
  if (answer.warmup_left && !answer.is_misdirected &&
      (answer.kind == answer_kind::target_response || answer.kind == answer_kind::not_run)) {
    node.warming.on_response(sent_at, monotonic_now(), target.id, *answer.warmup_left);
  }
  const auto effect = node.backoffs.on_response(monotonic_now(), target, answer.notice);
  log_target_notice(call.fields.id, target, answer.notice, effect);
  for (const std::string_view change : names_of(effect)) {
    node.metrics.count("arbutusworks_target_notices", "change=\"" + std::string(change) + "\"");
  }
}

send_permission permission_to_send(hosted_state& node, const hosted_request& call,
                                   const target_instance& target) {
  if (!is_key_usable(node, call)) {
    return send_permission::key_withdrawn;
  }
  const time_point now = monotonic_now();
  if (node.backoffs.restraint_of(now, target) != target_restraint::none) {
    return send_permission::target_restrained;
  }
  return use_warming_grant(node, now, target.id) ? send_permission::granted
                                                 : send_permission::target_warming;
}

std::string_view refusal_reason(send_permission permission) {
  return permission == send_permission::target_warming
             ? "the target warms up, and the grant for it has expired"
             : "the target asked for a backoff or leaves meanwhile";
}

}  // namespace arbutus
