// The live inventory.
#include "process/fleet_view.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

namespace arbutus {

std::string_view to_string(member_state state) {
  static constexpr std::array<std::string_view, 5> names = {"joining", "ready", "open", "closing",
                                                            "broken"};
  return names[static_cast<std::size_t>(state)];
}

void fleet_view::listed(time_point observed_at, target_record record) {
  target_view& view = targets_[record.id];
  const bool changed = !view.listed || view.record != record || view.lost;
  // A record that arrives was written by a living process; one that is repeated in a whole list was
  // not.
  view.listed = true;
  view.lost = false;
  view.failed_probes = 0;
  view.heard_at = std::max(view.heard_at, observed_at);
  view.state_at = std::max(view.state_at, observed_at);
  if (changed) {
    view.record = std::move(record);
    ++revision_;
  }
}

void fleet_view::unlisted(time_point now, const target_id& id) {
  const auto found = targets_.find(id);
  if (found == targets_.end() || !found->second.listed) {
    return;
  }
  found->second.listed = false;
  found->second.unlisted_at = now;
  ++revision_;
}

void fleet_view::replace_all(time_point now, const std::vector<target_record>& records) {
  std::set<target_id> present;
  for (const target_record& record : records) {
    present.insert(record.id);
    const auto known = targets_.find(record.id);
    if (known == targets_.end() || !known->second.listed || known->second.record != record) {
      listed(now, record);
    }
  }
  for (const auto& [id, view] : targets_) {
    if (!present.contains(id)) {
      unlisted(now, id);
    }
  }
}

void fleet_view::reported(time_point asked, time_point as_of, const target_id& id,
                          const std::optional<membership>& member_of, const model_id& loaded,
                          double pace) {
  const auto found = targets_.find(id);
  if (found == targets_.end()) {
    return;
  }
  target_view& view = found->second;
  bool changed = view.lost || view.pace != pace;
  view.heard_at = std::max(view.heard_at, asked);
  view.failed_probes = 0;
  view.lost = false;
  view.pace = pace;
  if (as_of > view.state_at) {
    changed = changed || view.record.member_of != member_of || view.record.loaded != loaded;
    view.state_at = as_of;
    view.record.member_of = member_of;
    view.record.loaded = loaded;
  }
  if (changed) {
    ++revision_;
  }
}

void fleet_view::ordered(time_point now, const target_id& id,
                         const std::optional<membership>& member_of) {
  const auto found = targets_.find(id);
  if (found == targets_.end()) {
    return;
  }
  target_view& view = found->second;
  view.state_at = std::max(view.state_at, now);
  if (view.record.member_of != member_of) {
    view.record.member_of = member_of;
    ++revision_;
  }
}

void fleet_view::probe_failed(time_point now, const target_id& id) {
  const auto found = targets_.find(id);
  if (found == targets_.end() || found->second.lost) {
    return;
  }
  target_view& view = found->second;
  ++view.failed_probes;
  if (view.failed_probes >= probes_until_lost) {
    view.lost = true;
    view.lost_at = now;
    ++revision_;
  }
}

void fleet_view::found_by_others(time_point now, const std::vector<target_id>& still_lost) {
  for (auto& [id, view] : targets_) {
    const bool known = std::find(still_lost.begin(), still_lost.end(), id) != still_lost.end();
    // What left the list and was lost does not come back but by the list.
    if (view.lost && view.listed && !known && now - view.lost_at > hub_knows_within) {
      view.lost = false;
      view.failed_probes = 0;
      ++revision_;
    }
  }
}

void fleet_view::forget_old(time_point now) {
  std::erase_if(targets_, [now](const auto& entry) {
    return !entry.second.listed && now - entry.second.unlisted_at > remembered;
  });
}

const target_view* fleet_view::find(const target_id& id) const {
  const auto found = targets_.find(id);
  return found == targets_.end() ? nullptr : &found->second;
}

std::vector<serving_replica> serving_replicas(const fleet_view& fleet, const service_id& service,
                                              const model_id& model, std::uint32_t size) {
  std::map<replica_key, std::vector<const target_view*>> groups;
  for (const auto& [id, view] : fleet.all()) {
    if (view.record.service != service || !view.record.member_of) {
      continue;
    }
    const bool is_head = view.record.member_of->rank == 0;
    if ((view.listed || !is_head) && !view.lost && !view.record.draining) {
      groups[view.record.member_of->replica].push_back(&view);
    }
  }
  std::vector<serving_replica> result;
  for (const auto& [key, members] : groups) {
    if (members.size() != size) {
      continue;
    }
    serving_replica replica;
    std::set<std::uint32_t> ranks;
    std::set<fabric_domain_id> domains;
    const target_view* head = nullptr;
    for (const target_view* member : members) {
      const membership& own = *member->record.member_of;
      if (own.rank == 0 && own.state == member_state::open && member->record.loaded == model) {
        head = member;
      }
      const bool works =
          own.rank == 0 || own.state == member_state::ready || own.state == member_state::open;
      if (works) {
        ranks.insert(own.rank);
      }
      domains.insert(member->record.domain);
      replica.members.push_back(member->record.id);
      replica.pace = std::max(replica.pace, member->pace);
    }
    if (head == nullptr || ranks.size() != size) {
      continue;
    }
    replica.key = key;
    replica.service = service;
    replica.model = model;
    replica.head = head->record.id;
    replica.address = head->record.address;
    replica.data_centre = head->record.data_centre;
    replica.crosses_domains = domains.size() > 1;
    result.push_back(std::move(replica));
  }
  return result;
}

}  // namespace arbutus
