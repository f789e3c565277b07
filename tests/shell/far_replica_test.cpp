// Replicas across fabric domains and data centres, with controllers that own some members each.
#include <gtest/gtest.h>

#include "keeper_world.h"

namespace arbutus::testing_support {
namespace {

constexpr std::size_t halls = 5;
constexpr int engines_of_hall = 13;
constexpr std::uint32_t large_size = 16;

// A service with a model that is too large for any data centre, and a small model.
service_shape one_too_large() {
  service_shape service = two_models();
  service.engine->models = {{large, large_size, 0.5, 1.0, 4s, 1s}, {small, 4, 0.5, 0.6, 4s, 1s}};
  service.engine->cross_domain_factor = 2.5;
  service.engine->loads_at_once = 12;
  return service;
}

class five_halls : public keeper_world {
 public:
  explicit five_halls(std::uint64_t seed) : keeper_world(seed, halls, one_too_large()) {
    for (std::size_t i = 0; i < halls; ++i) {
      const std::string hall(1, static_cast<char>('a' + i));
      add_domain("d-" + hall, engines_of_hall, hall);
      keep(i, hall);
    }
  }
};

TEST(FarReplica, AModelThatNoDataCentreCanHoldIsServed) {
  // Five data centres of 13 engines each and a model of size 16: without replicas across data
  // centres, all requests for the model are refused although 65 engines work.
  five_halls world(1);
  EXPECT_TRUE(
      world.run_until([&] { return world.serving(large) >= 1 && world.serving(small) >= 4; }, 40s));
}

TEST(FarReplica, IsFormedAgainAfterTheLossOfAMember) {
  five_halls world(2);
  ASSERT_TRUE(world.run_until([&] { return world.serving(large) >= 1; }, 40s));
  world.run(10s);
  world.requests_begin();
  const std::size_t before = world.serving(large);
  ASSERT_GE(before, 1U);
  world.kill(world.engine(world.head(large)).members().back());
  world.run(100ms);
  EXPECT_LT(world.serving(large), before);
  // It takes 3.6 s until the list drops the engine and 1 s to dissolve the replica and form it again.
  EXPECT_TRUE(world.run_until([&] { return world.serving(large) >= before; }, 6s));
}

TEST(FarReplica, IsFormedAgainAfterTheLossOfItsHead) {
  five_halls world(3);
  ASSERT_TRUE(world.run_until([&] { return world.serving(large) >= 1; }, 40s));
  world.run(10s);
  world.requests_begin();
  world.kill(world.head(large));
  EXPECT_TRUE(world.run_until([&] { return world.serving(large) >= 1; }, 8s));
}

TEST(FarReplica, LostAndLateOrdersOfTwoKeepersDoNoHarm) {
  // The simulation checks after each step that no engine joins another replica while its head
  // serves, and that no head opens before every member was ready in its replica.
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    five_halls world(seed);
    world.run(20s);
    world.requests_begin();
    world.set_faults({.order_lost = 0.1, .order_late = 0.1});
    for (int i = 0; i < 6; ++i) {
      const auto alive = world.living();
      const target_id& victim = alive[world.random().below(alive.size())];
      if (i % 2 == 0) {
        world.kill(victim);
      } else {
        world.restart(victim);
      }
      world.run(2s);
      if (HasFatalFailure()) {
        return;
      }
    }
    world.set_faults({});
    EXPECT_TRUE(world.run_until([&] { return world.serving(large) >= 1; }, 30s)) << seed;
  }
}

TEST(FarReplica, AKeeperThatIsCutOffBreaksNoReplicaOfOthers) {
  five_halls world(4);
  ASSERT_TRUE(world.run_until([&] { return world.serving(large) >= 1; }, 40s));
  world.run(10s);
  world.requests_begin();
  const std::size_t before = world.serving(large);
  for (std::size_t node = 0; node < halls; ++node) {
    world.cut_off(node, true);
    world.run(3s);
    world.cut_off(node, false);
    world.run(3s);
  }
  EXPECT_GE(world.serving(large), before);
}

TEST(FarReplica, SettlesAndThenOrdersNothing) {
  five_halls world(5);
  world.run(60s);
  world.requests_begin();
  world.run(10s);
  const std::size_t before = world.orders_sent();
  world.run(10s);
  EXPECT_EQ(world.orders_sent(), before);
}

}  // namespace
}  // namespace arbutus::testing_support
