// Beats as MessagePack.
#include "process/node_beat.h"

#include <cmath>
#include <nlohmann/json.hpp>

#include "process/msgpack_bounds.h"

namespace arbutus {

namespace {

using nlohmann::json;

constexpr std::size_t beat_depth = 4;

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
  const json document = {beat.data_centre.str(), beat.leaving, beat.requests_seen,
                         std::move(loads), std::move(lost)};
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
    beat.leaving = document.at(1).get<bool>();
    beat.requests_seen = document.at(2).get<bool>();
    for (const json& entry : document.at(3)) {
      beat.loads[target_id{entry.at(0).get<std::string>()}] = {entry.at(1).get<double>(),
                                                               entry.at(2).get<double>()};
    }
    for (const json& entry : document.at(4)) {
      beat.lost.emplace_back(entry.get<std::string>());
    }
    return beat;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace arbutus
