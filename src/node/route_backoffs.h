// Targets that restrain a node of the product's own kind, as admission/target_backoff, for its
// replica routes and service instances. Shared by all calls. Thread-safe.
#pragma once

#include <mutex>
#include <optional>
#include <vector>

#include "admission/target_backoff.h"
#include "base/rng.h"
#include "connection/http_message.h"
#include "process/routes.h"

namespace arbutus {

// The head of a replica, in the incarnation that the route was made for.
[[nodiscard]] target_instance head_of(const replica_route& route);
// An instance of a service that is not a model. Its incarnation is not known, so a restraint passes
// to the next one at the address.
[[nodiscard]] target_instance instance_at(const endpoint& address);

class route_backoffs {
 public:
  explicit route_backoffs(std::uint64_t seed) : random_(seed) {}

  // Reads the headers of a response to the request, and logs what they change.
  target_backoffs::effect on_response(time_point now, const request_id& request,
                                      const target_instance& target, int status,
                                      const http_headers& headers);

  [[nodiscard]] bool is_restrained(time_point now, const target_instance& target) const;

  // The same routes, without permission for those whose head is restrained; empty if none is.
  [[nodiscard]] std::optional<routing_snapshot> without_restrained(
      time_point now, const routing_snapshot& routes) const;

  // When a caller should retry if all targets that could take its call are restrained: those of the
  // model's routes that may be used, or the instances of a service. Empty if there are none, or one
  // is not restrained. `unknown_end` if none of them backs off, but all are leaving.
  [[nodiscard]] std::optional<duration> retry_after(time_point now, const routing_snapshot& routes,
                                                    const model_id& model, duration unknown_end);
  [[nodiscard]] std::optional<duration> retry_after(time_point now,
                                                    const std::vector<target_instance>& targets,
                                                    duration unknown_end);

  [[nodiscard]] target_backoffs::counts count(time_point now) const;
  // Forgets what belongs to heads that no route names any more, see target_backoffs::forget().
  void forget(time_point now, const routing_snapshot& routes);

 private:
  mutable std::mutex lock_;  // guards all below
  target_backoffs backoffs_;
  rng random_;
};

}  // namespace arbutus
