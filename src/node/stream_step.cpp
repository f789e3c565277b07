// Where a streamed call goes next.
#include "node/stream_step.h"

#include <optional>
#include <vector>

#include "node/hosted_relay.h"
#include "node/stream_admission.h"

namespace arbutus {

namespace {

// With less time than this before the deadline, an attempt cannot yield a first event: prefill and
// one pass take about 60 ms on an idle replica.
constexpr duration min_attempt_time = 60ms;

end_of_call unreachable() {
  return {.retry_after = retry_after_no_target,
          .reason = unreachable_reason,
          .is_unfit = true,
          .is_momentary = true};
}

// To a peer, or back to the one that the call came from. Empty if there is none.
std::optional<next_step> step_to_peer(hosted_state& node, const hosted_request& call) {
  if (auto peer = choose_relay_peer(node, call)) {
    return hand_over_to_peer{std::move(*peer)};
  }
  if (call.relayed && call.possible_sends == 0) {
    return unreachable();
  }
  return std::nullopt;
}

// Heads of replicas that are stalled for this node, heads that recently rejected a request, and
// heads of replicas with a member that a peer reports as lost.
std::vector<target_id> suspected_heads(const hosted_state& node, time_point now,
                                       std::span<const serving_replica> replicas) {
  std::vector<target_id> heads = node.replica_stalls.stalled(now);
  const std::vector<target_id> rejecting = node.rejections.heads(now);
  heads.insert(heads.end(), rejecting.begin(), rejecting.end());
  for (const serving_replica& replica : replicas) {
    if (node.lost_reports.contains_any(now, replica.members)) {
      heads.push_back(replica.head);
    }
  }
  return heads;
}

excluded_targets unavailable_heads(hosted_state& node, hosted_request& call, time_point now,
                                   std::span<const serving_replica> replicas) {
  excluded_targets excluded;
  for (const serving_replica& replica : replicas) {
    exclude_if_unavailable(node, call, now, candidate_target(replica), excluded);
  }
  return excluded;
}

next_step step_without_replica(hosted_state& node, const hosted_request& call, time_point now,
                               const no_replica& none, const excluded_targets& excluded) {
  if (excluded.by_reach || node.reach[call.service->id].is_cut_off()) {
    return step_to_peer(node, call).value_or(unreachable());
  }
  const refusal without{none.retry_after, none.reason};
  const auto otherwise = none.all_excluded ? std::nullopt : std::optional<refusal>(without);
  const refusal why = refusal_of_excluded(node, now, excluded, otherwise).value_or(without);
  return end_of_call{.retry_after = why.retry_after, .reason = why.reason, .is_momentary = true};
}

next_step choose_own_replica(hosted_state& node, hosted_request& call, const model_spec& model,
                             std::span<const target_id> avoided, time_point now) {
  const auto& replicas = node.replicas(*call.service, model.id);
  const std::vector<target_id> suspects = suspected_heads(node, now, replicas);
  const excluded_targets excluded = unavailable_heads(node, call, now, replicas);
  std::vector<target_id> not_chosen(avoided.begin(), avoided.end());
  not_chosen.insert(not_chosen.end(), excluded.ids.begin(), excluded.ids.end());
  const stream_admission admission =
      admit_stream(node, call, model, replicas, not_chosen, suspects, now);
  if (admission.refused) {
    return end_of_call{.retry_after = admission.refused->retry_after,
                       .reason = admission.refused->reason,
                       .is_momentary = true};
  }
  const choice_request desired{node.settings.data_centre,
                               call.fields.size,
                               call.deadline - now,
                               not_chosen,
                               suspects,
                               node.random.unit(),
                               node.calibration.correction(model_of(call)).first_event,
                               admission.can_take,
                               admission.loads};
  const replica_choice choice =
      choose_replica(*call.service->engine, model, replicas, node.loads, desired);
  if (const auto* none = std::get_if<no_replica>(&choice)) {
    return step_without_replica(node, call, now, *none, excluded);
  }
  const chosen_replica& chosen = std::get<chosen_replica>(choice);
  return send_to_replica{replicas[chosen.index], chosen.expected};
}

}  // namespace

next_step choose_stream_step(hosted_state& node, hosted_request& call, const model_spec& model,
                             std::span<const target_id> avoided, time_point now) {
  if (now + min_attempt_time >= call.deadline) {
    return end_of_call{call.possible_runs > 0 ? 504 : 503, retry_after_no_target,
                       "no time is left"};
  }
  if (!is_key_usable(node, call)) {
    return end_of_call{.retry_after = retry_after_stale(node, now),
                       .reason = "the key cannot be confirmed",
                       .is_momentary = true};
  }
  if (may_be_cut_off(node, call)) {
    if (const auto step = step_to_peer(node, call)) {
      return *step;
    }
  }
  return choose_own_replica(node, call, model, avoided, now);
}

}  // namespace arbutus
