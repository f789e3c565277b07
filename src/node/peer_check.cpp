// Whether peers live, and what they see of targets.
#include "node/peer_check.h"

#include <algorithm>
#include <string>
#include <vector>

#include "connection/clock.h"
#include "node/hosted_relay.h"
#include "node/log.h"

namespace arbutus {

namespace {

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
// Path that a peer answers at once, to show that its process runs.
constexpr std::string_view alive_path = "/alive";
constexpr duration alive_timeout = 200ms;
// Path prefix of the question whether a target, whose id follows, answers the peer.
constexpr std::string_view probe_prefix = "/probe/";
constexpr duration peer_probe_timeout = 80ms;

void check_peer(hosted_state& node, const node_record& peer) {
  http_request request;
  request.target = std::string(alive_path);
  const call_result result = node.relay_http.fetch({peer.relay.host, peer.relay.port}, request,
                                                   monotonic_now() + alive_timeout);
  if (result.ok()) {
    return;
  }
  node.relays.unresponsive(monotonic_now(), peer.id);
  const std::size_t streams = node.attempts.doubt(relay_attempt_id(peer.id));
  log_line(log_level::warning, "reach", "peer does not answer",
           {{"peer", peer.id}, {"streams", std::uint64_t{streams}}});
}

// Whether this node can tell a target that does not answer from a cut of its own paths.
bool is_witness(const target_reach& reach) {
  return !reach.is_cut_off() && !reach.is_doubtful();
}

// Answers a peer that asks whether the target answers this node.
void serve_peer_probe(hosted_state& node, const target_id& id, response_writer& writer) {
  constexpr int status_not_found = 404;
  const target_view* view = node.fleet.find(id);
  if (view == nullptr) {
    writer.send(status_not_found, {}, "");
    return;
  }
  node.metrics.count("arbutusworks_questions", "why=\"peer\"");
  if (!is_witness(node.reach[view->record.service])) {
    writer.send(status_unavailable, {}, "");
    return;
  }
  const endpoint address = view->record.address;
  const auto result = node.engines.report(id, address, monotonic_now() + peer_probe_timeout);
  const auto* report = std::get_if<target_report>(&result);
  const bool answers = report != nullptr && report->incarnation == id;
  writer.send(answers ? status_ok : status_not_found, {}, "");
}

}  // namespace

bool answers_a_peer(hosted_state& node, const target_id& id, time_point deadline) {
  const target_view* view = node.fleet.find(id);
  if (view == nullptr) {
    return false;
  }
  const service_id service = view->record.service;
  std::vector<node_id> asked;
  while (monotonic_now() < deadline) {
    const auto peer = node.relays.choose(monotonic_now(), service, node.peers.records(),
                                         node.settings.data_centre, asked, node.random);
    if (!peer) {
      return false;
    }
    asked.push_back(peer->id);
    http_request request;
    request.target = std::string(probe_prefix) + id.str();
    const call_result result =
        node.relay_http.fetch({peer->relay.host, peer->relay.port}, request, deadline);
    if (result.ok() && result.response.status != status_unavailable) {
      return result.response.status == status_ok;
    }
    // A peer that is cut off as well says so. One that does not answer is no witness either.
    if (result.ok()) {
      node.relays.declined(monotonic_now(), service, peer->id, {decline_reason::cut_off, {}},
                           node.peers.records());
    }
  }
  return false;
}

void check_silent_peers(hosted_state& node, time_point now) {
  for (const node_id& id : node.relays.take_silent(now)) {
    const auto& nodes = node.peers.records();
    const auto peer =
        std::find_if(nodes.begin(), nodes.end(), [&](const node_record& n) { return n.id == id; });
    if (peer != nodes.end()) {
      node.runtime.post(0, [&node, record = *peer] { check_peer(node, record); });
    }
  }
}

bool serve_peer_question(hosted_state& node, const http_request& request, response_writer& writer) {
  if (request.target == alive_path) {
    writer.send(status_ok, {}, "alive\n");
    return true;
  }
  if (request.target.starts_with(probe_prefix)) {
    serve_peer_probe(node, target_id{request.target.substr(probe_prefix.size())}, writer);
    return true;
  }
  return false;
}

}  // namespace arbutus
