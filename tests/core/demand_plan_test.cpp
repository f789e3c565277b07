// Tests how demand becomes the shares of engine time of the models.
#include "capacity/demand_plan.h"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <numbers>

namespace arbutus {
namespace {

constexpr time_point start{1000s};
const service_id service{"s"};
const model_id fast{"fast"};
const model_id big{"big"};

engine_parameters engine_of_two_models() {
  engine_parameters engine;
  engine.slots = 34;
  engine.step = 6ms;
  engine.step_per_sequence_ms = 0.24;
  engine.decode_steps_per_pass = 5;
  engine.prefill_tokens_per_s = 46'000;
  engine.mean_prompt_tokens = 800;
  engine.mean_answer_tokens = 110;
  engine.models = {{fast, 4, 0.5, 0.6, 14s, 1s}, {big, 8, 0.5, 1.0, 14s, 1s}};
  return engine;
}

demand_rate fast_calls(double per_second) {
  return {per_second, 674 * per_second, 115 * per_second, 0.5};
}

demand_rate big_calls(double per_second) {
  return {per_second, 1600 * per_second, 80 * per_second, 0.5};
}

model_demand calls_per_second(double of_fast, double of_big) {
  model_demand demand;
  if (of_fast > 0) {
    demand[{{service, fast}, 0}] = fast_calls(of_fast);
  }
  if (of_big > 0) {
    demand[{{service, big}, 0}] = big_calls(of_big);
  }
  return demand;
}

// A plan that is updated every 100 ms.
class plan_under_demand {
 public:
  // Runs for this time; returns the number of changes.
  int run(duration length, const std::function<model_demand(time_point)>& demand,
          double heard_nodes = 1) {
    int changes = 0;
    for (const time_point until = now_ + length; now_ < until;) {
      now_ += 100ms;
      changes +=
          plan_.update(now_, engine_, {service, demand(now_), heard_nodes, 150, lost_}) ? 1 : 0;
    }
    return changes;
  }
  int run(duration length, const model_demand& demand, double heard_nodes = 1) {
    return run(
        length, [&](time_point) { return demand; }, heard_nodes);
  }
  [[nodiscard]] double share(std::size_t model) const { return plan_.shares().at(model); }
  // Work of the fast model relative to that of the big one.
  [[nodiscard]] double ratio() const { return share(0) / 4 / (share(1) / 8); }
  [[nodiscard]] time_point now() const { return now_; }
  [[nodiscard]] const demand_plan& plan() const { return plan_; }
  void set_model_lost(bool lost) { lost_ = lost; }
  engine_parameters& engine() { return engine_; }

