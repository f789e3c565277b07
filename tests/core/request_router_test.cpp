// Tests routing of requests to replicas: permission, estimated times, and a comparison of the
// policies under load.
#include <gtest/gtest.h>

#include <map>

#include "request/policy_bench.h"
#include "request/prefix_hash.h"
#include "request/router.h"

namespace arbutus {
namespace {

const time_point now = time_point{} + 1h;
const model_id model("m");

static_assert(routing_policy<expected_completion>);
static_assert(routing_policy<least_reported_load>);
static_assert(routing_policy<two_choices>);
static_assert(routing_policy<round_robin>);
static_assert(routing_policy<random_choice>);

replica_route route(const std::string& id, std::uint32_t running = 0) {
  replica_route r;
  r.id = replica_id(id);
  r.model = model;
  r.valid_until = now + 1s;
  r.slots = 4;
  r.running = running;
  r.load_reported_at = now - 100ms;
  r.serving_since = now - 30min;
  return r;
}

request_facts request(const std::string& id = "q") {
  request_facts f;
  f.id = request_id(id);
  f.model = model;
  return f;
}

std::map<std::string, int> count_choices(expected_completion& policy,
                                         const routing_snapshot& routes, int times = 200) {
  std::map<std::string, int> counts;
  for (int i = 0; i < times; ++i) {
    const auto choice = policy.choose(now, routes, request(), {}, {});
    ++counts[choice ? choice->replica.str() : "none"];
  }
  return counts;
}

template <class P>
void expect_permission_is_kept(P policy) {
  routing_snapshot routes;
  routes.replicas = {route("a"), route("b"), route("c"), route("d")};
  routes.replicas[0].valid_until = now;
  routes.replicas[1].draining = true;
  routes.replicas[2].model = model_id("other");
  const replica_id only("d");
  for (int i = 0; i < 100; ++i) {
    const auto choice = policy.choose(now, routes, request(), {}, {});
    ASSERT_TRUE(choice);
    ASSERT_EQ(choice->replica, only);
  }
  // If there is only one replica, it is chosen again after a failed attempt, but never after the
  // permission to route to it has expired.
  ASSERT_TRUE(policy.choose(now, routes, request(), {}, tried_replicas(&only, 1)));
  routes.replicas[3].valid_until = now - 1us;
  EXPECT_FALSE(policy.choose(now, routes, request(), {}, {}));
}

// Guards against sending requests to a replica that lost a member: after a pause, the node's
// observations are stale, and the age of the snapshot is not checked.
TEST(Router, NeverUsesWhatIsNotPermitted) {
  expect_permission_is_kept(random_choice(1));
  expect_permission_is_kept(round_robin());
  expect_permission_is_kept(least_reported_load(1));
  expect_permission_is_kept(two_choices(1));
  expect_permission_is_kept(expected_completion(1));
}

TEST(Router, PrefersUntried) {
  routing_snapshot routes;
  routes.replicas = {route("a", 4), route("b", 0)};
  expected_completion policy(1);
  const replica_id tried("b");
  const auto choice = policy.choose(now, routes, request(), {}, tried_replicas(&tried, 1));
  EXPECT_EQ(choice->replica.str(), "a");
  EXPECT_FALSE(choice->last_resort);
}

// Guards against all nodes sending requests to the replica that was idle at the last report.
TEST(Router, OwnSendsCorrectTheReport) {
  routing_snapshot routes;
  routes.replicas = {route("a", 0), route("b", 2)};
  routes.replicas[0].slots = routes.replicas[1].slots = 1;
  in_flight flights;
  expected_completion policy(1);
  EXPECT_EQ(policy.choose(now, routes, request(), flights, {})->replica.str(), "a");
  for (int i = 0; i < 4; ++i) {
    flights.sent(now, request_id(std::to_string(i)), replica_id("a"), 1);
  }
  EXPECT_EQ(policy.choose(now, routes, request(), flights, {})->replica.str(), "b");
}

void learn(expected_completion& policy, const std::string& id, duration total) {
  for (int i = 0; i < 50; ++i) {
    policy.observe(now, {replica_id(id), 1.0, 10ms, total, 0us, false});
  }
}

TEST(Router, AvoidsStragglersButNeverAll) {
  routing_snapshot routes;
  expected_completion policy(1);
  for (int i = 0; i < 8; ++i) {
    const std::string id = "r" + std::to_string(i);
    routes.replicas.push_back(route(id));
    learn(policy, id, i < 4 ? 10s : 1s);
  }
  for (replica_route& r : routes.replicas) {
    r.running = r.id.str() < "r4" ? 0 : 8;  // the fast replicas have a queue
  }
  const auto counts = count_choices(policy, routes);
  for (const auto& [id, count] : counts) {
    EXPECT_NE(id, "none");
  }
  expected_completion all_slow(1);
  for (const replica_route& r : routes.replicas) {
    learn(all_slow, r.id.str(), 10s);
    all_slow.observe(now, {r.id, 1.0, 0us, 0us, 0us, true});
  }
  EXPECT_EQ(count_choices(all_slow, routes).count("none"), 0U);
}

// Guards against a recovered straggler staying unused, and against probes keeping a slow one full.
TEST(Router, ProbesAnIdleStragglerNowAndThen) {
  routing_snapshot routes;
  expected_completion policy(1);
  for (const char* id : {"a", "b", "c", "d"}) {
    routes.replicas.push_back(route(id));
    learn(policy, id, std::string(id) == "a" ? 10s : 1s);
  }
  EXPECT_EQ(count_choices(policy, routes)["a"], 1);
  routes.replicas[0].running = 1;
  routes.replicas[0].valid_until = now + 1h;
  const auto later = policy.choose(now + 500ms, routes, request(), {}, {});
  EXPECT_NE(later->replica.str(), "a");
  request_facts once = request();
  once.repeatable = false;
  routes.replicas[0].running = 0;
  expected_completion fresh(1);
  for (const char* id : {"a", "b", "c", "d"}) {
    learn(fresh, id, std::string(id) == "a" ? 10s : 1s);
  }
  EXPECT_NE(fresh.choose(now, routes, once, {}, {})->replica.str(), "a");
}

// Guards against a repaired replica getting no requests because its speed was observed on another
// VM.
TEST(Router, ForgetsTheSpeedOfAPreviousComposition) {
  routing_snapshot routes;
  routes.replicas = {route("a"), route("b", 3), route("c", 3)};
  expected_completion policy(1);
  learn(policy, "a", 10s);
  learn(policy, "b", 1s);
  learn(policy, "c", 1s);
  EXPECT_LE(count_choices(policy, routes)["a"], 1);
  policy.forget(replica_id("a"));
  routes.replicas[1].running = routes.replicas[2].running = 8;
  EXPECT_EQ(count_choices(policy, routes)["a"], 200);
}

TEST(Router, AvoidsWhatJustFailed) {
  routing_snapshot routes;
  routes.replicas = {route("a"), route("b", 3)};
  expected_completion policy(1);
  policy.observe(now, {replica_id("a"), 1.0, 0us, 0us, 0us, true});
  EXPECT_EQ(count_choices(policy, routes)["b"], 200);
}

TEST(Router, SlowStartAfterRepair) {
  routing_snapshot routes;
  routes.replicas = {route("a", 2), route("b", 2)};
  routes.replicas[0].serving_since = now - 1s;
  expected_completion policy(1);
  EXPECT_EQ(count_choices(policy, routes)["b"], 200);
}

TEST(Router, CrossDomainReplicasAreUsedLast) {
  routing_snapshot routes;
  routes.replicas = {route("a"), route("b", 3)};
  routes.replicas[0].crosses_fabric_domains = true;
  expected_completion policy(1);
  learn(policy, "a", 100ms);
  learn(policy, "b", 1s);
  EXPECT_EQ(count_choices(policy, routes)["b"], 200) << "although the other would be faster";
  routes.replicas[1].running = 40;
  EXPECT_EQ(count_choices(policy, routes)["a"], 200) << "when no other has a free slot";
}

TEST(Router, PrefixAffinityIsBoundedByLoad) {
  routing_snapshot routes;
  routes.replicas = {route("a"), route("b"), route("c")};
  expected_completion policy(1);
  request_facts f = request();
  f.prefix = hash_prefix(std::string(8192, 'x'));
  ASSERT_EQ(f.prefix.size(), 32U);
  policy.sent(now, replica_id("b"), f);
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(policy.choose(now, routes, f, {}, {})->replica.str(), "b");
  }
  // Three of this replica's four slots are in use and the other replicas are idle: requests would
  // not wait yet, but the replica has more than its share of the load.
  routes.replicas[1].running = 3;
  int to_warm = 0;
  for (int i = 0; i < 300; ++i) {
    to_warm += policy.choose(now, routes, f, {}, {})->replica.str() == "b" ? 1 : 0;
  }
  EXPECT_LT(to_warm, 150);
  routes.replicas[1].running = 4;
  EXPECT_NE(policy.choose(now, routes, f, {}, {})->replica.str(), "b");
}

TEST(InFlight, CountsAttemptsOnce) {
  in_flight flights;
  const replica_id a("a");
  flights.sent(now, request_id("1"), a, 1);
  flights.sent(now + 1s, request_id("2"), a, 1);
  EXPECT_EQ(flights.count(a), 2U);
  EXPECT_EQ(flights.sent_since(a, now), 1U);
  EXPECT_TRUE(flights.ended(now + 2s, request_id("1"), a));
  EXPECT_FALSE(flights.ended(now + 2s, request_id("1"), a));
  EXPECT_EQ(flights.ended_since(a, now + 1s), 1U);
  EXPECT_EQ(flights.total(), 1U);
  EXPECT_EQ(flights.sent_since(replica_id("b"), now), 0U);
  flights.forget(a);
  EXPECT_EQ(flights.count(a), 1U) << "an attempt is open";
  EXPECT_TRUE(flights.ended(now + 2s, request_id("2"), a));
  flights.forget(a);
  EXPECT_EQ(flights.sent_since(a, now - 1s), 0U);
}

TEST(Spill, UsableSlotsAreDividedAndCorrected) {
  routing_snapshot routes;
  routes.replicas = {route("a", 1), route("b", 4), route("c")};
  routes.replicas[2].draining = true;
  in_flight flights;
  EXPECT_EQ(usable_slots(now, routes, model, flights, 1).free_slots, 3U);
  EXPECT_EQ(usable_slots(now, routes, model, flights, 2).free_slots, 2U);
  flights.sent(now, request_id("1"), replica_id("a"), 1);
  EXPECT_EQ(usable_slots(now, routes, model, flights, 1).free_slots, 2U);
  EXPECT_EQ(usable_slots(now, routes, model, flights, 1).slots, 8U);
  EXPECT_EQ(usable_slots(now + 1s, routes, model, flights, 1).slots, 0U);
}

TEST(Spill, GoesElsewhereOnlyForAGain) {
  routing_snapshot routes;
  routes.remote_capacities = {{data_centre_id("near"), model, 0, 2s, now, {{"10.0.0.1", 80}}},
                              {data_centre_id("far"), model, 3, 0us, now, {{"10.0.1.1", 80}}}};
  const std::vector<data_centre_distance> distances = {{data_centre_id("near"), 5ms},
                                                       {data_centre_id("far"), 80ms}};
  const auto spill = [&](std::optional<duration> local, bool already = false) {
    const auto to = choose_spill(now, routes, request(), local, distances, already);
    return to ? to->data_centre.str() : "here";
  };
  EXPECT_EQ(spill(10ms), "here");
  EXPECT_EQ(spill(5s), "far");
  EXPECT_EQ(spill(std::nullopt), "far");
  EXPECT_EQ(spill(5s, true), "here") << "a request is passed on once";
  routes.remote_capacities[1].at = now - 1min;
  EXPECT_EQ(spill(2s), "here");
  EXPECT_EQ(spill(5s), "near");
  routes.remote_capacities[0].caller_endpoints.clear();
  EXPECT_EQ(spill(std::nullopt), "here");
}

// ---- under load ----

// Guards against a p99 of the time to first token of seconds while most replicas are idle. With one
// straggler, delayed reports and a few common prompts, choosing by reports alone makes all nodes
// send to the same replica.
TEST(RouterLoad, FirstTokenTailIsHalfOfTheBaselines) {
  for (const duration lag : {duration(0ms), duration(500ms), duration(2s)}) {
    routing_load load;
    load.load_report_lag = lag;
    load.length = 120s;
    const double ours = run_routing(policy_kind::expected_completion, load, 11).p99_first_token;
    const double random = run_routing(policy_kind::random_choice, load, 11).p99_first_token;
    const double least = run_routing(policy_kind::least_reported_load, load, 11).p99_first_token;
    const double two = run_routing(policy_kind::two_choices, load, 11).p99_first_token;
    EXPECT_LT(ours, 0.5 * std::min(random, least)) << to_seconds(lag);
    EXPECT_LT(ours, two) << to_seconds(lag);
  }
}

TEST(RouterLoad, WarmCachesAreFound) {
  routing_load load;
  load.length = 120s;
  const double ours = run_routing(policy_kind::expected_completion, load, 5).cache_hits;
  const double two = run_routing(policy_kind::two_choices, load, 5).cache_hits;
  EXPECT_GT(ours, two + 0.15);
}

TEST(PolicyBench, SameSeedSameDecisions) {
  routing_load load;
  load.length = 30s;
  const auto sign = [&](std::uint64_t seed) {
    return run_routing(policy_kind::expected_completion, load, seed).signature;
  };
  EXPECT_EQ(sign(1), sign(1));
  EXPECT_NE(sign(1), sign(2));
}

}  // namespace
}  // namespace arbutus
