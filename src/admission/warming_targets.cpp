// Keeps until when each target is assumed to be cold.
#include "admission/warming_targets.h"

#include <algorithm>
#include <array>

namespace arbutus {

std::string_view to_string(warmup_evidence evidence) {
  static constexpr std::array<std::string_view, 8> names = {
      "none",          "new incarnation",   "record", "response",
      "answers again", "evacuation lifted", "node",   "hub"};
  return names.at(static_cast<std::size_t>(evidence));
}

void warming_targets::begin_update(time_point now, time_point informed_at, bool traffic_seen) {
  note_informed(std::min(informed_at, now));
  traffic_seen_ = traffic_seen;
  for (auto& [id, target] : targets_) {
    target.observed = false;
  }
}

void warming_targets::note_informed(time_point informed_at) {
  informed_at_ = std::max(informed_at_, informed_at);
}

void warming_targets::end_update() {
  std::erase_if(targets_, [](const auto& entry) { return !entry.second.observed; });
  first_update_ended_ = true;
}

void warming_targets::learn(time_point earliest, time_point now, state& target,
                            time_point cold_until, warmup_evidence evidence) {
  if (cold_until <= target.cold_until && earliest <= target.known_at) {
    return;
  }
  target.cold_until = cold_until;
  target.valid_from = earliest;
  target.known_at = now;
  target.evidence = evidence;
}

void warming_targets::observe(time_point now, const target_id& target,
                              const warmup_observation& seen) {
  const auto [found, is_new] = targets_.try_emplace(target);
  state& known = found->second;
  known.observed = true;
  if (is_new && first_update_ended_) {
    known.uninformed = now - informed_at_ > max_information_age;
    if (traffic_seen_ && !seen.told_by_hub) {
      learn(now, now, known, now + seen.limit.time, warmup_evidence::new_incarnation);
    }
  }
  observe_record(now, known, seen, is_new);
  if (!is_new) {
    observe_loss(now, known, seen);
  }
  known.seen = seen;
}

// A record without a remaining time does not shorten an assumption: it may have been written before
// the target turned cold, and a target need not write the field at all.
void warming_targets::observe_record(time_point now, state& target, const warmup_observation& seen,
                                     bool is_new) {
  const bool is_new_record = is_new || seen.record_version != target.seen.record_version ||
                             seen.left_by_record != target.seen.left_by_record;
  if (is_new_record && seen.left_by_record.value_or(0us) > 0us) {
    learn(seen.record_requested_at, now, target, now + *seen.left_by_record,
          warmup_evidence::record);
  }
}

void warming_targets::observe_loss(time_point now, state& target, const warmup_observation& seen) {
  if (seen.lost && !target.seen.lost) {
    target.lost_at = now;
    target.version_when_lost = seen.record_version;
  }
  if (seen.lost || !target.seen.lost) {
    return;
  }
  const bool says_warm = seen.left_by_record && *seen.left_by_record == 0us &&
                         seen.record_version != target.version_when_lost &&
                         seen.record_requested_at >= target.lost_at;
  if (!says_warm) {
    learn(now, now, target, std::max(target.cold_until, now + seen.limit.time),
          warmup_evidence::answers_again);
  }
}

void warming_targets::on_response(time_point sent_at, time_point now, const target_id& target,
                                  duration left) {
  if (const auto found = targets_.find(target); found != targets_.end()) {
    learn(sent_at, now, found->second, now + left, warmup_evidence::response);
  }
}

void warming_targets::received(time_point valid_from, time_point now, bool from_hub,
                               const warming_update& update) {
  const auto found = targets_.find(update.target);
  if (found != targets_.end() && update.left > 0us) {
    learn(valid_from - update.age, now, found->second, now + update.left,
          from_hub ? warmup_evidence::hub : warmup_evidence::node);
  }
}

void warming_targets::data_centre_turned_cold(time_point now, const data_centre_id& data_centre) {
  for (auto& [id, target] : targets_) {
    if (target.seen.data_centre == data_centre) {
      learn(now, now, target, std::max(target.cold_until, now + target.seen.limit.time),
            warmup_evidence::evacuation_lifted);
    }
  }
}

bool warming_targets::is_warming(time_point now, const state& target) const {
  return now < target.cold_until || (target.uninformed && now - informed_at_ > max_information_age);
}

bool warming_targets::is_warming(time_point now, const target_id& target) const {
  const auto found = targets_.find(target);
  return found != targets_.end() && is_warming(now, found->second);
}

std::vector<warming_targets::warming_target> warming_targets::all_warming(time_point now) const {
  std::vector<warming_target> result;
  for (const auto& [id, target] : targets_) {
    if (is_warming(now, target)) {
      result.push_back({id, target.seen.data_centre, target.seen.limit.requests_per_second});
    }
  }
  return result;
}

std::vector<warming_update> warming_targets::updates_for(time_point now, recipient to) const {
  constexpr double least_demand = 0.01;
  std::vector<warming_update> updates;
  for (const auto& [id, target] : targets_) {
    if (!is_warming(now, target)) {
      continue;
    }
    const bool is_from_hub = target.evidence == warmup_evidence::hub;
    const bool is_from_node = target.evidence == warmup_evidence::node;
    const bool may_report = to == recipient::own_node ||
                            (!is_from_hub && to != recipient::own_hub) ||
                            (!is_from_hub && !is_from_node);
    const bool reports = may_report && now < target.cold_until;
    const double demand = to == recipient::own_hub ? target.grants.demand(now) : 0;
    if (reports || demand >= least_demand) {
      updates.push_back({id, reports ? target.cold_until - now : 0us,
                         reports ? now - target.valid_from : 0us,
                         demand >= least_demand ? demand : 0});
    }
  }
  return updates;
}

void warming_targets::note_demand(time_point now, const target_id& target) {
  if (const auto found = targets_.find(target); found != targets_.end()) {
    found->second.grants.note_demand(now);
  }
}

std::map<target_id, double> warming_targets::demand(time_point now) const {
  std::map<target_id, double> result;
  for (const auto& [id, target] : targets_) {
    if (is_warming(now, target)) {
      result.emplace(id, target.grants.demand(now));
    }
  }
  return result;
}

void warming_targets::granted(time_point valid_from, const target_id& target, std::uint64_t count) {
  if (const auto found = targets_.find(target); found != targets_.end()) {
    found->second.grants.add(valid_from + max_grant_age, count);
    counts_.received += count;
  }
}

bool warming_targets::has_grant(time_point now, const target_id& target) const {
  const auto found = targets_.find(target);
  return found != targets_.end() && found->second.grants.has_grant(now);
}

bool warming_targets::use_grant(time_point now, const target_id& target) {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return false;
  }
  counts_.expired += found->second.grants.remove_expired(now);
  const bool used = found->second.grants.use(now);
  counts_.used += used ? 1 : 0;
  return used;
}

std::vector<warming_targets::change> warming_targets::take_changes(time_point now) {
  std::vector<change> changes;
  for (auto& [id, target] : targets_) {
    const bool warming = is_warming(now, target);
    if (warming == target.announced) {
      continue;
    }
    target.announced = warming;
    if (warming) {
      target.announced_at = now;
    }
    const duration time =
        warming ? std::max(target.cold_until - now, duration{}) : now - target.announced_at;
    changes.push_back({id, warming, target.evidence, time});
  }
  return changes;
}

warming_targets::grant_counts warming_targets::take_grant_counts(time_point now) {
  for (auto& [id, target] : targets_) {
    counts_.expired += target.grants.remove_expired(now);
  }
  const grant_counts counts = counts_;
  counts_ = {};
  return counts;
}

}  // namespace arbutus
