// What all policies for the choice of a replica share, and the simple policies that the default
// one is measured against.
//
// A policy is a value that is asked for a choice and told how attempts went. One rule none may
// bend: a route is used only while it is permitted (`may_use`).
//
// Not thread-safe: under its shard's lock.
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

// Whether new work may go to this route now. To be asked again directly before the send: the
// caller may have been paused since it chose.
[[nodiscard]] bool may_use(time_point now, const replica_route& route);

struct route_choice {
  replica_id replica;
  std::size_t index{};       // in routing_snapshot::replicas
  duration expected_wait{};  // before the request gets a slot there
  duration expected{};       // to the whole answer
  bool last_resort = false;  // all looked bad
};

// How an attempt ended, as this node saw it.
struct attempt_result {
  replica_id replica;
  double cost{};
  duration first_token{};    // from the send; 0: the answer was not streamed
  duration total{};          // from the send
  duration expected_wait{};  // of the choice that led to it
  bool failed = false;       // broken off or refused; the times are not used
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

// Ties are broken at random.
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

// The less loaded (as reported) of two replicas drawn at random.
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
