// Tests replicas whose members are in several fabric domains or data centres, and whose replica
// controllers each manage only some of the members.
#include <gtest/gtest.h>

#include "controller_simulation.h"

namespace arbutus::testing_support {
namespace {

constexpr std::size_t data_centre_count = 5;
constexpr int engines_per_data_centre = 13;
constexpr std::uint32_t large_size = 16;

// A service with a model that is too large for any data centre, and a small model.
service_spec model_larger_than_data_centre() {
  service_spec service = two_models();
  service.engine->models = {{large, large_size, 0.5, 1.0, 4s, 1s}, {small, 4, 0.5, 0.6, 4s, 1s}};
  service.engine->cross_domain_slowdown_factor = 2.5;
  service.engine->concurrent_loads = 12;
  return service;
}

class five_data_centres : public controller_simulation {
 public:
  explicit five_data_centres(std::uint64_t seed)
      : controller_simulation(seed, data_centre_count, model_larger_than_data_centre()) {
    for (std::size_t i = 0; i < data_centre_count; ++i) {
      const std::string data_centre(1, static_cast<char>('a' + i));
      add_domain("d-" + data_centre, engines_per_data_centre, data_centre);
      assign_data_centre(i, data_centre);
    }
  }
};

TEST(CrossDomainReplica, ServesAModelLargerThanAnyDataCentre) {
  // Five data centres of 13 engines each and a model of size 16: without replicas across data
  // centres, all requests for the model are refused although 65 engines work.
  five_data_centres sim(1);
  EXPECT_TRUE(sim.run_until(
      [&] {
        return sim.count_serving_replicas(large) >= 1 && sim.count_serving_replicas(small) >= 4;
      },
      40s));
}

TEST(CrossDomainReplica, IsFormedAgainAfterTheLossOfAMember) {
  five_data_centres sim(2);
  ASSERT_TRUE(sim.run_until([&] { return sim.count_serving_replicas(large) >= 1; }, 40s));
  sim.run(10s);
  sim.start_requests();
  const std::size_t before = sim.count_serving_replicas(large);
  ASSERT_GE(before, 1U);
  sim.kill(sim.engine(sim.any_serving_head(large)).members().back());
  sim.run(100ms);
  EXPECT_LT(sim.count_serving_replicas(large), before);
  // After an engine died, it takes 3.6 s until the list of targets drops it and 1 s to dissolve the
  // replica and form it again.
  EXPECT_TRUE(sim.run_until([&] { return sim.count_serving_replicas(large) >= before; }, 6s));
}

TEST(CrossDomainReplica, IsFormedAgainAfterTheLossOfItsHead) {
  five_data_centres sim(3);
  ASSERT_TRUE(sim.run_until([&] { return sim.count_serving_replicas(large) >= 1; }, 40s));
  sim.run(10s);
  sim.start_requests();
  sim.kill(sim.any_serving_head(large));
  EXPECT_TRUE(sim.run_until([&] { return sim.count_serving_replicas(large) >= 1; }, 8s));
}

TEST(CrossDomainReplica, LostAndLateOrdersOfTwoControllersAreHarmless) {
  // The simulation checks after each step that no engine joins another replica while its head
  // serves, and that no head opens before every member was ready in its replica.
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    five_data_centres sim(seed);
    sim.run(20s);
    sim.start_requests();
    sim.set_faults({.order_lost = 0.1, .order_late = 0.1});
    for (int i = 0; i < 6; ++i) {
      const auto alive = sim.living_engines();
      const target_id& victim = alive[sim.random().below(alive.size())];
      if (i % 2 == 0) {
        sim.kill(victim);
      } else {
        sim.restart(victim);
      }
      sim.run(2s);
      if (HasFatalFailure()) {
        return;
      }
    }
    sim.set_faults({});
    EXPECT_TRUE(sim.run_until([&] { return sim.count_serving_replicas(large) >= 1; }, 30s)) << seed;
  }
}

TEST(CrossDomainReplica, PartitionedControllerBreaksNoReplicaOfOthers) {
  five_data_centres sim(4);
  ASSERT_TRUE(sim.run_until([&] { return sim.count_serving_replicas(large) >= 1; }, 40s));
  sim.run(10s);
  sim.start_requests();
  const std::size_t before = sim.count_serving_replicas(large);
  for (std::size_t node = 0; node < data_centre_count; ++node) {
    sim.set_partitioned(node, true);
    sim.run(3s);
    sim.set_partitioned(node, false);
    sim.run(3s);
  }
  EXPECT_GE(sim.count_serving_replicas(large), before);
}

TEST(CrossDomainReplica, SendsNoOrdersOnceStable) {
  five_data_centres sim(5);
  sim.run(60s);
  sim.start_requests();
  sim.run(10s);
  const std::size_t before = sim.orders_sent();
  sim.run(10s);
  EXPECT_EQ(sim.orders_sent(), before);
}

}  // namespace
}  // namespace arbutus::testing_support
