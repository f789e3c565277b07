// Overload in virtual time: admission and placement by room at 6, 58 and 340 nodes.
#include <gtest/gtest.h>

#include "overload_simulation.h"

namespace arbutus {
namespace {

using simulation = overload_simulation;

double share(std::size_t part, std::size_t of) {
  return static_cast<double>(part) / static_cast<double>(std::max<std::size_t>(of, 1));
}

// Value per second of the requests that arrive in five seconds, the first one after the load rose
// left out.
double value_at(const overload_settings& settings, double times_capacity) {
  simulation s(settings);
  s.run(3s, 0.7);
  s.run(1s, times_capacity);
  const std::size_t phase = s.run(5s, times_capacity);
  s.run(4s, times_capacity);
  return simulation::value_of(s.results(phase)) / 5;
}

class Overload : public testing::TestWithParam<std::size_t> {};

INSTANTIATE_TEST_SUITE_P(Nodes, Overload, testing::Values(6, 58, 340));

// Guards against the collapse in which all nodes send to the few replicas that looked free, and a
// deployment serves less the more is asked of it.
TEST_P(Overload, ServesAsMuchValueAtThreeTimesItsCapacity) {
  const overload_settings settings{.nodes = GetParam()};
  const double at_capacity = value_at(settings, 1);
  for (const double times : {1.5, 2.0, 3.0}) {
    EXPECT_GE(value_at(settings, times), 0.9 * at_capacity) << times;
  }
}

TEST_P(Overload, ServesTheMostUrgentFirst) {
  simulation s({.nodes = GetParam()});
  s.run(3s, 0.7);
  const std::size_t onset = s.run(1s, 2);
  const std::size_t burst = s.run(4s, 2);
  s.run(4s, 2);
  const auto& urgent = s.results(burst)[0];
  EXPECT_GE(share(urgent.timely + urgent.late, urgent.arrived), 0.95);
  EXPECT_GE(share(urgent.timely, urgent.arrived), 0.8);
  EXPECT_GE(share(s.results(onset)[0].timely, s.results(onset)[0].arrived), 0.6);
  // The least urgent ones get what is left, but are not starved.
  const auto& last = s.results(burst)[2];
  EXPECT_GT(last.refused, last.arrived / 4);
  EXPECT_GE(last.timely + last.late, last.arrived / 20);
}

// Guards against refusals that outlast a burst, and against refusals with free slots.
TEST_P(Overload, RecoversWithinASecond) {
  simulation s({.nodes = GetParam()});
  s.run(3s, 0.7);
  s.run(4s, 3);
  s.run(1s, 0.6);
  const std::size_t second = s.run(1s, 0.6);
  const std::size_t after = s.run(3s, 0.6);
  s.run(3s, 0.6);
  for (const overload_result& r : s.results(second)) {
    EXPECT_GE(share(r.timely, r.arrived), 0.9);
  }
  for (const overload_result& r : s.results(after)) {
    EXPECT_EQ(r.refused, 0U);
    EXPECT_GE(share(r.timely, r.arrived), 0.95);
  }
  EXPECT_GE(s.least_taken_at_refusal(), 0.5);
}

TEST_P(Overload, RefusesNothingBelowCapacity) {
  simulation s({.nodes = GetParam()});
  s.run(2s, 0.5);
  const std::size_t phase = s.run(4s, 0.8);
  s.run(3s, 0.8);
  for (const overload_result& r : s.results(phase)) {
    EXPECT_EQ(r.refused, 0U);
    EXPECT_GE(share(r.timely, r.arrived), 0.95);
  }
}

// Jain's index of what workspaces get, as parts of their max-min shares. 1: all the same.
double fairness(std::span<const overload_result> workspaces) {
  std::vector<double> arrived;
  double served = 0;
  double all = 0;
  for (const overload_result& w : workspaces) {
    arrived.push_back(static_cast<double>(w.arrived));
    all += arrived.back();
    served += static_cast<double>(w.timely + w.late);
  }
  const double level = max_min_level(arrived, served / all);
  double sum = 0;
  double squares = 0;
  for (const overload_result& w : workspaces) {
    const double part =
        static_cast<double>(w.timely + w.late) / std::min(static_cast<double>(w.arrived), level);
    sum += part;
    squares += part * part;
  }
  return sum * sum / squares / static_cast<double>(workspaces.size());
}

// Guards against a workspace that takes the places of others by asking for five times as much. Each
// node divides among its own callers, so with few calls a second at a node (340 nodes) there is
// little to divide.
TEST(OverloadShares, WorkspacesOfANodeShareWhatIsAdmitted) {
  for (const auto& [nodes, least] : {std::pair{6, 0.95}, std::pair{58, 0.85}}) {
    simulation s({.nodes = static_cast<std::size_t>(nodes)});
    s.run(3s, 0.7);
    s.run(1s, 2);
    const std::size_t phase = s.run(6s, 2);
    s.run(4s, 2);
    const auto& workspaces = s.workspace_results(phase, 1);
    EXPECT_GT(workspaces.back().refused, workspaces.back().arrived / 3);
    EXPECT_GE(fairness(workspaces), least) << nodes;
  }
}

// The simulation shows the collapse that admission by room prevents.
TEST(OverloadSimulation, PlacementByCostAloneCollapses) {
  const overload_settings settings{.nodes = 58, .admits_by_room = false};
  EXPECT_LT(value_at(settings, 3), 0.8 * value_at(settings, 1));
}

}  // namespace
}  // namespace arbutus
