// The interface of routing policies, and the baseline policies that the default one is compared
// with.
//
// A policy chooses a replica for a request and observes the results of attempts. Every policy must
// use a route only while it is permitted (`may_use_route`).
//
// Not thread-safe: protected by its shard's lock.
#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>

#include "base/id.h"
#include "base/rng.h"
#include "base/units.h"
#include "process/routes.h"
#include "request/facts.h"
#include "request/in_flight.h"

namespace arbutus {

// Whether new requests may be sent to this route now. To be checked again directly before a request
// is sent: the process may have been paused since the route was chosen.
[[nodiscard]] bool may_use_route(time_point now, const replica_route& route);

struct route_choice {
  replica_id replica;
  std::size_t index{};       // index of the replica in routing_snapshot::replicas
  duration expected_wait{};  // before the request gets a slot there
  duration expected{};       // expected time until the response is complete
  bool last_resort = false;  // all permitted replicas are avoided or were tried already
};

// The result of an attempt as observed by this node.
struct attempt_result {
  replica_id replica;
  double cost{};
  duration
      first_token{};  // time from the send to the first token; 0: the response was not streamed
  duration total{};   // time from the send to the end of the response
  duration expected_wait{};  // route_choice::expected_wait of the attempt
  bool failed = false;       // aborted or refused; the times are not used
};

using tried_replicas = std::span<const replica_id>;

template <class P>
concept routing_policy = requires(P policy, time_point now, const routing_snapshot& routes,
                                  const request_facts& facts, const in_flight& flights,
                                  tried_replicas tried, const attempt_result& result) {
  {
    policy.choose(now, routes, facts, flights, tried)
    } -> std::same_as<std::optional<route_choice>>;
  {policy.observe(now, result)};
};

class random_choice {
 public:
  explicit random_choice(std::uint64_t seed) : random_(seed) {}
  std::optional<route_choice> choose(time_point now, const routing_snapshot& routes,
                                     const request_facts& facts, const in_flight& flights,
                                     tried_replicas tried);
  void observe(time_point, const attempt_result&) {}

 private:
  rng random_;
};

class round_robin {
 public:
  std::optional<route_choice> choose(time_point now, const routing_snapshot& routes,
                                     const request_facts& facts, const in_flight& flights,
                                     tried_replicas tried);
  void observe(time_point, const attempt_result&) {}

 private:
  std::size_t next_ = 0;
};

// Chooses the replica with the lowest reported load; ties are broken at random.
class least_reported_load {
 public:
  explicit least_reported_load(std::uint64_t seed) : random_(seed) {}
  std::optional<route_choice> choose(time_point now, const routing_snapshot& routes,
                                     const request_facts& facts, const in_flight& flights,
                                     tried_replicas tried);
  void observe(time_point, const attempt_result&) {}

 private:
  rng random_;
};

// Power of two choices: of two random replicas, the one with the lower reported load.
class two_choices {
 public:
  explicit two_choices(std::uint64_t seed) : random_(seed) {}
  std::optional<route_choice> choose(time_point now, const routing_snapshot& routes,
                                     const request_facts& facts, const in_flight& flights,
                                     tried_replicas tried);
  void observe(time_point, const attempt_result&) {}

 private:
  rng random_;
};

}  // namespace arbutus
