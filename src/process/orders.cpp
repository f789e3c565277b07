// Which orders to send to which VM, and when.
#include "process/orders.h"

#include <algorithm>
#include <utility>

namespace arbutus {

namespace {

// The role of a VM in the row.
struct place_in_row {
  const replica_plan* replica = nullptr;  // the replica whose member or standby it is
  bool in_composition = false;
};

std::map<vm_id, place_in_row> places(const assignment& row,
                                     const std::map<replica_id, composition>& compositions) {
  std::map<vm_id, place_in_row> found;
  for (const replica_plan& replica : row.replicas) {
    for (const vm_id& vm : replica.members) {
      found[vm].replica = &replica;
    }
    for (const vm_id& vm : replica.standbys) {
      found[vm].replica = &replica;
    }
    for (const vm_id& vm : compositions.at(replica.id).members) {
      found[vm].in_composition = true;
    }
  }
  return found;
}

desired_state member_state(const replica_plan& replica, const composition& in_force) {
  const bool draining = replica.phase == replica_phase::draining;
  return {draining ? order_kind::drain : order_kind::form, in_force, replica.model,
          replica.model_version};
}

// The desired state of a VM that is in no composition: it releases its replica. The fencing token
// of the release order must be greater than the one the VM obeys, but not greater than that of a
// later order that makes the VM a member again.
std::optional<desired_state> release_state(const assignment& row, const place_in_row& place,
                                           const std::map<replica_id, composition>& compositions,
                                           const engine_report& r) {
  if (r.replica.empty()) {
    return std::nullopt;
  }
  composition target{r.replica, generation{.row = row.version}, {}};
  if (place.replica != nullptr) {
    const composition& own = compositions.at(place.replica->id);
    const bool same = place.replica->id == r.replica;
    target.fencing_generation =
        same ? own.fencing_generation : std::max(own.fencing_generation, target.fencing_generation);
  }
  if (target.fencing_generation <= r.fencing_generation) {
    return std::nullopt;  // the VM obeys a newer row, which this node must not undo
  }
  return desired_state{order_kind::release, target, {}, {}};
}

}  // namespace

bool satisfied(const desired_state& desired, const engine_report& r) {
  const bool same = r.replica == desired.target.replica &&
                    r.fencing_generation == desired.target.fencing_generation;
  switch (desired.kind) {
    case order_kind::form:
      return same && (r.state == engine_state::loading || r.state == engine_state::ready);
    case order_kind::drain:
      // A drain order is satisfied unless the VM is a ready member of the composition to be
      // drained.
      return !same || r.state != engine_state::ready;
    case order_kind::release:
      return r.replica.empty();
  }
  return true;
}

std::map<vm_id, desired_state> desired_states(
    const assignment& row, const std::function<composition(const replica_plan&)>& in_force,
    const std::map<vm_id, engine_report>& reports) {
  std::map<replica_id, composition> compositions;
  for (const replica_plan& replica : row.replicas) {
    compositions[replica.id] = in_force(replica);
  }
  const auto in_row = places(row, compositions);
  std::map<vm_id, desired_state> result;
  for (const auto& [vm, report] : reports) {
    const auto found = in_row.find(vm);
    const place_in_row place = found == in_row.end() ? place_in_row{} : found->second;
    if (place.in_composition) {
      auto desired = member_state(*place.replica, compositions.at(place.replica->id));
      const bool newer = report.fencing_generation > desired.target.fencing_generation;
      if (!newer && !satisfied(desired, report)) {
        result.emplace(vm, std::move(desired));
      }
    } else if (auto release = release_state(row, place, compositions, report)) {
      result.emplace(vm, std::move(*release));
    }
  }
  return result;
}

std::vector<order> order_dispatcher::tick(time_point now, const order_context& context) {
  next_tick_ = time_point::max();
  std::erase_if(order_states_,
                [&](const auto& entry) { return !context.desired.contains(entry.first); });
  std::vector<order> out;
  for (const auto& [vm, desired] : context.desired) {
    order_state& n =
        order_states_.try_emplace(vm, order_state{.desired = desired, .since = now}).first->second;
    if (n.desired != desired) {
      n = order_state{.desired = desired, .since = now};
    }
    if (auto o = order_if_due(now, vm, n, context)) {
      ++counters_.sent;
      out.push_back(std::move(*o));
    }
  }
  return out;
}

std::optional<order> order_dispatcher::order_if_due(time_point now, const vm_id& vm, order_state& n,
                                                    const order_context& context) {
  const observation* seen = context.reachable(vm);
  if (seen == nullptr || now - seen->at > order_max_observation_age) {
    return std::nullopt;
  }
  if (n.sent_at && now < *n.sent_at + order_validity_period) {
    wake_by(*n.sent_at + order_validity_period);
    return std::nullopt;
  }
  if (n.sent_at) {
    n.sent_at.reset();
    n.not_before = now + n.retry_backoff.fail(random_);
  }
  const duration wait = rank_wait(context.rank(vm), order_rank_delay);
  const time_point due = std::max(n.not_before, n.since + wait);
  if (now < due) {
    wake_by(due);
    return std::nullopt;
  }
  n.sent_at = now;
  wake_by(now + order_validity_period);
  return order{.kind = n.desired.kind,
               .vm = vm,
               .target = n.desired.target,
               .model = n.desired.model,
               .model_version = n.desired.model_version,
               .expected_incarnation = seen->report.incarnation,
               .validity_period = order_validity_period};
}

std::optional<time_point> order_dispatcher::on_result(time_point now, const order_result& result) {
  if (std::holds_alternative<refused>(result.result)) {
    ++counters_.refused;
  }
  if (std::holds_alternative<unknown>(result.result)) {
    ++counters_.unknown_replies;
  }
  const auto found = order_states_.find(result.request.vm);
  if (found == order_states_.end() || !found->second.sent_at) {
    return std::nullopt;
  }
  order_state& n = found->second;
  if (n.desired.kind != result.request.kind || n.desired.target != result.request.target) {
    return std::nullopt;
  }
  const time_point sent_at = *n.sent_at;
  n.sent_at.reset();
  n.not_before = now + n.retry_backoff.fail(random_);
  wake_by(n.not_before);
  return sent_at;
}

}  // namespace arbutus
