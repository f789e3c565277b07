// Permission to use a route, and the baseline policies.
#include "request/route_policy.h"

#include <algorithm>
#include <vector>

namespace arbutus {

namespace {

using indices = std::vector<std::size_t>;

// Replicas of the model to which requests may be sent now; those that the request already tried
// only if there is no other.
indices permitted(time_point now, const routing_snapshot& routes, const model_id& model,
                  tried_replicas tried) {
  indices untried;
  indices already_tried;
  for (std::size_t i = 0; i < routes.replicas.size(); ++i) {
    const replica_route& route = routes.replicas[i];
    if (route.model != model || !may_use_route(now, route)) {
      continue;
    }
    const bool was_tried = std::find(tried.begin(), tried.end(), route.id) != tried.end();
    (was_tried ? already_tried : untried).push_back(i);
  }
  return untried.empty() ? already_tried : untried;
}

route_choice chosen(const routing_snapshot& routes, std::size_t index) {
  return {.replica = routes.replicas[index].id, .index = index};
}

std::uint32_t reported(const routing_snapshot& routes, std::size_t index) {
  return routes.replicas[index].running + routes.replicas[index].queued;
}

}  // namespace

bool may_use_route(time_point now, const replica_route& route) {
  return !route.draining && now < route.valid_until;
}

std::optional<route_choice> random_choice::choose(time_point now, const routing_snapshot& routes,
                                                  const request_facts& facts, const in_flight&,
                                                  tried_replicas tried) {
  const indices usable = permitted(now, routes, facts.model, tried);
  if (usable.empty()) {
    return std::nullopt;
  }
  return chosen(routes, usable[random_.below(usable.size())]);
}

std::optional<route_choice> round_robin::choose(time_point now, const routing_snapshot& routes,
                                                const request_facts& facts, const in_flight&,
                                                tried_replicas tried) {
  const indices usable = permitted(now, routes, facts.model, tried);
  if (usable.empty()) {
    return std::nullopt;
  }
  return chosen(routes, usable[next_++ % usable.size()]);
}

std::optional<route_choice> least_reported_load::choose(time_point now,
                                                        const routing_snapshot& routes,
                                                        const request_facts& facts,
                                                        const in_flight&, tried_replicas tried) {
  const indices usable = permitted(now, routes, facts.model, tried);
  indices least;
  for (const std::size_t i : usable) {
    if (!least.empty() && reported(routes, i) > reported(routes, least.front())) {
      continue;
    }
    if (!least.empty() && reported(routes, i) < reported(routes, least.front())) {
      least.clear();
    }
    least.push_back(i);
  }
  if (least.empty()) {
    return std::nullopt;
  }
  return chosen(routes, least[random_.below(least.size())]);
}

std::optional<route_choice> two_choices::choose(time_point now, const routing_snapshot& routes,
                                                const request_facts& facts, const in_flight&,
                                                tried_replicas tried) {
  const indices usable = permitted(now, routes, facts.model, tried);
  if (usable.empty()) {
    return std::nullopt;
  }
  const std::size_t first = usable[random_.below(usable.size())];
  const std::size_t second = usable[random_.below(usable.size())];
  return chosen(routes, reported(routes, second) < reported(routes, first) ? second : first);
}

}  // namespace arbutus
