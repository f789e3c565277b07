// Decides whether a replica may be routed to. The reason of a refusal is shown to operators in
// `status`.
#include "process/permission.h"

#include <algorithm>

namespace arbutus {

namespace {

const char* refusal_by_condition(target_condition state) {
  switch (state) {
    case target_condition::lost:
      return "is lost";
    case target_condition::suspect:
      return "is suspect";
    case target_condition::leaving:
      return "is leaving";
    case target_condition::unknown:
      return "has not been observed lately";
    case target_condition::working:
      break;
  }
  return nullptr;
}

const char* refusal_by_report(const engine_report& report, const composition& in_force) {
  if (report.leaving) {
    return "is leaving";
  }
  if (report.replica != in_force.replica) {
    return "does not report this replica";
  }
  if (report.fencing_generation != in_force.fencing_generation) {
    return "reports another generation";
  }
  switch (report.state) {
    case engine_state::ready:
      return nullptr;
    case engine_state::loading:
      return "is loading";
    case engine_state::draining:
      return "is draining";
    case engine_state::failed:
      return "has failed";
    case engine_state::idle:
      break;
  }
  return "is idle";
}

permit deny(const vm_id& vm, const char* reason) {
  permit denied;
  denied.why_not = "VM " + vm.str() + " " + reason;
  return denied;
}

}  // namespace

void ready_tracker::observe(const observation& seen) {
  const engine_report& r = seen.report;
  ready_run& s = runs_[r.vm];
  const bool same = s.incarnation == r.incarnation && s.replica == r.replica &&
                    s.fencing_generation == r.fencing_generation && s.state == r.state;
  if (!same) {
    s = {r.incarnation, r.replica, r.fencing_generation, r.state, seen.at};
  }
}

std::optional<time_point> ready_tracker::ready_since(const vm_id& vm) const {
  const auto found = runs_.find(vm);
  if (found == runs_.end() || found->second.state != engine_state::ready) {
    return std::nullopt;
  }
  return found->second.since;
}

permit permission_for(time_point now, const composition& in_force, const ready_tracker& readiness,
                      const std::function<member_observation(const vm_id&)>& lookup_member) {
  permit result;
  result.valid_until = time_point::max();
  for (const vm_id& vm : in_force.members) {
    const member_observation e = lookup_member(vm);
    if (const char* reason = refusal_by_condition(e.state)) {
      return deny(vm, reason);
    }
    if (e.seen == nullptr) {
      return deny(vm, "was never observed");
    }
    if (const char* reason = refusal_by_report(e.seen->report, in_force)) {
      return deny(vm, reason);
    }
    const time_point until = e.seen->at + permission_validity;
    if (until <= now) {
      return deny(vm, "has not been observed lately");
    }
    const auto since = readiness.ready_since(vm);
    if (!since) {
      return deny(vm, "is not ready");
    }
    if (!e.checks_fencing_tokens && e.seen->at < *since + token_settle_time) {
      return deny(vm, "is settling: it does not check fencing tokens");
    }
    result.valid_until = std::min(result.valid_until, until);
    result.serving_since = std::max(result.serving_since, *since);
  }
  result.granted = !in_force.members.empty();
  return result;
}

}  // namespace arbutus
