// Exchange of rate limit leases between nodes.
#include "node/limit_exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "process/msgpack_bounds.h"

namespace arbutus {

namespace {

using json = nlohmann::json;

constexpr std::size_t max_message_depth = 4;  // message, workspaces, workspace, value

std::int64_t count(time_point t) {
  return t.time_since_epoch().count();
}

time_point moment(const json& j) {
  return time_point{duration{j.get<std::int64_t>()}};
}

std::vector<node_id> lease_peers(const inventory& assets, const node_id& self) {
  const node_record* own = assets.find_node(self);
  const bool all = assets.nodes.size() <= max_limit_mesh_nodes;
  std::vector<node_id> peers;
  for (const node_record& node : assets.nodes) {
    const bool near = own != nullptr && node.data_centre == own->data_centre;
    if (node.id != self && (all || near)) {
      peers.push_back(node.id);
    }
  }
  return peers;
}

}  // namespace

std::string encode(const limit_message& message) {
  json workspaces = json::array();
  for (const auto& w : message.workspaces) {
    workspaces.push_back({w.workspace.str(), w.demand, w.lent});
  }
  json body = {count(message.stamp), nullptr, workspaces};
  if (message.echo) {
    body[1] = count(*message.echo);
  }
  const std::vector<std::uint8_t> bytes = json::to_msgpack(body);
  return {bytes.begin(), bytes.end()};
}

outcome<limit_message> decode_limit_message(std::string_view bytes) {
  if (!nesting_bounded(bytes, max_message_depth)) {
    return refused{"malformed: nesting"};
  }
  try {
    const json body = json::from_msgpack(bytes.begin(), bytes.end());
    limit_message message;
    message.stamp = moment(body.at(0));
    if (!body.at(1).is_null()) {
      message.echo = moment(body.at(1));
    }
    for (const json& w : body.at(2)) {
      message.workspaces.push_back(
          {workspace_id{w.at(0).get<std::string>()}, w.at(1).get<double>(), w.at(2).get<double>()});
    }
    return message;
  } catch (const std::exception& e) {
    return refused{std::string("malformed: ") + e.what()};
  }
}

limit_exchange::limit_exchange(time_point now, node_id self)
    : self_(self), limits_(now, std::move(self)) {}

void limit_exchange::configure(time_point now, const configuration& config) {
  const std::lock_guard guard(lock_);
  if (config.version == config_version_) {
    return;
  }
  config_version_ = config.version;
  std::vector<node_id> nodes;
  for (const node_record& node : config.assets.nodes) {
    nodes.push_back(node.id);
  }
  limits_.set_nodes(now, nodes);
  has_rate_limits_ = false;
  for (const workspace_rule& workspace : config.desired.workspaces) {
    limits_.set_limit(now, workspace.id, {workspace.requests_per_second, workspace.burst});
    has_rate_limits_ = has_rate_limits_ || workspace.requests_per_second > 0;
  }
  lease_peers_ = lease_peers(config.assets, self_);
}

limit_result limit_exchange::take(time_point now, const workspace_id& workspace) {
  const std::lock_guard guard(lock_);
  return limits_.take(now, workspace);
}

// Adds the leases of rate limits to a heartbeat. A separate message costs a TCP segment and its
// acknowledgement, more bytes than it carries. Sent together with a heartbeat, which goes to the
// same peers at the same rate, it costs only its payload.
std::optional<peer_send> limit_exchange::piggyback_message(time_point now, const node_id& peer) {
  const std::lock_guard guard(lock_);
  const bool partner =
      std::find(lease_peers_.begin(), lease_peers_.end(), peer) != lease_peers_.end();
  if (!has_rate_limits_ || !partner || !piggybacked_.insert(peer).second) {
    return std::nullopt;
  }
  return peer_send{peer, encode(limits_.make_message(now, peer)), false};
}

std::vector<peer_send> limit_exchange::take_messages(time_point now) {
  const std::lock_guard guard(lock_);
  std::vector<peer_send> messages;
  if (!has_rate_limits_) {
    return messages;
  }
  limits_.update(now);
  for (const node_id& peer : lease_peers_) {
    if (!piggybacked_.contains(peer)) {
      messages.push_back({peer, encode(limits_.make_message(now, peer)), false});
    }
  }
  piggybacked_.clear();
  return messages;
}

void limit_exchange::received(time_point now, const node_id& peer, std::string_view bytes) {
  const auto message = decode_limit_message(bytes);
  if (const auto* known = std::get_if<limit_message>(&message)) {
    const std::lock_guard guard(lock_);
    limits_.received(now, peer, *known);
  }
}

}  // namespace arbutus
