// Replica controllers that divide engines by demand, with stand-in engines in virtual time. The
// simulation checks its invariants after every step.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <numbers>
#include <vector>

#include "controller_simulation.h"

namespace arbutus::testing_support {
namespace {

// Calls per second of both models. A replica of `large` serves some 14 of these, one of `small`
// some 25.
model_demand calls_per_second(double of_large, double of_small) {
  return {{{{llm, large}, 0}, {of_large, 1600 * of_large, 80 * of_large, 0.5}},
          {{{llm, small}, 0}, {of_small, 674 * of_small, 115 * of_small, 0.5}}};
}

// Four domains under equal use of both models.
void start_under_demand(controller_simulation& sim) {
  for (const char* domain : {"d0", "d1", "d2", "d3"}) {
    sim.add_domain(domain, 12);
  }
  sim.run(40s);
  sim.start_requests();
  sim.set_demand(calls_per_second(70, 125));
  sim.run(30s);
}

std::map<fabric_domain_id, std::vector<target_id>> heads_by_domain(const controller_simulation& sim,
                                                                   const model_id& model) {
  std::map<fabric_domain_id, std::vector<target_id>> result;
  for (const target_id& head : sim.serving_heads(model)) {
    result[sim.engine(head).record().domain].push_back(head);
  }
  return result;
}

// Runs a shift of demand while each replica of `large` answers for `answer_time`. Once the first
// replica is closed, the others follow within `max_time`.
void expect_to_follow_a_shift(duration answer_time, duration max_time) {
  controller_simulation sim(1, 1, two_models_with_times());
  start_under_demand(sim);
  ASSERT_EQ(sim.count_serving_replicas(large), 6U);
  ASSERT_EQ(sim.count_serving_replicas(small), 7U);
  for (const target_id& head : sim.serving_heads(large)) {
    sim.start_answer(head, answer_time);
  }
  sim.set_demand(calls_per_second(28, 200));  // the work of 2 and 8 replicas
  std::size_t fewest_large = 6;
  std::size_t fewest_small = 7;
  const auto follows = [&] {
    fewest_large = std::min(fewest_large, sim.count_serving_replicas(large));
    fewest_small = std::min(fewest_small, sim.count_serving_replicas(small));
    return sim.count_serving_replicas(small) >= 11;
  };
  EXPECT_TRUE(sim.run_until([&] { return sim.controller(0).surplus_closed() > 0; }, 3s));
  EXPECT_TRUE(sim.run_until(follows, max_time));
  for (int i = 0; i < 300; ++i) {
    sim.run(100ms);
    EXPECT_TRUE(follows());
  }
  EXPECT_EQ(fewest_large, 3U);
  EXPECT_EQ(fewest_small, 7U);
  EXPECT_EQ(sim.controller(0).surplus_closed(), 3U);
  EXPECT_EQ(sim.controller(0).demand_changes(), 1U);
  EXPECT_EQ(sim.answers_ended_by_orders(), 0U);
}

TEST(DemandPlanSimulation, ReplicasFollowAShiftWithinALoadAndASecond) {
  // Guards against replicas of one model that are idle while the other model's callers are refused,
  // and against closing more of them than the other model needs.
  expect_to_follow_a_shift(500ms, 5s);
}

TEST(DemandPlanSimulation, EndsNoAnswerOfAReplicaThatIsMoved) {
  // Guards against answers that end because their replica's engines are needed for another model.
  // They run for 0.6 s after the first replica was closed.
  expect_to_follow_a_shift(2500ms, 5900ms);
}

TEST(DemandPlanSimulation, ClosesIdleReplicasFirst) {
  controller_simulation sim(1, 1, two_models_with_times());
  start_under_demand(sim);
  std::map<fabric_domain_id, target_id> idle;
  const auto before = heads_by_domain(sim, large);
  for (const auto& [domain, heads] : before) {
    idle[domain] = heads[heads.size() / 2];
    for (const target_id& head : heads) {
      sim.set_active(head, head == idle[domain] ? 0 : 20);
    }
  }
  sim.set_demand(calls_per_second(28, 200));
  sim.run(5s);
  const auto after = heads_by_domain(sim, large);
  int domains_with_a_choice = 0;
  for (const auto& [domain, heads] : after) {
    if (heads.size() < before.at(domain).size()) {
      ++domains_with_a_choice;
      EXPECT_EQ(std::count(heads.begin(), heads.end(), idle[domain]), 0) << domain;
    }
  }
  EXPECT_GE(domains_with_a_choice, 1);
}

TEST(DemandPlanSimulation, EnginesStayUnderOppositeWaves) {
  // Guards against engines that are moved back and forth.
  controller_simulation sim(1, 1, two_models_with_times());
  start_under_demand(sim);
  const auto run_wave = [&](duration length) {
    for (const time_point until = sim.now() + length; sim.now() < until;) {
      const double wave =
          0.5 * std::sin(2 * std::numbers::pi * to_seconds(sim.now().time_since_epoch()) / 13);
      sim.set_demand(calls_per_second(70 * (1 + wave), 125 * (1 - wave)));
      sim.run(100ms);
    }
  };
  run_wave(40s);
  const std::size_t orders = sim.orders_sent();
  EXPECT_LE(sim.controller(0).demand_changes(), 2U);
  run_wave(120s);
  EXPECT_EQ(sim.orders_sent(), orders);
}

TEST(DemandPlanSimulation, AModelWithoutCallsKeepsAReplica) {
  controller_simulation sim(1, 1, two_models_with_times());
  start_under_demand(sim);
  sim.set_demand(calls_per_second(0, 300));
  for (int i = 0; i < 300; ++i) {
    sim.run(100ms);
    ASSERT_GE(sim.count_serving_replicas(large), 1U) << i * 100 << " ms after";
  }
  EXPECT_LE(sim.count_serving_replicas(large), 3U);
}

TEST(DemandPlanSimulation, KeepsTheOnlyServingReplicasOfAModel) {
  // Guards against closing the last replica of a model because the plan counts on others, which
  // have just lost a member.
  controller_simulation sim(1, 1, two_models_with_times());
  start_under_demand(sim);
  const auto heads = heads_by_domain(sim, large);
  sim.set_demand(calls_per_second(28, 200));
  sim.run(1200ms);
  ASSERT_EQ(sim.controller(0).demand_changes(), 0U);
  for (const auto& [domain, of_domain] : heads) {
    for (const target_id& head : of_domain) {
      if (domain != fabric_domain_id{"d0"}) {
        sim.restart(sim.engine(head).members().back());
      }
    }
  }
  for (int i = 0; i < 200; ++i) {
    sim.run(100ms);
    ASSERT_GE(sim.count_serving_replicas(large), 1U) << i * 100 << " ms after";
  }
}

TEST(DemandPlanSimulation, APartitionedControllerMovesNothing) {
  // Guards against a controller that closes replicas because it sees only its own callers.
  controller_simulation sim(1, 1, two_models_with_times());
  start_under_demand(sim);
  sim.set_heard_nodes(0, 0.6);
  sim.set_demand(calls_per_second(28, 10));
  const std::size_t orders = sim.orders_sent();
  sim.run(30s);
  EXPECT_EQ(sim.orders_sent(), orders);
}

TEST(DemandPlanSimulation, ControllersOfTwoDataCentresMoveTogether) {
  // Guards against two controllers that each close what one of them should, or the last replicas of
  // a model on both sides.
  controller_simulation sim(1, 2, two_models_with_times());
  sim.assign_data_centre(1, "b");
  for (const char* domain : {"d0", "d1"}) {
    sim.add_domain(domain, 12, "a");
  }
  for (const char* domain : {"d2", "d3"}) {
    sim.add_domain(domain, 12, "b");
  }
  sim.run(40s);
  sim.start_requests();
  sim.set_demand(calls_per_second(70, 125));
  sim.run(30s);
  const std::size_t before = sim.count_serving_replicas(large);
  sim.set_demand(calls_per_second(28, 200));
  sim.run(20s);
  const std::size_t closed =
      sim.controller(0).surplus_closed() + sim.controller(1).surplus_closed();
  EXPECT_EQ(sim.count_serving_replicas(large) + closed, before);
  EXPECT_GE(sim.count_serving_replicas(large), 3U);
  EXPECT_GE(sim.count_serving_replicas(small), 10U);
}

TEST(DemandPlanSimulation, ChangesNoModelDuringAShortOutage) {
  // Guards against a loss that is taken for a change by demand, which does not wait.
  controller_simulation sim(1, 1, two_models_with_times());
  start_under_demand(sim);
  sim.set_demand(calls_per_second(28, 200));
  sim.run(20s);
  std::map<target_id, model_id> before;
  std::vector<target_id> dark;
  for (const target_id& id : sim.living_engines()) {
    before[id] = sim.engine(id).record().loaded;
    const fabric_domain_id& domain = sim.engine(id).record().domain;
    if (domain == fabric_domain_id{"d1"} || domain == fabric_domain_id{"d2"}) {
      dark.push_back(id);
    }
  }
  for (const target_id& id : dark) {
    sim.kill(id);
  }
  sim.run(8s);
  for (const target_id& id : sim.living_engines()) {
    EXPECT_EQ(model_of_name(sim.engine(id).record().member_of->replica.name), before[id]) << id;
  }
}

TEST(DemandPlanSimulation, AFleetThatBeganWithEqualSharesTurnsToItsDemand) {
  // Guards against a plan that keeps what is loaded because no domain gains enough by itself.
  service_spec service = two_models_with_times();
  service.engine->models = {{large, 8, 0.5, 1.0, 4s, 1s}, {small, 4, 0.5, 0.6, 4s, 1s}};
  controller_simulation sim(1, 1, service);
  for (int i = 0; i < 8; ++i) {
    sim.add_domain("d" + std::to_string(i), i < 7 ? 19 : 17);
  }
  sim.run(40s);
  sim.start_requests();
  sim.run(10s);
  const std::size_t large_before = sim.count_serving_replicas(large);
  const std::size_t small_before = sim.count_serving_replicas(small);
  sim.set_demand(calls_per_second(54, 350));
  EXPECT_TRUE(
      sim.run_until([&] { return sim.count_serving_replicas(small) >= small_before + 4; }, 8s));
  sim.run(30s);
  // A domain of 19 engines forms two replicas of `large` or four of `small`.
  EXPECT_EQ(sim.count_serving_replicas(large), large_before - 2);
  EXPECT_EQ(sim.controller(0).surplus_closed(), 2U);
}

}  // namespace
}  // namespace arbutus::testing_support