 private:
  engine_parameters engine_ = engine_of_two_models();
  demand_plan plan_;
  time_point now_ = start;
  bool lost_ = false;
};

TEST(DemandPlan, AReplicaServesWhatItsEngineAndTheObjectiveAllow) {
  const engine_parameters engine = engine_of_two_models();
  const auto rate = [&](std::size_t model, const demand_rate& demand) {
    return replica_service_rate(engine, engine.models[model], demand);
  };
  EXPECT_NEAR(rate(0, fast_calls(350)), 25, 1.5);
  EXPECT_NEAR(rate(1, big_calls(54)), 14, 1);
  // The rate depends on the mix, not on the number of calls.
  EXPECT_DOUBLE_EQ(rate(0, fast_calls(350)), rate(0, fast_calls(3.5)));
  demand_rate strict = fast_calls(350);
  strict.latency_objective_s = 0.06;
  EXPECT_LT(rate(0, strict), 0.8 * rate(0, fast_calls(350)));
  // An objective that no replica can meet must not make the model's work infinite.
  strict.latency_objective_s = 0.001;
  EXPECT_DOUBLE_EQ(rate(0, strict), rate(0, fast_calls(350)));
}

TEST(DemandPlan, StartsFromDeclaredSharesAndTurnsToDemandWithinThreeSeconds) {
  plan_under_demand plan;
  EXPECT_EQ(plan.run(1900ms, calls_per_second(350, 54)), 0);
  EXPECT_DOUBLE_EQ(plan.share(0), 0.5);
  EXPECT_EQ(plan.run(1100ms, calls_per_second(350, 54)), 1);
  EXPECT_NEAR(plan.ratio(), 350 / 25.3 / (54 / 14.3), 0.3);
  EXPECT_NEAR(plan.share(0) + plan.share(1), 1, 1e-9);
  EXPECT_EQ(plan.run(60s, calls_per_second(350, 54)), 0);
}

TEST(DemandPlan, TurnsToADemandThatShiftsWithinThreeSeconds) {
  // Guards against smoothing that follows a shift in several steps, each of which waits for the
  // loads of the step before it.
  plan_under_demand plan;
  plan.run(30s, calls_per_second(250, 140));
  const time_point shifted_at = plan.now();
  const auto counted = [&](time_point now) {  // counted calls follow with a time constant of 1 s
    const double old = std::exp(-to_seconds(now - shifted_at));
    return calls_per_second(250 * old + 450 * (1 - old), 140 * old + 40 * (1 - old));
  };
  EXPECT_EQ(plan.run(3s, counted), 1);
  EXPECT_GT(plan.ratio(), 0.6 * (450 / 25.3 / (40 / 14.3)));
}

TEST(DemandPlan, KeepsItsPlanUnderSmallDifferences) {
  plan_under_demand plan;
  plan.run(30s, calls_per_second(350, 54));
  EXPECT_EQ(plan.run(30s, calls_per_second(350 * 1.09, 54 / 1.09)), 0);
  EXPECT_EQ(plan.run(500ms, calls_per_second(350, 120)), 0);
  EXPECT_EQ(plan.run(30s, calls_per_second(350, 54)), 0);
}

TEST(DemandPlan, StopsFollowingOppositeWaves) {
  // Guards against engines that are moved back and forth with demand that rises and falls faster
  // than engines load.
  for (const double phase : {0.0, 1.5, 3.0, 4.5}) {
    plan_under_demand plan;
    plan.run(30s, calls_per_second(250, 140));
    const auto wave = [&](time_point now) {
      const double turn = 2 * std::numbers::pi * to_seconds(now - start) / 13 + phase;
      return calls_per_second(250 * (1 + 0.5 * std::sin(turn)), 140 * (1 - 0.5 * std::sin(turn)));
    };
    EXPECT_LE(plan.run(30s, wave), 2) << phase;
    EXPECT_EQ(plan.run(300s, wave), 0) << phase;
  }
}

TEST(DemandPlan, WaitsForLoadsUnlessAModelIsLost) {
  plan_under_demand plan;
  EXPECT_EQ(plan.run(4s, calls_per_second(350, 54)), 1);
  // More of the same change may follow after the loads of 14 s.
  EXPECT_EQ(plan.run(11s, calls_per_second(350, 20)), 0);
  plan_under_demand with_loss = plan;
  EXPECT_EQ(plan.run(5s, calls_per_second(350, 20)), 1);
  with_loss.set_model_lost(true);
  EXPECT_EQ(with_loss.run(200ms, calls_per_second(350, 20)), 1);
}

TEST(DemandPlan, AModelWithoutDemandKeepsAMinimum) {
  plan_under_demand plan;
  plan.run(30s, calls_per_second(350, 0));
  EXPECT_NEAR(plan.share(1), 0.125, 0.02);  // a quarter of the declared share
  plan_under_demand small_share;
  small_share.engine().models[0].expected_engine_time_fraction = 0.99;
  small_share.engine().models[1].expected_engine_time_fraction = 0.01;
  small_share.run(30s, calls_per_second(350, 0));
  EXPECT_NEAR(small_share.share(1), 8 / 150.0, 0.006);  // one replica
  // Without any calls the plan in force stays.
  EXPECT_EQ(plan.run(60s, model_demand{}), 0);
  EXPECT_NEAR(plan.share(1), 0.125, 0.02);
}

TEST(DemandPlan, KeepsItsPlanWhilePartitioned) {
  // Guards against a partitioned controller that tears down replicas because it sees only the calls
  // of its own data centre.
  plan_under_demand plan;
  plan.run(30s, calls_per_second(350, 54));
  EXPECT_EQ(plan.run(60s, calls_per_second(20, 54), 0.6), 0);
  EXPECT_EQ(plan.run(1900ms, calls_per_second(20, 54)), 0);
  EXPECT_EQ(plan.run(1s, calls_per_second(20, 54)), 1);
}

TEST(DemandPlan, ControllersWithSlightlyDifferentSumsAgree) {
  plan_under_demand one;
  plan_under_demand other;
  one.run(30s, calls_per_second(350, 54));
  other.run(30s, calls_per_second(345, 54.5));
  EXPECT_EQ(one.plan().shares(), other.plan().shares());
}

TEST(DemandPlan, ANewConfigurationStartsAgainFromDeclaredShares) {
  plan_under_demand plan;
  plan.run(30s, calls_per_second(350, 54));
  plan.engine().step = 7ms;  // does not concern the shares
  plan.run(100ms, calls_per_second(350, 54));
  EXPECT_GT(plan.share(0), 0.6);
  plan.engine().models[0].expected_engine_time_fraction = 0.4;
  plan.run(100ms, calls_per_second(350, 54));
  EXPECT_DOUBLE_EQ(plan.share(0), 0.4);
}

}  // namespace
}  // namespace arbutus
