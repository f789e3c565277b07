// Tests in virtual time that all nodes together send a cold target no more than it bears, and that
// they use most of it.
#include "warming_simulation.h"

#include <gtest/gtest.h>

namespace arbutus {
namespace {

using simulation = testing_support::warming_simulation;

TEST(WarmingSimulation, NodesTogetherStayBelowTheBoundAndUseTheRate) {
  for (const auto& [centres, each, calls] :
       {std::tuple{3, 2, 60.0}, {2, 29, 10.0}, {16, 21, 10.0}}) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      simulation s({.data_centres = static_cast<std::size_t>(centres),
                    .nodes_per_data_centre = static_cast<std::size_t>(each),
                    .calls_per_node = calls,
                    .warmup = 12s,
                    .seed = seed});
      s.run(2s);
      s.start_target("i-1~1");
      s.run(2s);
      const time_point from = s.now();
      s.run(10s);
      const std::string where = std::to_string(centres) + "x" + std::to_string(each);
      EXPECT_LE(s.max_in_a_second(), simulation::allowed) << where;
      EXPECT_GE(s.per_second("i-1~1", from), 0.9 * simulation::cold_per_s) << where;
    }
  }
}

TEST(WarmingSimulation, SeveralTargetsThatStartAtOnceStayBelowTheBound) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    simulation s({.calls_per_node = 30, .seed = seed});
    s.run(2s);
    for (int i = 0; i < 5; ++i) {
      s.start_target("i-" + std::to_string(i) + "~1");
    }
    s.run(4s);
    EXPECT_LE(s.max_in_a_second(), simulation::allowed) << seed;
    EXPECT_GT(s.max_in_a_second(), 0U) << seed;
  }
}

TEST(WarmingSimulation, BoundHoldsWhileHubsEndAndReturn) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    simulation s({.nodes_per_data_centre = 9,
                  .calls_per_node = 40,
                  .heartbeat_loss = 0.1,
                  .warmup = 20s,
                  .seed = seed});
    s.run(2s);
    s.start_target("i-1~1");
    for (std::size_t i = 0; i < 6; ++i) {
      s.set_down(i % 3, true);
      s.run(1700ms);
      s.restart(i % 3);
      s.run(1100ms);
    }
    EXPECT_LE(s.max_in_a_second(), simulation::allowed) << seed;
    EXPECT_GT(s.max_in_a_second(), 0U) << seed;
  }
}

TEST(WarmingSimulation, BoundHoldsWhilePartsOfADataCentreHaveTheirOwnHubs) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    simulation s({.nodes_per_data_centre = 12, .calls_per_node = 40, .warmup = 30s, .seed = seed});
    s.run(2s);
    s.start_target("i-1~1");
    for (const std::size_t parts : {2U, 1U, 3U, 1U, 2U}) {
      s.partition(parts);
      s.run(from_seconds(1.3 + 0.3 * static_cast<double>(seed)));
    }
    EXPECT_LE(s.max_in_a_second(), simulation::allowed) << seed;
    EXPECT_GT(s.max_in_a_second(), 0U) << seed;
  }
}

TEST(WarmingSimulation, PartsOfADataCentreTogetherUseMostOfTheRate) {
  simulation s({.nodes_per_data_centre = 12, .calls_per_node = 40, .warmup = 30s, .seed = 1});
  s.run(2s);
  s.start_target("i-1~1");
  s.partition(2);
  s.run(5s);
  const time_point from = s.now();
  s.run(10s);
  EXPECT_GE(s.per_second("i-1~1", from), 0.8 * simulation::cold_per_s);
}

TEST(WarmingSimulation, SuspendedHubIssuesNothingFromWhatItKnewBefore) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    simulation s({.nodes_per_data_centre = 9, .calls_per_node = 40, .warmup = 30s, .seed = seed});
    s.run(2s);
    s.start_target("i-1~1");
    for (int i = 0; i < 4; ++i) {
      s.run(1900ms);
      s.set_suspended(0, true);
      s.run(from_seconds(0.4 + 0.35 * static_cast<double>(seed)));
      s.set_suspended(0, false);
    }
    s.run(2s);
    EXPECT_LE(s.max_in_a_second(), simulation::allowed) << seed;
  }
}

TEST(WarmingSimulation, BoundHoldsWhenManyHeartbeatsAreLost) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    simulation s({.nodes_per_data_centre = 9,
                  .calls_per_node = 40,
                  .heartbeat_loss = 0.4,
                  .warmup = 12s,
                  .seed = seed});
    s.run(2s);
    s.start_target("i-1~1");
    s.run(12s);
    EXPECT_LE(s.max_in_a_second(), simulation::allowed) << seed;
  }
}

TEST(WarmingSimulation, BoundIsExceededIfEachHubIssuesTheWholeRate) {
  simulation s({.nodes_per_data_centre = 12,
                .calls_per_node = 40,
                .warmup = 12s,
                .shares_by_followers = false,
                .seed = 1});
  s.run(2s);
  s.start_target("i-1~1");
  s.partition(3);
  s.run(8s);
  EXPECT_GT(s.max_in_a_second(), simulation::allowed);
}

}  // namespace
}  // namespace arbutus
