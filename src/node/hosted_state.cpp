// Shared state of a hosted node.
#include "node/hosted_state.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

#include "base/hash.h"

namespace arbutus {

namespace {

socket_address address_of_endpoint(const endpoint& e) {
  return {e.host, e.port};
}

// The incarnation of this process is random, since the time of day may step back and a counter
// would not survive a restart.
std::string random_incarnation() {
  std::random_device device;
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%08x", device());
  return text.data();
}

// All nodes know a new one within this time: hubs read the rows of the nodes every 5 s.
constexpr duration new_node_known_within = 6s;

// Minimum number of nodes among which the burst of the retry budget is divided. Before enough peers
// are known, this keeps each node's share of it small.
constexpr std::size_t min_budget_nodes = 6;

}  // namespace

void count_malformed_answer(hosted_state& node, const call_result& result) {
  if (result.fault != answer_fault::none) {
    node.metrics.count("arbutusworks_answers_malformed",
                       "why=\"" + std::string(to_string(result.fault)) + "\"");
  }
}

void count_oversized_answer(hosted_state& node, std::string_view part) {
  node.metrics.count("arbutusworks_answers_too_large", "part=\"" + std::string(part) + "\"");
}

std::size_t max_buffered_bytes(const hosted_settings& settings) {
  constexpr std::size_t bytes_per_mb = 1024UL * 1024;
  return settings.memory_mb * bytes_per_mb / 4;
}

// Most connections of callers are idle; a call in progress takes one or two further ones, to
// targets and peers. A third of the descriptors is left for those, links, the store and reports.
connection_share accepted_connections(const hosted_settings& settings) {
  constexpr std::size_t most = 3000;
  constexpr std::size_t fewest = 16;
  const std::size_t descriptors = settings.file_descriptors;
  if (descriptors == 0) {
    return {most, most};
  }
  return {std::clamp(descriptors / 2, fewest, most), std::clamp(descriptors / 6, fewest, most)};
}

http_client_limits target_client_limits(buffer_account* buffers) {
  http_client_limits limits;
  limits.buffers = buffers;
  // A live target accepts a connection within two round trips, 6 ms. A lost SYN is retransmitted
  // only after a second, so it is better to try another target than to wait longer than this.
  limits.connect_timeout = 300ms;
  limits.max_idle_per_target = 64;
  limits.idle_expiry = 10s;
  return limits;
}

http_client_limits control_client_limits() {
  http_client_limits limits;
  limits.connect_timeout = 250ms;
  limits.max_body_bytes = 256UL * 1024;
  limits.max_idle_per_target = 1;
  limits.idle_expiry = 5s;
  return limits;
}

http_client_limits platform_client_limits() {
  http_client_limits limits;
  limits.connect_timeout = 500ms;
  // The lists of the store grow with the deployment.
  limits.max_body_bytes = 16UL * 1024 * 1024;
  limits.max_idle_per_target = 4;
  limits.idle_expiry = 10s;
  limits.body_stall_timeout = 500ms;
  return limits;
}

http_client_limits relay_client_limits() {
  http_client_limits limits;
  // A live node accepts a connection within two round trips, 6 ms.
  limits.connect_timeout = 150ms;
  // A peer adds a few fields to the headers of a target's response.
  limits.max_header_bytes += 8UL * 1024;
  limits.max_idle_per_target = 64;
  limits.idle_expiry = 10s;
  return limits;
}

hosted_state::hosted_state(time_point now, hosted_settings s, fiber_runtime& r)
    : settings(std::move(s)),
      incarnation(random_incarnation()),
      started_at(now),
      start(now, settings.cold_start),
      runtime(r),
      buffers(max_buffered_bytes(settings)),
      targets_http(r, target_client_limits(&buffers)),
      control_http(r, control_client_limits()),
      platform_http(r, platform_client_limits()),
      relay_http(r, relay_client_limits()),
      store(platform_http, address_of_endpoint(settings.store)),
      engines(control_http),
      evacuated_data_centres(settings.data_centres),
      configuration_lease({.revocation_bound = settings.bounds.key_withdrawal_limit}),
      peers(settings.id, settings.data_centre, settings.strength),
      random(stable_hash(incarnation)) {}

const std::vector<serving_replica>& hosted_state::replicas(const service_spec& service,
                                                           const model_id& model) {
  drop_outdated_caches();
  const model_spec* spec = service.engine->find_model(model);
  const std::uint32_t size = spec == nullptr ? 0 : spec->size;
  const auto [found, is_new] = cached_replicas_.try_emplace({{service.id, model}, size});
  if (is_new && spec != nullptr) {
    found->second = serving_replicas(fleet, service.id, model, size);
  }
  return found->second;
}

void hosted_state::drop_outdated_caches() {
  if (cached_revision_ != fleet.revision() || cached_version_ != map->version()) {
    cached_replicas_.clear();
    cached_instances_.clear();
    cached_revision_ = fleet.revision();
    cached_version_ = map->version();
  }
}

const std::vector<service_instance>& hosted_state::instances_of(const service_id& service) {
  drop_outdated_caches();
  const auto [found, is_new] = cached_instances_.try_emplace(service);
  std::vector<service_instance>& result = found->second;
  if (!is_new) {
    return result;
  }
  for (const auto& [id, view] : fleet.all()) {
    const target_record& record = view.record;
    if (record.service == service && view.listed && !view.lost && !record.draining) {
      result.push_back({id, record.address, record.data_centre, record.slots});
    }
  }
  return result;
}

void hosted_state::forget_connections(const endpoint& address) {
  targets_http.close_idle_connections(address_of_endpoint(address));
  control_http.close_idle_connections(address_of_endpoint(address));
}

bool hosted_state::is_cut_off_from_models() const {
  return map && std::ranges::any_of(reach, [this](const auto& entry) {
           const service_spec* service = map->find_service(entry.first);
           return entry.second.is_cut_off() && service != nullptr && service->engine;
         });
}

retry_window& hosted_state::retries_of(time_point now, const service_id& service) {
  auto found = retry_windows.find(service);
  if (found == retry_windows.end()) {
    found = retry_windows.emplace(service, new_retry_window()).first;
  }
  if (start.is_first(now)) {
    found->second.allow_burst_from(started_at);
  }
  const std::size_t nodes = peers.node_count(now);
  found->second.set_nodes(now, nodes == 0 ? 0 : std::max(min_budget_nodes, nodes));
  return found->second;
}

retry_window hosted_state::new_retry_window() const {
  retry_window_settings window;
  window.retries_per_request = settings.bounds.retry_ratio;
  window.burst = settings.bounds.retry_burst;
  window.window = settings.bounds.retry_window;
  window.nodes = 0;
  return retry_window(window, started_at + new_node_known_within + window.window);
}

}  // namespace arbutus
