// MessagePack encoding of node heartbeats.
#include "process/node_beat.h"

#include <cmath>
#include <nlohmann/json.hpp>

#include "process/msgpack_bounds.h"
#include "version/field_text.h"

namespace arbutus {

namespace {

using nlohmann::json;

constexpr std::size_t beat_depth = 6;

json news_to_json(const std::optional<feed_news>& news) {
  if (!news) {
    return nullptr;
  }
  json rows = json::array();
  for (const feed_row& row : news->rows) {
    rows.push_back({row.key, row.value, row.version, row.removed, row.readable});
  }
  return {std::move(rows),   news->whole,    news->position,
          news->age.count(), news->withheld, news->after};
}

std::optional<feed_news> news_from_json(const json& from) {
  if (from.is_null()) {
    return std::nullopt;
  }
  feed_news news;
  for (const json& row : from.at(0)) {
    news.rows.push_back({row.at(0).get<std::string>(), row.at(1).get<std::string>(),
                         row.at(2).get<std::uint64_t>(), row.at(3).get<bool>(),
                         row.at(4).get<bool>()});
  }
  news.whole = from.at(1).get<bool>();
  news.position = from.at(2).get<std::uint64_t>();
  news.age = duration{from.at(3).get<std::int64_t>()};
  news.withheld = from.at(4).get<bool>();
  news.after = from.at(5).get<std::uint64_t>();
  return news;
}

json part_to_json(const std::optional<config_part>& part) {
  if (!part) {
    return nullptr;
  }
  // Arbitrary bytes, thus binary: text would have to be UTF-8.
  return {part->row, part->base, part->size, part->offset,
          json::binary({part->bytes.begin(), part->bytes.end()})};
}

json limits_to_json(const std::vector<limit_news>& limits) {
  json rows = json::array();
  for (const limit_news& l : limits) {
    json rate = l.per_second ? json(*l.per_second) : json();
    rows.push_back(json::array({l.target.str(), std::move(rate), l.age.count(), l.demand}));
  }
  return rows;
}

std::vector<limit_news> limits_from_json(const json& from) {
  std::vector<limit_news> limits;
  for (const json& row : from) {
    limit_news news;
    news.target = target_id{row.at(0).get<std::string>()};
    if (!row.at(1).is_null()) {
      news.per_second = row.at(1).get<double>();
    }
    news.age = duration{row.at(2).get<std::int64_t>()};
    news.demand = row.at(3).get<double>();
    const bool possible = news.demand >= 0 && news.per_second.value_or(0) >= 0;
    if (possible) {
      limits.push_back(std::move(news));
    }
  }
  return limits;
}

json grants_to_json(const grant_news& grants) {
  json rows = json::array();
  for (const auto& [target, total] : grants.totals) {
    rows.push_back(json::array({target.str(), total}));
  }
  return json::array({grants.receiver_life, std::move(rows)});
}

grant_news grants_from_json(const json& from) {
  grant_news grants;
  grants.receiver_life = from.at(0).get<std::string>();
  for (const json& row : from.at(1)) {
    grants.totals.emplace_back(target_id{row.at(0).get<std::string>()},
                               row.at(1).get<std::uint64_t>());
  }
  return grants;
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

// Fields from this index on are not sent by nodes of an earlier release; they are left empty then.
constexpr std::size_t first_later_field = 25;

void read_later_fields(const json& document, node_beat& beat) {
  beat.configuration_row = document.at(25).get<std::uint64_t>();
  beat.configuration_progress = {document.at(26).get<std::uint64_t>(),
                                 document.at(27).get<std::uint64_t>(),
                                 document.at(28).get<std::uint64_t>()};
  beat.configuration_part = part_from_json(document.at(29));
  beat.limits = limits_from_json(document.at(30));
  beat.grants = grants_from_json(document.at(31));
}

}  // namespace

std::string encode(const node_beat& beat) {
  json loads = json::array();
  for (const auto& [id, load] : beat.loads) {
    loads.push_back({id.str(), static_cast<std::int64_t>(std::lround(load.active)),
                     static_cast<std::int64_t>(std::lround(load.unread_tokens))});
  }
  json lost = json::array();
  for (const target_id& id : beat.lost) {
    lost.push_back(id.str());
  }
  const json document = {beat.data_centre.str(),
                         beat.hub,
                         beat.leaving,
                         beat.requests_seen,
                         beat.stamp_us,
                         beat.echo_us,
                         beat.targets_position,
                         beat.configuration_position,
                         std::move(loads),
                         std::move(lost),
                         news_to_json(beat.targets),
                         news_to_json(beat.configuration),
                         beat.turned_away,
                         to_string(beat.link),
                         beat.strength.processor_permille,
                         beat.strength.link_mbps,
                         beat.follows_records,
                         beat.life,
                         beat.serving.life,
                         beat.serving.at,
                         news_to_json(beat.served),
                         beat.crashes.at,
                         beat.crashes.rows,
                         beat.crashes_heard.life,
                         beat.crashes_heard.at,
                         beat.configuration_row,
                         beat.configuration_progress.row,
                         beat.configuration_progress.base,
                         beat.configuration_progress.bytes,
                         part_to_json(beat.configuration_part),
                         limits_to_json(beat.limits),
                         grants_to_json(beat.grants)};
  std::string bytes;
  json::to_msgpack(document, bytes);
  return bytes;
}

std::optional<node_beat> decode_node_beat(std::string_view bytes) {
  if (!nesting_bounded(bytes, beat_depth)) {
    return std::nullopt;
  }
  try {
    const json document = json::from_msgpack(bytes);
    node_beat beat;
    beat.data_centre = data_centre_id{document.at(0).get<std::string>()};
    beat.hub = document.at(1).get<bool>();
    beat.leaving = document.at(2).get<bool>();
    beat.requests_seen = document.at(3).get<bool>();
    beat.stamp_us = document.at(4).get<std::int64_t>();
    beat.echo_us = document.at(5).get<std::int64_t>();
    beat.targets_position = document.at(6).get<std::uint64_t>();
    beat.configuration_position = document.at(7).get<std::uint64_t>();
    for (const json& entry : document.at(8)) {
      beat.loads[target_id{entry.at(0).get<std::string>()}] = {entry.at(1).get<double>(),
                                                               entry.at(2).get<double>()};
    }
    for (const json& entry : document.at(9)) {
      beat.lost.emplace_back(entry.get<std::string>());
    }
    beat.targets = news_from_json(document.at(10));
    beat.configuration = news_from_json(document.at(11));
    beat.turned_away = document.at(12).get<bool>();
    // Empty if the node sent no address; it is then known from its row.
    beat.link = parse_endpoint(document.at(13).get<std::string>()).value_or(endpoint{});
    beat.strength = {document.at(14).get<std::uint32_t>(), document.at(15).get<std::uint32_t>()};
    beat.follows_records = document.at(16).get<bool>();
    beat.life = document.at(17).get<std::string>();
    beat.serving = {document.at(18).get<std::string>(), document.at(19).get<std::uint64_t>()};
    beat.served = news_from_json(document.at(20));
    beat.crashes = {document.at(21).get<std::uint64_t>(),
                    document.at(22).get<std::vector<std::string>>()};
    beat.crashes_heard = {document.at(23).get<std::string>(), document.at(24).get<std::uint64_t>()};
    if (document.size() > first_later_field) {
      read_later_fields(document, beat);
    }
    return beat;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace arbutus
