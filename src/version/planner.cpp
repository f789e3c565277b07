// The passes of a plan. Lost capacity is repaired before other replicas are improved, and a serving
// replica is stopped only if others serve.
#include "version/planner.h"

#include <algorithm>

#include "version/desired_replicas.h"
#include "version/placement.h"
#include "version/plan_draft.h"
#include "version/standby.h"

namespace arbutus {

namespace {

// A replica is moved into one fabric domain only if the other replicas would have at most this load
// each.
constexpr double max_improvement_load = 0.7;
// Maximum number of rounds of all planning passes. A pass can free VMs that an earlier pass would
// have used, so the passes are repeated until none changes anything. Planning again from the result
// then changes nothing. Two rounds are nearly always enough; the limit guards against a cycle.
constexpr int max_rounds = 8;

// A plan from outdated inputs would revert newer changes. The conditional write rejects it if the
// row has changed, but not if only the configuration is newer.
bool has_older_inputs_than_row(const planner_input& in) {
  const auto later = [&](const composition& c) {
    return c.fencing_generation.row > in.current->version;
  };
  return in.config->version < in.current->config_version || std::ranges::any_of(in.in_force, later);
}

// Removes draining replicas that run no requests: those proven empty, and those that lost a member,
// which cannot run any.
void end_drains(plan_draft& draft) {
  const auto& drained_replicas = draft.input().drained_replicas;
  for (draft_replica& r : draft.replicas) {
    if (!r.draining()) {
      continue;
    }
    if (std::ranges::find(drained_replicas, r.plan.id) != drained_replicas.end()) {
      draft.release(r);
    } else if (r.broken()) {
      draft.dissolve(r, "lost a member while it drained");
    }
  }
}

// Drains all replicas with a leaving VM simultaneously: nodes send no new requests to a leaving
// target anyway, so a delay would keep no capacity and leave less time until the VM is removed.
void drain_leaving(plan_draft& draft) {
  for (draft_replica& r : draft.replicas) {
    if (r.active() && r.has_leaving) {
      draft.drain(r, "a member leaves");
    }
  }
}

bool fits_in_one_domain(const plan_draft& draft, const draft_replica& r) {
  const std::uint32_t accelerators = r.rule->accelerators_per_vm;
  for (domain_index d = 0; d < draft.pool.domain_count(); ++d) {
    const std::size_t there =
        draft.usable_vms_in(r, d, accelerators) + draft.pool.free_count(d, accelerators);
    if (there >= r.rule->vms_per_replica) {
      return true;
    }
  }
  return false;
}

// Replaces one outdated replica of a model. Creates the new replica first if VMs are free;
// otherwise drains the old one if the other replicas can carry the load or there are none.
void replace_outdated(plan_draft& draft, draft_replica& r) {
  const model_rule& rule = *r.rule;
  if (create_replica(draft, rule, 0)) {
    return;
  }
  const std::uint32_t others = draft.count_serving(rule.id) - 1;
  if (others == 0 || draft.load_in_replicas(rule.id) <= others) {
    draft.drain(r, "to be laid down anew as the rules say");
  }
}

void update_replicas(plan_draft& draft) {
  for (const model_rule* rule : draft.models()) {
    if (draft.is_changing(rule->id) ||
        draft.count_active(rule->id) > std::max(1U, draft.configured_replicas(*rule))) {
      continue;
    }
    const auto old = std::ranges::find_if(draft.replicas, [&](const draft_replica& r) {
      return r.active() && r.rule == rule && draft.outdated(r);
    });
    if (old != draft.replicas.end()) {
      replace_outdated(draft, *old);
      continue;
    }
    const std::uint32_t others = std::max(1U, draft.count_serving(rule->id)) - 1;
    const bool load_permits =
        others > 0 && draft.load_in_replicas(rule->id) <= max_improvement_load * others;
    const auto crossing = std::ranges::find_if(draft.replicas, [&](const draft_replica& r) {
      return r.active() && r.rule == rule && r.plan.crosses_fabric_domains &&
             fits_in_one_domain(draft, r);
    });
    if (load_permits && crossing != draft.replicas.end()) {
      draft.drain(*crossing, "to be laid down in one fabric domain");
    }
  }
}

void run_passes(plan_draft& draft) {
  draft.begin_round();
  const std::vector<std::uint32_t> desired = desired_replicas(draft);
  remove_surplus_replicas(draft, desired);
  drain_leaving(draft);
  repair_and_fill(draft, desired);
  update_replicas(draft);
  adjust_to_demand(draft, desired, standbys_kept(draft));
  reserve_standbys(draft);
}

}  // namespace

plan make_plan(const planner_input& in) {
  if (has_older_inputs_than_row(in)) {
    return {*in.current, false, {}};
  }
  plan_draft draft(in);
  end_drains(draft);
  for (int round = 0; round < max_rounds; ++round) {
    const std::size_t before = draft.action_count();
    run_passes(draft);
    if (draft.action_count() == before) {
      break;
    }
  }
  return draft.finish();
}

}  // namespace arbutus
