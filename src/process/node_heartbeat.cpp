// MessagePack encoding of node heartbeats.
#include "process/node_heartbeat.h"

#include <cmath>
#include <nlohmann/json.hpp>

#include "process/msgpack_bounds.h"
#include "version/field_text.h"

namespace arbutus {

namespace {

using nlohmann::json;

constexpr std::size_t max_heartbeat_depth = 6;

json update_to_json(const std::optional<feed_update>& update) {
  if (!update) {
    return nullptr;
  }
  json rows = json::array();
  for (const feed_row& row : update->rows) {
    rows.push_back({row.key, row.value, row.version, row.removed, row.readable});
  }
  return {std::move(rows),     update->complete, update->position,
          update->age.count(), update->withheld, update->after};
}

std::optional<feed_update> update_from_json(const json& from) {
  if (from.is_null()) {
    return std::nullopt;
  }
  feed_update update;
  for (const json& row : from.at(0)) {
    update.rows.push_back({row.at(0).get<std::string>(), row.at(1).get<std::string>(),
                           row.at(2).get<std::uint64_t>(), row.at(3).get<bool>(),
                           row.at(4).get<bool>()});
  }
  update.complete = from.at(1).get<bool>();
  update.position = from.at(2).get<std::uint64_t>();
  update.age = duration{from.at(3).get<std::int64_t>()};
  update.withheld = from.at(4).get<bool>();
  update.after = from.at(5).get<std::uint64_t>();
  return update;
}

json part_to_json(const std::optional<config_part>& part) {
  if (!part) {
    return nullptr;
  }
  // The part's content is arbitrary bytes, so it is encoded as binary: text would have to be UTF-8.
  return {part->version, part->base, part->size, part->offset,
          json::binary({part->bytes.begin(), part->bytes.end()})};
}

json limits_to_json(const std::vector<limit_update>& limits) {
  json rows = json::array();
  for (const limit_update& l : limits) {
    json rate = l.per_second ? json(*l.per_second) : json();
    rows.push_back(json::array({l.target.str(), std::move(rate), l.age.count(), l.demand}));
  }
  return rows;
}

std::vector<limit_update> limits_from_json(const json& from) {
  std::vector<limit_update> limits;
  for (const json& row : from) {
    limit_update update;
    update.target = target_id{row.at(0).get<std::string>()};
    if (!row.at(1).is_null()) {
      update.per_second = row.at(1).get<double>();
    }
    update.age = duration{row.at(2).get<std::int64_t>()};
    update.demand = row.at(3).get<double>();
    const bool valid = update.demand >= 0 && update.per_second.value_or(0) >= 0;
    if (valid) {
      limits.push_back(std::move(update));
    }
  }
  return limits;
}

// An infinite rate would make all sums with it useless.
bool is_rate(double value) {
  return value >= 0 && std::isfinite(value);
}

constexpr std::size_t demand_service_field = 6;

// A row names its service only if it differs from that of the row before. Rows of earlier releases
// name none.
json demand_to_json(const model_demand& demand) {
  json rows = json::array();
  service_id named;
  for (const auto& [key, rate] : demand) {
    json row = json::array({key.model.model.str(), key.priority, rate.calls_per_second,
                            rate.prompt_tokens_per_second, rate.answer_tokens_per_second,
                            rate.latency_objective_s});
    if (key.model.service != named) {
      named = key.model.service;
      row.push_back(named.str());
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

model_demand demand_from_json(const json& from) {
  model_demand demand;
  service_id named;
  for (const json& row : from) {
    if (row.size() > demand_service_field) {
      named = service_id{row.at(demand_service_field).get<std::string>()};
    }
    const demand_key key{{named, model_id{row.at(0).get<std::string>()}},
                         row.at(1).get<std::uint32_t>()};
    const demand_rate rate{row.at(2).get<double>(), row.at(3).get<double>(),
                           row.at(4).get<double>(), row.at(5).get<double>()};
    const bool valid = is_rate(rate.calls_per_second) && is_rate(rate.prompt_tokens_per_second) &&
                       is_rate(rate.answer_tokens_per_second) && is_rate(rate.latency_objective_s);
    if (valid) {
      demand.insert_or_assign(key, rate);
    }
  }
  return demand;
}

json grants_to_json(const grant_update& grants) {
  json rows = json::array();
  for (const auto& [target, total] : grants.totals) {
    rows.push_back(json::array({target.str(), total}));
  }
  return json::array({grants.receiver_incarnation, std::move(rows)});
}

grant_update grants_from_json(const json& from) {
  grant_update grants;
  grants.receiver_incarnation = from.at(0).get<std::string>();
  for (const json& row : from.at(1)) {
    grants.totals.emplace_back(target_id{row.at(0).get<std::string>()},
                               row.at(1).get<std::uint64_t>());
  }
  return grants;
}

json warming_to_json(const warming_report& report, const grant_update& grants) {
  json targets = json::array();
  for (const warming_update& t : report.targets) {
    targets.push_back(json::array({t.target.str(), t.left.count(), t.age.count(), t.demand}));
  }
  json granted = json::array();
  for (const warming_grant& g : grants.warming) {
    granted.push_back(json::array({g.target.str(), g.total, g.newest}));
  }
  return json::array(
      {report.follows.str(), report.known_nodes_here, std::move(targets), std::move(granted)});
}

void read_warming(const json& from, node_heartbeat& message) {
  warming_report& report = message.warming.emplace();
  report.follows = node_id{from.at(0).get<std::string>()};
  report.known_nodes_here = from.at(1).get<std::size_t>();
  // A longer time is damage, and could overflow when it is added to the present time.
  constexpr duration max_time = 1h;
  for (const json& row : from.at(2)) {
    const warming_update update{target_id{row.at(0).get<std::string>()},
                                duration{row.at(1).get<std::int64_t>()},
                                duration{row.at(2).get<std::int64_t>()}, row.at(3).get<double>()};
    if (update.left >= 0us && update.left <= max_time && update.age >= 0us &&
        update.age <= max_time && update.demand >= 0) {
      report.targets.push_back(update);
    }
  }
  for (const json& row : from.at(3)) {
    message.grants.warming.push_back({target_id{row.at(0).get<std::string>()},
                                      row.at(1).get<std::uint64_t>(),
                                      row.at(2).get<std::uint64_t>()});
  }
}

std::optional<config_part> part_from_json(const json& from) {
  if (from.is_null()) {
    return std::nullopt;
  }
  const json::binary_t& bytes = from.at(4).get_binary();
  return config_part{from.at(0).get<std::uint64_t>(), from.at(1).get<std::uint64_t>(),
                     from.at(2).get<std::uint64_t>(), from.at(3).get<std::uint64_t>(),
                     std::string(bytes.begin(), bytes.end())};
}

json load_update_to_json(const std::optional<load_update>& update) {
  if (!update) {
    return nullptr;
  }
  return {update->after, update->position, update->included_stamp_us,
          json::binary({update->rows.begin(), update->rows.end()})};
}

std::optional<load_update> load_update_from_json(const json& from) {
  if (from.is_null()) {
    return std::nullopt;
  }
  const json::binary_t& rows = from.at(3).get_binary();
  return load_update{from.at(0).get<std::uint64_t>(), from.at(1).get<std::uint64_t>(),
                     from.at(2).get<std::int64_t>(), std::string(rows.begin(), rows.end())};
}

// Nodes of earlier releases do not send the heartbeat fields from these indices on; such fields are
// left empty.
constexpr std::size_t first_optional_field = 25;
constexpr std::size_t first_load_update_field = 32;
constexpr std::size_t cut_off_field = 35;
constexpr std::size_t known_nodes_field = 36;
constexpr std::size_t configuration_version_field = 37;
constexpr std::size_t demand_field = 38;
constexpr std::size_t warming_field = 39;
// In place of the newest row of the configuration, which earlier releases send.
constexpr std::uint64_t row_of_earlier_releases = 0;

void read_optional_fields(const json& document, node_heartbeat& message) {
  message.configuration_progress = {document.at(26).get<std::uint64_t>(),
                                    document.at(27).get<std::uint64_t>(),
                                    document.at(28).get<std::uint64_t>()};
  message.configuration_part = part_from_json(document.at(29));
  message.limits = limits_from_json(document.at(30));
  message.grants = grants_from_json(document.at(31));
}

void read_load_fields(const json& document, node_heartbeat& message) {
  message.received_load_position = {document.at(32).get<std::string>(),
                                    document.at(33).get<std::uint64_t>()};
  message.load_changes = load_update_from_json(document.at(34));
}

}  // namespace

std::string encode(const node_heartbeat& message) {
  json loads = json::array();
  for (const auto& [id, load] : message.loads) {
    loads.push_back({id.str(), static_cast<std::int64_t>(std::lround(load.active)),
                     static_cast<std::int64_t>(std::lround(load.pending_prefill_tokens))});
  }
  json lost = json::array();
  for (const target_id& id : message.lost) {
    lost.push_back(id.str());
  }
  json document = {message.data_centre.str(),
                   message.hub,
                   message.leaving,
                   message.requests_seen,
                   message.stamp_us,
                   message.echo_us,
                   message.targets_position,
                   message.configuration_position,
                   std::move(loads),
                   std::move(lost),
                   update_to_json(message.targets),
                   update_to_json(message.configuration),
                   message.refused_by_store,
                   to_string(message.link),
                   message.strength.processor_permille,
                   message.strength.link_mbps,
                   message.follows_records,
                   message.incarnation,
                   message.serving_position.incarnation,
                   message.serving_position.at,
                   update_to_json(message.serving_rows),
                   message.poison_changes.at,
                   message.poison_changes.rows,
                   message.received_poison_position.incarnation,
                   message.received_poison_position.at,
                   row_of_earlier_releases,
                   message.configuration_progress.version,
                   message.configuration_progress.base,
                   message.configuration_progress.bytes,
                   part_to_json(message.configuration_part),
                   limits_to_json(message.limits),
                   grants_to_json(message.grants),
                   message.received_load_position.incarnation,
                   message.received_load_position.at,
                   load_update_to_json(message.load_changes),
                   message.cut_off_from_targets,
                   message.known_nodes,
                   message.configuration_version.value_or(0),
                   demand_to_json(message.demand)};
  if (message.warming) {
    document.push_back(warming_to_json(*message.warming, message.grants));
  }
  std::string bytes;
  json::to_msgpack(document, bytes);
  return bytes;
}

std::optional<node_heartbeat> decode_node_heartbeat(std::string_view bytes) {
  if (!nesting_bounded(bytes, max_heartbeat_depth)) {
    return std::nullopt;
  }
  try {
    const json document = json::from_msgpack(bytes);
    node_heartbeat message;
    message.data_centre = data_centre_id{document.at(0).get<std::string>()};
    message.hub = document.at(1).get<bool>();
    message.leaving = document.at(2).get<bool>();
    message.requests_seen = document.at(3).get<bool>();
    message.stamp_us = document.at(4).get<std::int64_t>();
    message.echo_us = document.at(5).get<std::int64_t>();
    message.targets_position = document.at(6).get<std::uint64_t>();
    message.configuration_position = document.at(7).get<std::uint64_t>();
    for (const json& entry : document.at(8)) {
      message.loads[target_id{entry.at(0).get<std::string>()}] = {entry.at(1).get<double>(),
                                                                  entry.at(2).get<double>()};
    }
    for (const json& entry : document.at(9)) {
      message.lost.emplace_back(entry.get<std::string>());
    }
    message.targets = update_from_json(document.at(10));
    message.configuration = update_from_json(document.at(11));
    message.refused_by_store = document.at(12).get<bool>();
    // The link address is empty if the sender gave none; the receiver then takes it from the
    // sender's
    // row in the store.
    message.link = parse_endpoint(document.at(13).get<std::string>()).value_or(endpoint{});
    message.strength = {document.at(14).get<std::uint32_t>(), document.at(15).get<std::uint32_t>()};
    message.follows_records = document.at(16).get<bool>();
    message.incarnation = document.at(17).get<std::string>();
    message.serving_position = {document.at(18).get<std::string>(),
                                document.at(19).get<std::uint64_t>()};
    message.serving_rows = update_from_json(document.at(20));
    message.poison_changes = {document.at(21).get<std::uint64_t>(),
                              document.at(22).get<std::vector<std::string>>()};
    message.received_poison_position = {document.at(23).get<std::string>(),
                                        document.at(24).get<std::uint64_t>()};
    if (document.size() > first_optional_field) {
      read_optional_fields(document, message);
    }
    message.reads_load_updates = document.size() > first_load_update_field;
    if (message.reads_load_updates) {
      read_load_fields(document, message);
    }
    message.cut_off_from_targets =
        document.size() > cut_off_field && document.at(cut_off_field).get<bool>();
    if (document.size() > known_nodes_field) {
      message.known_nodes = document.at(known_nodes_field).get<std::size_t>();
    }
    message.configuration_version.reset();
    if (document.size() > configuration_version_field) {
      message.configuration_version = document.at(configuration_version_field).get<std::uint64_t>();
    }
    if (document.size() > demand_field) {
      message.demand = demand_from_json(document.at(demand_field));
    }
    if (document.size() > warming_field) {
      read_warming(document.at(warming_field), message);
    }
    return message;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace arbutus
