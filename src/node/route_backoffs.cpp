// Targets that restrain a node of the product's own kind.
#include "node/route_backoffs.h"

#include <algorithm>

#include "node/target_notices.h"
#include "platform/http_fields.h"
#include "process/target_incarnation.h"
#include "request/route_policy.h"

namespace arbutus {

target_instance head_of(const replica_route& route) {
  return {incarnation_of(route.head.str(), route.head_incarnation), route.address};
}

target_instance instance_at(const endpoint& address) {
  return {target_id{to_string(address)}, address};
}

target_backoffs::effect route_backoffs::on_response(time_point now, const request_id& request,
                                                    const target_instance& target, int status,
                                                    const http_headers& headers) {
  const target_notice notice = read_target_notice(status, headers);
  if (notice.is_empty()) {
    return {};
  }
  const std::lock_guard guard(lock_);
  const target_backoffs::effect effect = backoffs_.on_response(now, target, notice);
  log_target_notice(request, target, notice, effect);
  return effect;
}

bool route_backoffs::is_restrained(time_point now, const target_instance& target) const {
  const std::lock_guard guard(lock_);
  return backoffs_.restraint_of(now, target) != target_restraint::none;
}

std::optional<routing_snapshot> route_backoffs::without_restrained(
    time_point now, const routing_snapshot& routes) const {
  const std::lock_guard guard(lock_);
  if (backoffs_.is_empty()) {
    return std::nullopt;
  }
  routing_snapshot result = routes;
  for (replica_route& route : result.replicas) {
    if (backoffs_.restraint_of(now, head_of(route)) != target_restraint::none) {
      route.valid_until = time_point::min();
    }
  }
  return result;
}

std::optional<duration> route_backoffs::retry_after(time_point now, const routing_snapshot& routes,
                                                    const model_id& model, duration unknown_end) {
  std::vector<target_instance> heads;
  for (const replica_route& route : routes.replicas) {
    if (route.model == model && may_use_route(now, route)) {
      heads.push_back(head_of(route));
    }
  }
  return retry_after(now, heads, unknown_end);
}

std::optional<duration> route_backoffs::retry_after(time_point now,
                                                    const std::vector<target_instance>& targets,
                                                    duration unknown_end) {
  const std::lock_guard guard(lock_);
  std::optional<target_backoffs::backoff> first;
  for (const target_instance& target : targets) {
    const target_restraint restraint = backoffs_.restraint_of(now, target);
    if (restraint == target_restraint::none) {
      return std::nullopt;
    }
    if (restraint == target_restraint::backing_off) {
      const auto running = backoffs_.backoff_of(now, target);
      first = !first || running->ends < first->ends ? running : first;
    }
  }
  if (targets.empty()) {
    return std::nullopt;
  }
  return first ? retry_after_backoff(now, *first, random_.unit()) : unknown_end;
}

target_backoffs::counts route_backoffs::count(time_point now) const {
  const std::lock_guard guard(lock_);
  return backoffs_.count(now);
}

void route_backoffs::forget(time_point now, const routing_snapshot& routes) {
  const std::lock_guard guard(lock_);
  backoffs_.forget(now, [&](const target_id& id) {
    return std::ranges::any_of(routes.replicas,
                               [&](const replica_route& route) { return head_of(route).id == id; });
  });
}

}  // namespace arbutus
