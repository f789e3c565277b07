// Tests the room of replicas, the admitted fraction of each priority and the choice by room.
#include "admission/replica_room.h"

#include <gtest/gtest.h>

#include <map>

#include "admission/demand_trend.h"
#include "base/rng.h"
#include "overload_simulation.h"

namespace arbutus {
namespace {

constexpr latency_correction correction{100ms, 1};

std::vector<known_replica> replicas(std::size_t count, double active) {
  return std::vector<known_replica>(count, known_replica{{active, 0}});
}

request_class requests(std::uint32_t priority, double per_second, duration objective = 400ms) {
  return {priority, per_second, {1115, 178}, objective};
}

admission_plan plan(std::span<const known_replica> known, std::vector<request_class> classes) {
  return plan_admission(overload_simulation::engine(), overload_simulation::model(), known, classes,
                        correction);
}

TEST(ReplicaRoom, AdmitsEverythingWhileThereIsRoom) {
  admission_plan p = plan(replicas(30, 15), {requests(0, 100), requests(2, 200)});
  EXPECT_EQ(p.find(0)->fraction, 1);
  EXPECT_EQ(p.find(2)->fraction, 1);
  EXPECT_FALSE(p.is_short);
  EXPECT_EQ(p.find(1), nullptr);
}

TEST(ReplicaRoom, NothingIsRefusedWithLessThanHalfOfTheSlotsTaken) {
  EXPECT_EQ(plan(replicas(30, 12), {requests(0, 5000)}).find(0)->fraction, 1);
  EXPECT_LT(plan(replicas(30, 13), {requests(0, 5000)}).find(0)->fraction, 0.5);
}

TEST(ReplicaRoom, TheMostUrgentAreAdmittedFirstAndNoneIsStarved) {
  admission_plan p = plan(replicas(30, 25), {requests(0, 100), requests(1, 400), requests(2, 900)});
  EXPECT_TRUE(p.is_short);
  EXPECT_EQ(p.find(0)->fraction, 1);
  EXPECT_GT(p.find(1)->fraction, 0.1);
  EXPECT_LT(p.find(1)->fraction, 1);
  EXPECT_EQ(p.find(2)->fraction, 0.05);
  double admitted = 0;
  for (const class_admission& c : p.classes) {
    admitted += c.fraction * c.arrivals;
  }
  EXPECT_LE(admitted, p.classes.front().can_take + 1e-6);
}

// Guards against less urgent requests with a lenient objective that fill the replicas until urgent
// ones are late.
TEST(ReplicaRoom, LenientRequestsLeaveTheRoomThatUrgentOnesNeed) {
  std::vector<known_replica> reading(30, known_replica{{24, 20'000}});
  admission_plan alone = plan(reading, {requests(1, 400, 5s)});
  admission_plan beside = plan(reading, {requests(0, 10, 300ms), requests(1, 400, 5s)});
  EXPECT_LT(beside.find(1)->fraction, alone.find(1)->fraction);
}

TEST(ReplicaRoom, ReplicasThatMayNotBeSentRequestsCountForNothing) {
  std::vector<known_replica> known = replicas(10, 22);
  for (std::size_t i = 0; i < 5; ++i) {
    known[i].is_allowed = false;
  }
  admission_plan p = plan(known, {requests(0, 200)});
  EXPECT_EQ(p.slots, 5 * 26);
  EXPECT_EQ(p.find(0)->can_take_by_replica[0], 0);
  EXPECT_GT(p.find(0)->can_take_by_replica[9], 0);
  EXPECT_NEAR(p.find(0)->fraction,
              0.5 * plan(replicas(10, 22), {requests(0, 200)}).find(0)->fraction, 0.01);
}

// Guards against refusals of all requests whose objective no replica meets.
TEST(ReplicaRoom, AnObjectiveThatNoReplicaMeetsLeavesMostSlotsUsable) {
  admission_plan p = plan(replicas(30, 14), {requests(0, 300, 1ms)});
  EXPECT_EQ(p.find(0)->fraction, 1);
}

TEST(ReplicaRoom, WithoutAnObjectiveAllSlotsCount) {
  const double strict = plan(replicas(30, 20), {requests(0, 300, 1ms)}).find(0)->room;
  const double none = plan(replicas(30, 20), {requests(0, 300, 0ms)}).find(0)->room;
  EXPECT_LT(strict, none);
  EXPECT_NEAR(none, 30 * (26 - 20), 30 * 2.5);  // less the margin for unknown requests
}

TEST(ReplicaRoom, NoReplicaOrNoDemandGivesAnEmptyPlan) {
  EXPECT_TRUE(plan({}, {requests(0, 300)}).classes.empty());
  EXPECT_TRUE(plan(replicas(3, 26), {}).classes.empty());
}

// Guards against refused callers that all return at once, or later than they may.
TEST(ReplicaRoom, RetriesAreSpreadUpToAThirdOfTheTimeLeft) {
  const admission_plan p = plan(replicas(30, 26), {requests(0, 1200)});
  EXPECT_EQ(retry_delay(p, 8s, 0), 200ms);
  EXPECT_GT(retry_delay(p, 8s, 0.99), 1s);
  EXPECT_LE(retry_delay(p, 8s, 0.99), 1200ms);
  EXPECT_LE(retry_delay(p, 3s, 0.99), 1s);
  EXPECT_EQ(retry_delay(p, 300ms, 0.99), 100ms);
}

// Guards against a herd on the replicas that look best: the expected sends fit their room.
TEST(ReplicaRoom, TheChoiceFollowsTheRoom) {
  std::vector<serving_replica> two(2);
  two[0].head = target_id{"free"};
  two[1].head = target_id{"full"};
  load_table loads;
  const std::vector<double> can_take = {6, 3};
  choice_request request;
  request.size = {1000, 100};
  request.time_left = 5s;
  request.can_take = can_take;
  rng random(1);
  std::map<std::size_t, int> chosen;
  for (int i = 0; i < 900; ++i) {
    request.random_sample = random.unit();
    ++chosen[std::get<chosen_replica>(choose_replica(overload_simulation::engine(),
                                                     overload_simulation::model(), two, loads,
                                                     request))
                 .index];
  }
  EXPECT_NEAR(chosen[0], 600, 60);
  // Suspected replicas are chosen only if there is no other.
  const std::vector<target_id> suspected = {target_id{"free"}};
  request.suspected_heads = suspected;
  for (int i = 0; i < 100; ++i) {
    request.random_sample = random.unit();
    const auto choice = choose_replica(overload_simulation::engine(), overload_simulation::model(),
                                       two, loads, request);
    EXPECT_EQ(std::get<chosen_replica>(choice).index, 1U);
  }
}

// Guards against a second of over-admission at the beginning of a burst.
TEST(DemandTrend, KnowsABurstAfterAnIntervalOfTheSlope) {
  const demand_key key{{service_id{"s"}, model_id{"m"}}, 0};
  demand_table table;
  demand_trend trend;
  time_point now{1000s};
  const auto run = [&](duration time, duration gap) {
    for (const time_point end = now + time; now < end; now += gap) {
      table.count_call(now, key, {600, 100}, 250ms);
      if (trend.is_due(now)) {
        trend.update(now, table.all(now));
      }
    }
    return trend.current().at(key).calls_per_second;
  };
  EXPECT_NEAR(run(5s, 5ms), 200, 10);
  EXPECT_NEAR(run(400ms, 2500us), 400, 40);
  EXPECT_NEAR(run(3s, 2500us), 400, 20);
  EXPECT_NEAR(run(400ms, 5ms), 200, 40);
}

}  // namespace
}  // namespace arbutus
