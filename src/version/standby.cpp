// Weighs the cost of a standby against the downtime that it saves.
//
// If a replica has a standby of its own, a failure costs about one load of weights, whether the
// table is reachable or not. This cost occurs with every choice and is left out. Without a standby,
// the replica is repaired through the table from a shared spare: during an outage of the table the
// repair waits for its end, and without a spare in the domain it waits until the failed VM is back.
#include "version/standby.h"

#include <algorithm>
#include <cmath>

namespace arbutus {

namespace {

// Fraction of time in which the row cannot be written (outage of the table, or the data centre is
// cut off), and the mean time left of such an outage when a failure occurs during it. Assumes one
// hour of each kind of outage per day; recorded outages of the site should replace this estimate.
constexpr double unwritable_fraction = 2.0 / 24.0;
constexpr double mean_unwritable_hours_left = 0.5;
// Time to take a standby from one replica for another: every live node has to acknowledge that the
// reservation is withdrawn, which takes a few rounds of gossip.
constexpr double handover_hours = 3.0 / 3600.0;
// Most standbys per replica that are considered: more are not worthwhile at the failure rates seen
// in practice.
constexpr std::uint32_t max_standbys = 4;

// Probability that a Poisson variable with this mean is at least `n`.
double poisson_at_least(double mean, double n) {
  double below = 0;
  double term = std::exp(-mean);
  for (double k = 0; k < n; k += 1) {
    below += term;
    term *= mean / (k + 1);
  }
  return std::clamp(1.0 - below, 0.0, 1.0);
}

double wait_without_standby(const standby_inputs& q) {
  const double vms = q.replicas_per_domain * q.members;
  const double in_repair = vms * q.failures_per_hour * q.repair_hours;
  const double no_spare = poisson_at_least(in_repair, std::floor(q.spares_per_domain));
  return no_spare * q.repair_hours +
         (1 - no_spare) * unwritable_fraction * mean_unwritable_hours_left;
}

// Cost of `hours` of downtime of a replica. A replica that is down also strands its accelerators,
// so the weights of downtime and of stranded accelerators both apply. All costs are in VM-hours per
// hour, so that the weights need no conversion.
double downtime_cost(const standby_inputs& q, double hours) {
  return hours * q.members * (q.preference.group_downtime + q.preference.stranded_accelerators);
}

template <class Cost>
std::uint32_t cheapest(Cost cost) {
  std::uint32_t best = 0;
  for (std::uint32_t k = 1; k <= max_standbys; ++k) {
    best = cost(k) < cost(best) ? k : best;
  }
  return best;
}

}  // namespace

double expected_downtime(const standby_inputs& q, std::uint32_t standbys) {
  const double in_repair = (q.members + standbys) * q.failures_per_hour * q.repair_hours;
  const double no_standby_left = poisson_at_least(in_repair, standbys);
  return q.members * q.failures_per_hour * no_standby_left * wait_without_standby(q);
}

standby_counts worthwhile_standbys(const standby_inputs& q) {
  standby_counts result;
  result.worthwhile_count = cheapest([&](std::uint32_t k) {
    return downtime_cost(q, expected_downtime(q, k)) + k * q.preference.stranded_accelerators;
  });
  const double others = std::max(0.0, q.replicas_per_domain - 1) * q.members * q.failures_per_hour;
  result.worthwhile_count_when_idle = cheapest([&](std::uint32_t k) {
    return downtime_cost(q, expected_downtime(q, k) + k * others * handover_hours);
  });
  result.worthwhile_count_when_idle =
      std::max(result.worthwhile_count_when_idle, result.worthwhile_count);
  return result;
}

standby_inputs standby_inputs_for(const plan_draft& draft, const model_rule& rule) {
  const rules& desired = draft.desired();
  const double fleet =
      std::max<double>(1, static_cast<double>(draft.input().config->assets.vms.size()));
  const double domains = std::max<double>(1, draft.pool.domain_count());
  double replicas = 0;
  for (const model_rule* other : draft.models()) {
    replicas += draft.configured_replicas(*other);
  }
  standby_inputs q;
  q.members = rule.vms_per_replica;
  q.failures_per_hour = desired.vm_failures_per_day / fleet / 24.0;
  q.repair_hours = desired.vm_repair_hours;
  q.replicas_per_domain = std::max(1.0, replicas / domains);
  q.spares_per_domain = desired.spare_vms_per_data_centre / domains;
  q.preference = desired.preference;
  return q;
}

std::size_t standbys_kept(const plan_draft& draft) {
  if (draft.desired().standbys_per_replica > 0) {
    return draft.desired().standbys_per_replica;
  }
  std::uint32_t most = 0;
  for (const model_rule* rule : draft.models()) {
    most = std::max(most, worthwhile_standbys(standby_inputs_for(draft, *rule)).worthwhile_count);
  }
  return most;
}

namespace {

struct reservation {
  std::size_t replica;       // index in the draft
  std::size_t desired;       // desired number of standbys
  std::size_t min_free_vms;  // number of shared spare VMs that must remain free
};

bool is_present(const plan_draft& draft, const vm_id& vm) {
  const vm_condition c = draft.pool.condition(vm);
  return c == vm_condition::working || c == vm_condition::suspect;
}

std::size_t count_present_standbys(const plan_draft& draft, const draft_replica& r) {
  return static_cast<std::size_t>(std::ranges::count_if(
      r.plan.standbys, [&](const vm_id& vm) { return is_present(draft, vm); }));
}

std::vector<reservation> reservations(const plan_draft& draft) {
  const rules& desired = draft.desired();
  const bool fixed = desired.standbys_per_replica > 0;
  std::vector<reservation> list;
  for (const model_rule* rule : draft.models()) {
    const std::uint32_t idle =
        worthwhile_standbys(standby_inputs_for(draft, *rule)).worthwhile_count_when_idle;
    const std::size_t room =
        max_positions - std::min<std::size_t>(max_positions, rule->vms_per_replica);
    for (std::size_t i = 0; i < draft.replicas.size(); ++i) {
      const draft_replica& r = draft.replicas[i];
      if (r.active() && !r.broken() && r.rule == rule) {
        const std::size_t count =
            std::min<std::size_t>(room, fixed ? desired.standbys_per_replica : idle);
        list.push_back({i, count, fixed ? 0 : desired.spare_vms_per_data_centre});
      }
    }
  }
  return list;
}

// Reserves `vm` as standby of a replica, in place of a lost or leaving standby, if any. A lost
// standby for which there is no replacement stays reserved, since it may return.
void add_standby(plan_draft& draft, draft_replica& r, const vm_id& vm) {
  const auto gone = std::ranges::find_if(r.plan.standbys,
                                         [&](const vm_id& old) { return !is_present(draft, old); });
  if (gone != r.plan.standbys.end()) {
    draft.withdraw_standby(r, vm_id{*gone}, "lost standby replaced");
  }
  r.plan.standbys.push_back(vm);
  draft.add_reason(r.plan.id, "standby " + vm.str() + " reserved");
}

void reserve_to_level(plan_draft& draft, const reservation& entry, std::size_t level) {
  draft_replica& r = draft.replicas[entry.replica];
  const std::uint32_t accelerators = r.rule->accelerators_per_vm;
  const bool enough = level > entry.desired || count_present_standbys(draft, r) >= level;
  const domain_index main_domain = draft.main_domain(r);
  if (enough || main_domain == any_domain ||
      draft.pool.free_count(any_domain, accelerators) <= entry.min_free_vms) {
    return;
  }
  if (const auto vm = draft.pool.take_free(main_domain, accelerators)) {
    add_standby(draft, r, *vm);
  }
}

void release_surplus(plan_draft& draft, const reservation& entry) {
  draft_replica& r = draft.replicas[entry.replica];
  while (count_present_standbys(draft, r) > entry.desired) {
    draft.withdraw_standby(r, vm_id{r.plan.standbys.back()}, "standby no longer wanted");
  }
}

}  // namespace

void reserve_standbys(plan_draft& draft) {
  const std::vector<reservation> list = reservations(draft);
  std::size_t levels = 0;
  for (const reservation& entry : list) {
    release_surplus(draft, entry);
    levels = std::max(levels, entry.desired);
  }
  // Each replica gets its first standby before any replica gets a second one.
  for (std::size_t level = 1; level <= levels; ++level) {
    for (const reservation& entry : list) {
      reserve_to_level(draft, entry, level);
    }
  }
}

}  // namespace arbutus
