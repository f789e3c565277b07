// Usable slots and spill-over to other data centres.
#include "request/spill.h"

#include <algorithm>

#include "request/route_policy.h"

namespace arbutus {

namespace {

std::int64_t free_slots_of(const replica_route& route, const in_flight& flights) {
  const std::int64_t busy = std::int64_t{route.running} + route.queued +
                            flights.sent_since(route.id, route.load_reported_at) -
                            flights.ended_since(route.id, route.load_reported_at);
  return std::max<std::int64_t>(0, route.slots - std::max<std::int64_t>(0, busy));
}

std::optional<duration> distance_to(std::span<const data_centre_distance> distances,
                                    const data_centre_id& id) {
  const auto same = [&](const data_centre_distance& d) { return d.data_centre == id; };
  const auto found = std::find_if(distances.begin(), distances.end(), same);
  return found == distances.end() ? std::nullopt : std::optional(found->round_trip);
}

// Expected time until the request gets a slot in that data centre.
std::optional<duration> remote_wait(time_point now, const remote_capacity& remote,
                                    std::span<const data_centre_distance> distances,
                                    const spill_settings& settings) {
  const std::optional<duration> distance = distance_to(distances, remote.data_centre);
  if (!distance || remote.caller_endpoints.empty() || now - remote.at > settings.max_summary_age) {
    return std::nullopt;
  }
  if (remote.free_slots == 0 && remote.queueing_delay <= 0us) {
    return std::nullopt;  // the data centre serves no requests of the model
  }
  return *distance + (remote.free_slots > 0 ? 0us : remote.queueing_delay);
}

}  // namespace

slot_count usable_slots(time_point now, const routing_snapshot& routes, const model_id& model,
                        const in_flight& flights, std::uint32_t nodes) {
  std::int64_t free = 0;
  std::uint32_t slots = 0;
  for (const replica_route& route : routes.replicas) {
    if (route.model == model && may_use_route(now, route)) {
      free += free_slots_of(route, flights);
      slots += route.slots;
    }
  }
  const std::int64_t sharing_nodes = std::max<std::int64_t>(1, nodes);
  return {static_cast<std::uint32_t>((free + sharing_nodes - 1) / sharing_nodes), slots};
}

std::optional<remote_capacity> choose_spill(time_point now, const routing_snapshot& routes,
                                            const request_facts& facts,
                                            std::optional<duration> local_wait,
                                            std::span<const data_centre_distance> distances,
                                            bool already_spilled, const spill_settings& settings) {
  if (already_spilled) {
    return std::nullopt;
  }
  const remote_capacity* best = nullptr;
  duration best_wait{};
  for (const remote_capacity& remote : routes.remote_capacities) {
    if (remote.model != facts.model) {
      continue;
    }
    const std::optional<duration> wait = remote_wait(now, remote, distances, settings);
    if (wait && (best == nullptr || *wait < best_wait)) {
      best = &remote;
      best_wait = *wait;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  const double needed =
      to_seconds(best_wait) * settings.remote_wait_factor + to_seconds(settings.min_wait_gain);
  if (local_wait && to_seconds(*local_wait) <= needed) {
    return std::nullopt;
  }
  return *best;
}

}  // namespace arbutus
