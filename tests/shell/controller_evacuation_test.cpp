// Tests replica controllers while a data centre is evacuated, in virtual time.
#include <gtest/gtest.h>

#include "controller_simulation.h"

namespace arbutus::testing_support {
namespace {

// Two data centres, each with a controller.
class two_data_centres : public controller_simulation {
 public:
  two_data_centres(std::uint64_t seed, int engines_of_a, int engines_of_b,
                   const service_spec& service = two_models())
      : controller_simulation(seed, 2, service) {
    add_domain("d-a", engines_of_a, "a");
    add_domain("d-b", engines_of_b, "b");
    assign_data_centre(0, "a");
    assign_data_centre(1, "b");
  }
};

// Guards against engines of an evacuated data centre that are loaded or form replicas, and against
// a plan that does not count them again once the evacuation is lifted.
TEST(ControllerEvacuation, EvacuatedEnginesGetNoOrdersUntilItIsLifted) {
  two_data_centres sim(1, 9, 9);
  sim.set_evacuated("a", true);
  sim.run(40s);
  EXPECT_EQ(sim.orders_carried_out_in("a"), 0U);
  EXPECT_GE(sim.count_serving_in("b", large), 1U);
  EXPECT_GE(sim.count_serving_in("b", small), 1U);
  sim.set_evacuated("a", false);
  EXPECT_TRUE(sim.run_until(
      [&] { return sim.count_serving_in("a", large) + sim.count_serving_in("a", small) >= 2; },
      60s));
}

// Guards against replicas that are dissolved or changed since their data centre is evacuated.
TEST(ControllerEvacuation, ReplicasOfAnEvacuatedDataCentreStayFormed) {
  two_data_centres sim(2, 9, 9);
  sim.run(40s);
  sim.start_requests();
  sim.run(1s);
  const std::size_t of_large = sim.count_serving_in("a", large);
  const std::size_t of_small = sim.count_serving_in("a", small);
  ASSERT_GE(of_large + of_small, 2U);
  const std::uint64_t orders = sim.orders_carried_out_in("a");
  sim.set_evacuated("a", true);
  sim.run(60s);
  EXPECT_EQ(sim.count_serving_in("a", large), of_large);
  EXPECT_EQ(sim.count_serving_in("a", small), of_small);
  EXPECT_EQ(sim.orders_carried_out_in("a"), orders);
}

// Guards against a plan that leaves a model to the engines of the evacuated data centre, so that it
// is refused though the other data centre could serve it.
TEST(ControllerEvacuation, ModelOfTheEvacuatedDataCentreIsFormedElsewhere) {
  service_spec service = two_models();
  // With both data centres, one replica of the large model is enough, in the first one.
  service.engine->models = {{large, 4, 0.1038, 1.0, 4s, 1s}, {small, 3, 0.8962, 0.6, 4s, 1s}};
  for (const bool evacuated : {false, true}) {
    two_data_centres sim(3, 9, 9, service);
    sim.set_evacuated("a", evacuated);
    sim.run(40s);
    EXPECT_EQ(sim.count_serving_in("a", large), evacuated ? 0U : 1U);
    EXPECT_EQ(sim.count_serving_in("b", large), evacuated ? 1U : 0U);
    EXPECT_GE(sim.count_serving_in("b", small), 1U);
  }
}

}  // namespace
}  // namespace arbutus::testing_support
