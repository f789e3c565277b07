// Encodes, updates and applies the rows of serving replicas and of instances of services that are
// not models.
#include "process/serving_feed.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <tuple>

#include "process/msgpack_bounds.h"
#include "version/field_text.h"

namespace arbutus {

namespace {

using nlohmann::json;

// Nesting depth of an encoded row: document, domains, domain, members, member, fields of the
// member.
constexpr std::size_t max_entry_depth = 6;
constexpr double slowdown_unit = 1000;  // the slowdown factor is encoded in thousandths

json members_by_domain(const serving_entry& entry) {
  json domains = json::array();
  for (const target_record& member : entry.members) {
    if (domains.empty() || domains.back().at(0) != member.domain.str()) {
      domains.push_back({member.domain.str(), json::array()});
      if (member.data_centre != entry.members.front().data_centre) {
        domains.back().push_back(member.data_centre.str());
      }
    }
    domains.back().at(1).push_back({member.id.str(), to_string(member.address)});
  }
  return domains;
}

// The members with the head first, then by domain, so that each domain is encoded only once.
std::vector<target_record> sorted_members(const serving_replica& replica, const fleet_view& fleet) {
  std::vector<target_record> members;
  for (const target_id& id : replica.members) {
    members.push_back(fleet.find(id)->record);
  }
  const fabric_domain_id home = fleet.find(replica.head)->record.domain;
  std::sort(members.begin(), members.end(), [&](const target_record& a, const target_record& b) {
    const auto rank = [&](const target_record& m) {
      return std::tuple(m.id != replica.head, m.domain != home, m.domain, m.id);
    };
    return rank(a) < rank(b);
  });
  return members;
}

// Sets the membership of a decoded member; the replica is encoded only once per row.
void complete_member(target_record& member, const serving_entry& entry, const replica_key& key) {
  const auto rank = static_cast<std::uint32_t>(entry.members.size());
  member.member_of = membership{key, rank, rank == 0 ? member_state::open : member_state::ready};
}

}  // namespace

std::string encode(const serving_entry& entry) {
  const target_record& head = entry.members.front();
  const bool replica = head.member_of.has_value();
  const json document = {head.service.str(),
                         head.data_centre.str(),
                         head.slots,
                         head.loaded.str(),
                         replica ? head.member_of->replica.name : std::string(),
                         replica ? head.member_of->replica.epoch : 0,
                         std::lround(entry.slowdown_factor * slowdown_unit),
                         members_by_domain(entry)};
  std::string bytes;
  json::to_msgpack(document, bytes);
  return bytes;
}

std::optional<serving_entry> decode_serving_entry(std::string_view bytes) {
  if (!nesting_bounded(bytes, max_entry_depth)) {
    return std::nullopt;
  }
  try {
    const json document = json::from_msgpack(bytes);
    target_record common;
    common.service = service_id{document.at(0).get<std::string>()};
    common.data_centre = data_centre_id{document.at(1).get<std::string>()};
    common.slots = document.at(2).get<std::uint32_t>();
    common.loaded = model_id{document.at(3).get<std::string>()};
    const replica_key key{document.at(4).get<std::string>(), document.at(5).get<std::uint64_t>()};
    serving_entry entry;
    entry.slowdown_factor = document.at(6).get<double>() / slowdown_unit;
    for (const json& domain : document.at(7)) {
      for (const json& member_document : domain.at(1)) {
        target_record member = common;
        member.domain = fabric_domain_id{domain.at(0).get<std::string>()};
        if (domain.size() > 2) {
          member.data_centre = data_centre_id{domain.at(2).get<std::string>()};
        }
        member.id = target_id{member_document.at(0).get<std::string>()};
        const auto address = parse_endpoint(member_document.at(1).get<std::string>());
        if (!address) {
          return std::nullopt;
        }
        member.address = *address;
        if (!key.name.empty()) {
          complete_member(member, entry, key);
        }
        entry.members.push_back(std::move(member));
      }
    }
    return entry.members.empty() ? std::nullopt : std::optional(std::move(entry));
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

void serving_feed::put_row(const std::string& key, const serving_entry& entry) {
  std::string bytes = encode(entry);
  std::string& known = encoded_rows_[key];
  if (known == bytes) {
    return;
  }
  known = std::move(bytes);
  std::vector<target_id>& members = members_by_key_[key];
  members.clear();
  for (const target_record& member : entry.members) {
    members.push_back(member.id);
  }
  rows_.advance(rows_.position() + 1);
  rows_.apply({key, known, rows_.position(), false});
}

void serving_feed::update(const fleet_view& fleet, const service_map& services) {
  if (fleet_revision_ == fleet.revision() && services_version_ == services.version()) {
    return;
  }
  fleet_revision_ = fleet.revision();
  services_version_ = services.version();
  std::map<std::string, serving_entry> entries;
  for (const service_spec& service : services.services()) {
    if (!service.engine) {
      continue;
    }
    for (const model_spec& model : service.engine->models) {
      for (const serving_replica& replica :
           serving_replicas(fleet, service.id, model.id, model.size, lost_target_policy::include)) {
        entries[replica.head.str()] = {sorted_members(replica, fleet), replica.slowdown_factor};
      }
    }
  }
  for (const auto& [id, view] : fleet.all()) {
    const service_spec* service = services.find_service(view.record.service);
    const bool plain = service != nullptr && !service->engine;
    if (plain && view.listed && !view.record.draining) {
      entries[id.str()] = {{view.record}, 1};
    }
  }
  // Rows that have ended are removed first, since their members may be in another replica now.
  for (auto known = encoded_rows_.begin(); known != encoded_rows_.end();) {
    if (entries.contains(known->first)) {
      ++known;
      continue;
    }
    rows_.advance(rows_.position() + 1);
    rows_.apply({known->first, {}, rows_.position(), true});
    members_by_key_.erase(known->first);
    known = encoded_rows_.erase(known);
  }
  for (const auto& [key, entry] : entries) {
    put_row(key, entry);
  }
}

std::vector<target_id> serving_feed::first_suspect_per_row(
    const std::set<target_id>& suspects) const {
  std::vector<target_id> result;
  if (suspects.empty()) {
    return result;
  }
  for (const auto& [key, members] : members_by_key_) {
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&](const target_id& id) { return suspects.contains(id); });
    if (found != members.end()) {
      result.push_back(*found);
    }
  }
  return result;
}

bool serving_follower::apply(time_point queried_at, const std::string& incarnation,
                             std::uint64_t after, bool whole, std::uint64_t at,
                             const std::vector<feed_row>& rows, fleet_view& fleet) {
  if (whole) {
    // This update is a late answer to an older heartbeat: positions of one hub incarnation only
    // increase.
    if (incarnation == position_.incarnation && at < position_.at) {
      return true;
    }
    apply_snapshot(queried_at, rows, fleet);
    position_ = {incarnation, at};
    return true;
  }
  if (incarnation != position_.incarnation || position_.at == 0 || after > position_.at) {
    return false;
  }
  for (const feed_row& row : rows) {
    if (row.version > position_.at) {
      apply_row(queried_at, row, fleet);
    }
  }
  position_.at = std::max(position_.at, at);
  return true;
}

void serving_follower::apply_snapshot(time_point queried_at, const std::vector<feed_row>& rows,
                                      fleet_view& fleet) {
  entries_.clear();
  std::vector<fleet_view::listed_row> records;
  for (const feed_row& row : rows) {
    auto entry = decode_serving_entry(row.value);
    if (!entry) {
      continue;
    }
    for (const target_record& member : entry->members) {
      records.push_back({member, 0});
    }
    entries_.emplace(row.key, std::move(*entry));
  }
  fleet.replace_all(queried_at, records);
  for (const auto& [key, entry] : entries_) {
    fleet.set_slowdown_factor(entry.members.front().id, entry.slowdown_factor);
  }
}

// Whether the target still belongs to this row according to the fleet view; it may have joined
// another replica.
bool serving_follower::still_belongs_to_row(const target_view& view, const target_record& member) {
  const auto& now = view.record.member_of;
  return !now || (member.member_of && now->replica == member.member_of->replica);
}

// Unlists the members that are no longer in this row.
void serving_follower::drop_members(time_point queried_at, const std::string& key,
                                    const serving_entry* next, fleet_view& fleet) {
  const auto known = entries_.find(key);
  if (known == entries_.end()) {
    return;
  }
  for (const target_record& member : known->second.members) {
    const target_view* view = fleet.find(member.id);
    const bool stays =
        next != nullptr && std::any_of(next->members.begin(), next->members.end(),
                                       [&](const target_record& m) { return m.id == member.id; });
    if (!stays && view != nullptr && still_belongs_to_row(*view, member)) {
      fleet.mark_unlisted(queried_at, member.id);
    }
  }
}

void serving_follower::apply_row(time_point queried_at, const feed_row& row, fleet_view& fleet) {
  const auto entry = row.removed ? std::nullopt : decode_serving_entry(row.value);
  drop_members(queried_at, row.key, entry ? &*entry : nullptr, fleet);
  if (!entry) {
    entries_.erase(row.key);
    return;
  }
  for (const target_record& member : entry->members) {
    fleet.apply_record(queried_at, member);
  }
  fleet.set_slowdown_factor(entry->members.front().id, entry->slowdown_factor);
  entries_[row.key] = *entry;
}

}  // namespace arbutus
