// Replica controllers with stand-in engines in virtual time. The simulation checks its invariants
// after every step.
#include <gtest/gtest.h>

#include "controller_simulation.h"

namespace arbutus::testing_support {
namespace {

TEST(ReplicaController, FormsReplicasOfBothModels) {
  controller_simulation sim(1);
  sim.add_domain("d0", 9);
  sim.add_domain("d1", 9);
  EXPECT_TRUE(sim.run_until(
      [&] {
        return sim.count_serving_replicas(large) >= 2 && sim.count_serving_replicas(small) >= 2;
      },
      40s));
}

TEST(ReplicaController, RepairsWithASpareWithinASecond) {
  // Guards against a replica that is down for the load of a model after it lost a member, because
  // spares were not prepared or the remaining members were not reused. A domain of ten engines has
  // two or three replicas and a spare.
  controller_simulation sim(2);
  for (const char* domain : {"d0", "d1", "d2", "d3"}) {
    sim.add_domain(domain, 10);
  }
  sim.run(40s);
  sim.start_requests();
  sim.run(1s);
  const target_id head = sim.head_with_spare();
  ASSERT_FALSE(head.empty()) << "no domain has a spare";
  const model_id model = model_of_name(sim.engine(head).record().member_of->replica.name);
  const std::size_t before = sim.count_serving_replicas(model);
  sim.kill(sim.engine(head).members().back());
  sim.run(100ms);
  EXPECT_LT(sim.count_serving_replicas(model), before);
  // The list drops the dead engine after 3.6 s; the repair itself takes under 1.2 s.
  EXPECT_TRUE(sim.run_until([&] { return sim.count_serving_replicas(model) >= before; }, 4800ms));
}

TEST(ReplicaController, FormsReplicasOnceWhenAnAddressIsReused) {
  // Guards against replicas that are dissolved and formed again once per second: engines end,
  // others start at their addresses under new names and answer probes of the ended ones, so that
  // their replicas seem to have a surplus member.
  controller_simulation sim(7);
  for (const char* domain : {"d0", "d1"}) {
    sim.add_domain(domain, 10);
  }
  sim.run(40s);
  sim.start_requests();
  sim.run(1s);
  for (const model_id& model : {large, small}) {
    for (const target_id& head : sim.serving_heads(model)) {
      sim.replace_engine(sim.engine(head).members().back());
    }
  }
  sim.run(12s);
  const std::size_t serving = sim.count_serving_replicas(large) + sim.count_serving_replicas(small);
  const std::size_t orders = sim.orders_sent();
  sim.run(5s);
  EXPECT_EQ(sim.count_serving_replicas(large) + sim.count_serving_replicas(small), serving);
  EXPECT_EQ(sim.orders_sent(), orders);
}

TEST(ReplicaController, KeepsReplicasWithUnlistedMembers) {
  // Guards against losing nearly all replicas within a second: a fifth of the engines lose their
  // connection to the list, which drops them after three heartbeats although they still work. Every
  // replica has such a member.
  controller_simulation sim(5);
  sim.add_domain("d0", 8);
  sim.add_domain("d1", 8);
  sim.run(40s);
  sim.start_requests();
  sim.run(1s);
  const std::size_t before = sim.count_serving_replicas(large) + sim.count_serving_replicas(small);
  ASSERT_GE(before, 4U);
  std::size_t dropped = 0;
  for (const model_id& model : {large, small}) {
    for (const target_id& head : sim.serving_heads(model)) {
      sim.unlist_engine(sim.engine(head).members().back());
      ++dropped;
    }
  }
  sim.run(5s);
  // Where a spare is ready, it may replace the member that the list dropped.
  EXPECT_GE(sim.count_serving_replicas(large) + sim.count_serving_replicas(small), before);
  EXPECT_GE(dropped, 4U);
}

TEST(ReplicaController, DissolvesNoReplicaWhenManyMembersAreUnlisted) {
  // Guards against using up spares for members that still work, with replicas down meanwhile: the
  // list drops a member of each replica simultaneously, and each is replaced independently.
  controller_simulation sim(6);
  for (const char* domain : {"d0", "d1", "d2"}) {
    sim.add_domain(domain, 10);
  }
  sim.run(40s);
  sim.start_requests();
  sim.run(1s);
  const std::size_t before = sim.count_serving_replicas(large) + sim.count_serving_replicas(small);
  ASSERT_FALSE(sim.head_with_spare().empty());
  for (const model_id& model : {large, small}) {
    for (const target_id& head : sim.serving_heads(model)) {
      sim.unlist_engine(sim.engine(head).members().back());
    }
  }
  for (int i = 0; i < 50; ++i) {
    sim.run(100ms);
    ASSERT_GE(sim.count_serving_replicas(large) + sim.count_serving_replicas(small), before)
        << "after " << i << " x 100 ms";
  }
}

TEST(ReplicaController, ReusesMembersOfALostHead) {
  // Guards against engines that stay unused after their head died: members may join another replica
  // only after they left the old one, so they have to be ordered to leave.
  controller_simulation sim(3);
  sim.add_domain("d0", 9);
  sim.add_domain("d1", 9);
  ASSERT_TRUE(sim.run_until([&] { return sim.count_serving_replicas(small) >= 2; }, 60s));
  sim.start_requests();
  sim.run(20s);
  const std::size_t before = sim.count_serving_replicas(small);
  const target_id head = sim.any_serving_head(small);
  const std::vector<target_id> members = sim.engine(head).members();
  sim.kill(head);
  EXPECT_TRUE(sim.run_until(
      [&] {
        const auto& member_of = sim.engine(members.back()).record().member_of;
        return member_of && head_of(member_of->replica.name) != head;
      },
      8s));
  EXPECT_GE(sim.count_serving_replicas(small) + 1, before);
}

TEST(ReplicaController, ClosesAReplicaWithADrainingMember) {
  // Guards against aborted requests when an engine stops: its replica must not go on serving with
  // it.
  controller_simulation sim(4);
  sim.add_domain("d0", 9);
  ASSERT_TRUE(sim.run_until(
      [&] { return sim.count_serving_replicas(large) + sim.count_serving_replicas(small) >= 2; },
      60s));
  sim.run(5s);
  const target_id head = sim.count_serving_replicas(large) > 0 ? sim.any_serving_head(large)
                                                               : sim.any_serving_head(small);
  const target_id leaving = sim.engine(head).members().back();
  const replica_key key = sim.engine(head).record().member_of->replica;
  sim.drain(leaving);
  EXPECT_TRUE(sim.run_until(
      [&] {
        const auto& member_of = sim.engine(head).record().member_of;
        return !member_of || member_of->replica != key || member_of->state != member_state::open;
      },
      1s));
}

TEST(ReplicaController, StaleControllerTakesNoEngineOfAServingReplica) {
  // Guards against an engine that joins a replica while the head of its own one serves. A
  // controller loses the list and goes on with its old view while another one forms a replica
  // again. The stale one orders the head out of the old replica, gets the answer that it has
  // already left, and considers its members free. This happens if the count of orders is guessed
  // instead of read together with the engine's state.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    controller_simulation sim(seed, 2);
    sim.add_domain("d0", 9);
    sim.add_domain("d1", 8);
    sim.run(25s);
    sim.start_requests();
    sim.block_list_updates(1, true);
    for (int i = 0; i < 4; ++i) {
      const auto living_engines = sim.living_engines();
      sim.kill(living_engines[sim.random().below(living_engines.size())]);
      sim.run(2s);
    }
    sim.block_list_updates(1, false);
    sim.run(10s);
    ASSERT_FALSE(HasFailure()) << "seed " << seed;
    EXPECT_GE(sim.count_serving_replicas(large) + sim.count_serving_replicas(small), 2U)
        << "seed " << seed;
  }
}

TEST(ReplicaController, LateAndLostOrdersAreHarmless) {
  // Guards against engines that leave or join seconds after an order was abandoned, which happens
  // if orders do not name the state that they are based on. A third of the orders are carried out
  // up to 6 s later without an answer, a tenth lose their answer, engines die and start, and two
  // controllers order the same engines.
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    controller_simulation sim(seed, 2);
    sim.add_domain("d0", 9);
    sim.add_domain("d1", 9);
    sim.run(15s);
    sim.start_requests();
    sim.set_faults({.order_lost = 0.1, .order_late = 0.3});
    for (int i = 0; i < 5; ++i) {
      const auto living_engines = sim.living_engines();
      sim.kill(living_engines[sim.random().below(living_engines.size())]);
      sim.add_engine(sim.random().below(2) == 0 ? "d0" : "d1");
      sim.run(2s);
    }
    sim.set_faults({});
    sim.run(20s);
    ASSERT_FALSE(HasFailure()) << "seed " << seed;
    EXPECT_GE(sim.count_serving_replicas(large) + sim.count_serving_replicas(small), 2U)
        << "seed " << seed;
  }
}

TEST(ReplicaController, RestartedMemberIsReplaced) {
  // Guards against a replica that is stuck for seconds until its head breaks: a member restarts
  // within the three heartbeats after which the list would drop it, so the list never reports the
  // loss.
  controller_simulation sim(8);
  for (const char* domain : {"d0", "d1", "d2"}) {
    sim.add_domain(domain, 10);
  }
  sim.run(40s);
  sim.start_requests();
  sim.run(1s);
  const target_id head = sim.head_with_spare();
  ASSERT_FALSE(head.empty());
  const model_id model = model_of_name(sim.engine(head).record().member_of->replica.name);
  const std::size_t before = sim.count_serving_replicas(model);
  sim.restart(sim.engine(head).members().back());
  EXPECT_LT(sim.count_serving_replicas(model), before);
  EXPECT_TRUE(sim.run_until([&] { return sim.count_serving_replicas(model) >= before; }, 1500ms));
}

TEST(ReplicaController, RestartedHeadReleasesItsMembers) {
  controller_simulation sim(9);
  sim.add_domain("d0", 9);
  sim.add_domain("d1", 9);
  sim.run(40s);
  sim.start_requests();
  sim.run(1s);
  const std::size_t before = sim.count_serving_replicas(large) + sim.count_serving_replicas(small);
  sim.restart(sim.any_serving_head(small));
  sim.run(200ms);
  EXPECT_TRUE(sim.run_until(
      [&] {
        return sim.count_serving_replicas(large) + sim.count_serving_replicas(small) >= before;
      },
      10s));
}

TEST(ReplicaController, LateOrdersOfAnEarlierIncarnationAreHarmless) {
  // Guards against an engine that leaves a serving replica because of a late order to join: counts
  // of orders start again with each incarnation, so a restarted engine can reach the count that the
  // late order expects.
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    controller_simulation sim(seed, 2);
    sim.add_domain("d0", 7);
    sim.add_domain("d1", 5);
    sim.run(20s);
    sim.start_requests();
    sim.set_faults({.order_lost = 0.1, .order_late = 0.3, .max_order_delay = 12s});
    for (int i = 0; i < 30; ++i) {
      const auto living_engines = sim.living_engines();
      sim.restart(living_engines[sim.random().below(living_engines.size())]);
      if (i % 3 == 0) {
        // Restarts an engine twice in a row, or one with pending orders.
        const auto again = sim.living_engines();
        sim.restart(again[sim.random().below(again.size())]);
      }
      sim.block_list_updates(i % 2, i % 5 == 0);
      sim.run(sim.random().jitter(2s));
      ASSERT_FALSE(::testing::Test::HasFailure());
    }
    sim.block_list_updates(0, false);
    sim.block_list_updates(1, false);
    sim.set_faults({});
    EXPECT_TRUE(sim.run_until(
        [&] { return sim.count_serving_replicas(large) + sim.count_serving_replicas(small) >= 2; },
        60s));
  }
}

TEST(ReplicaController, ReconnectedControllerDissolvesNothing) {
  // Guards against an outage when a partition of 6 s heals, in which no replica serves for a second
  // on either side: the partitioned controller marks all engines as lost, and its orders to
  // dissolve their replicas arrive as soon as it is reconnected.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    controller_simulation sim(seed, 2);
    sim.add_domain("d0", 9);
    sim.add_domain("d1", 8);
    sim.run(40s);
    sim.start_requests();
    sim.run(1s);
    const std::size_t before =
        sim.count_serving_replicas(large) + sim.count_serving_replicas(small);
    ASSERT_GE(before, 4U);
    sim.set_partitioned(1, true);
    for (const target_id& id : sim.living_engines()) {
      sim.mark_lost(1, id);  // as if the engine's streams had stalled and probes had got no answer
    }
    sim.run(6s);
    sim.set_partitioned(1, false);
    for (int i = 0; i < 80; ++i) {
      sim.run(50ms);
      ASSERT_GE(sim.count_serving_replicas(large) + sim.count_serving_replicas(small), before)
          << i * 50 << " ms after";
    }
  }
}

TEST(ReplicaController, ChangesNoModelDuringAShortDomainOutage) {
  // Guards against following a changed plan immediately: a domain of one model is down for 8 s, and
  // engines of other domains load its model for 12 to 16 s, so that too many have it afterwards.
  controller_simulation sim(6);
  for (const char* domain : {"d0", "d1", "d2", "d3"}) {
    sim.add_domain(domain, 9);
  }
  sim.run(40s);
  sim.start_requests();
  std::map<target_id, model_id> before;
  std::vector<target_id> dark;
  for (const target_id& id : sim.living_engines()) {
    before[id] = sim.engine(id).record().loaded;
    if (sim.engine(id).record().domain == fabric_domain_id{"d0"}) {
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

TEST(ReplicaController, SendsNoOrdersOnceStable) {
  // Guards against a plan that oscillates: it would cause orders, each of which costs, although
  // nothing happens.
  controller_simulation sim(5, 1);
  sim.add_domain("d0", 9);
  sim.add_domain("d1", 9);
  sim.run(60s);
  const std::size_t before = sim.orders_sent();
  sim.run(20s);
  EXPECT_EQ(sim.orders_sent(), before);
}

// Two domains with a spare each, some seconds after their replicas were formed.
void start_with_spares(controller_simulation& sim) {
  for (const char* domain : {"d0", "d1", "d2", "d3"}) {
    sim.add_domain(domain, 10);
  }
  sim.run(40s);
  sim.start_requests();
  sim.run(1s);
}

TEST(ReplicaController, EndsNoAnswerOfASilentMember) {
  // Guards against an answer that the controller's own order ends because a sound engine was silent
  // for a second.
  for (const duration length : {500ms, 1000ms, 1300ms}) {
    SCOPED_TRACE(to_milliseconds(length));
    controller_simulation sim(2);
    start_with_spares(sim);
    const target_id head = sim.head_with_spare();
    ASSERT_FALSE(head.empty()) << "no domain has a spare";
    const target_id member = sim.engine(head).members().back();
    const std::size_t orders = sim.orders_sent();
    sim.start_answer(head, 5s);
    sim.silence(member, length);
    sim.mark_lost(0, member);
    sim.run(4s);
    EXPECT_EQ(sim.answers_ended_by_orders(), 0U);
    EXPECT_TRUE(sim.is_answer_running(head));
    EXPECT_EQ(sim.orders_sent(), orders);
  }
}

TEST(ReplicaController, EndsNoAnswerOfASilentHead) {
  // Guards against members that are freed because their sound head was silent for a second.
  controller_simulation sim(2);
  start_with_spares(sim);
  const target_id head = sim.head_with_spare();
  ASSERT_FALSE(head.empty()) << "no domain has a spare";
  const std::size_t orders = sim.orders_sent();
  sim.start_answer(head, 5s);
  sim.silence(head, 1s);
  sim.mark_lost(0, head);
  sim.run(4s);
  EXPECT_EQ(sim.answers_ended_by_orders(), 0U);
  EXPECT_TRUE(sim.is_answer_running(head));
  EXPECT_EQ(sim.orders_sent(), orders);
}

TEST(ReplicaController, EndsNoAnswerOfADrainingHead) {
  // Guards against members that are freed because their head, which drains, has stopped listening.
  controller_simulation sim(2);
  start_with_spares(sim);
  const target_id head = sim.head_with_spare();
  ASSERT_FALSE(head.empty()) << "no domain has a spare";
  sim.start_answer(head, 7s);
  sim.drain(head);
  sim.run(500ms);
  sim.silence(head, 20s);
  sim.mark_lost(0, head);
  sim.run(6s);
  EXPECT_TRUE(sim.is_answer_running(head));
  EXPECT_EQ(sim.answers_ended_by_orders(), 0U);
}

TEST(ReplicaController, ServesAgainAfterASilenceWithoutRequests) {
  // Guards against a replica that stays closed: its head was closed as nothing ran there, and then
  // the silent member went on.
  controller_simulation sim(2);
  start_with_spares(sim);
  const std::size_t before = sim.count_serving_replicas(large) + sim.count_serving_replicas(small);
  const target_id member = sim.engine(sim.head_with_spare()).members().back();
  sim.silence(member, 300ms);
  sim.mark_lost(0, member);
  sim.run(4s);
  EXPECT_EQ(sim.count_serving_replicas(large) + sim.count_serving_replicas(small), before);
}

TEST(ReplicaController, EndsNoAnswerOfARemovedModel) {
  // Guards against an answer that ends because a new configuration no longer has its model.
  controller_simulation sim(2);
  start_with_spares(sim);
  const target_id head = sim.any_serving_head(small);
  sim.start_answer(head, 3s);
  sim.remove_model(small);
  sim.run(2900ms);
  EXPECT_TRUE(sim.is_answer_running(head));
  EXPECT_TRUE(sim.run_until([&] { return sim.count_serving_replicas(small) == 0; }, 2s));
  EXPECT_EQ(sim.answers_ended_by_orders(), 0U);
}

bool spans_domains(const controller_simulation& sim, const target_id& head) {
  const auto& members = sim.engine(head).members();
  return std::any_of(members.begin(), members.end(), [&](const target_id& id) {
    return sim.engine(id).record().domain != sim.engine(head).record().domain;
  });
}

TEST(ReplicaController, EndsNoAnswerOfAReclaimedReplica) {
  // Guards against an answer that ends because a fabric domain can use the members of its replica.
  controller_simulation sim(2);
  sim.add_domain("d0", 2);
  sim.add_domain("d1", 2);
  sim.start_requests();
  ASSERT_TRUE(sim.run_until(
      [&] { return sim.count_serving_replicas(large) + sim.count_serving_replicas(small) > 0; },
      60s));
  const target_id head =
      sim.any_serving_head(sim.count_serving_replicas(large) > 0 ? large : small);
  ASSERT_TRUE(spans_domains(sim, head));
  const replica_key key = sim.engine(head).record().member_of->replica;
  sim.add_domain("d0", 2);
  const auto has_left = [&] {
    if (sim.engine(head).is_open() && !sim.is_answer_running(head)) {
      sim.start_answer(head, 3s);
    }
    const auto& member_of = sim.engine(head).record().member_of;
    return !member_of || member_of->replica != key;
  };
  EXPECT_TRUE(sim.run_until(has_left, 60s));
  EXPECT_EQ(sim.answers_ended_by_orders(), 0U);
}

TEST(ReplicaController, EndsNoLongAnswerOfAClosingReplica) {
  // Guards against an answer that lasts longer than the time in which a closing head must finish. A
  // draining member works for its head for up to 10 s.
  controller_simulation sim(2);
  start_with_spares(sim);
  const target_id head = sim.any_serving_head(large);
  const replica_key key = sim.engine(head).record().member_of->replica;
  sim.start_answer(head, 7500ms);
  sim.drain(sim.engine(head).members().back());
  sim.run(7400ms);
  EXPECT_TRUE(sim.is_answer_running(head));
  EXPECT_FALSE(sim.engine(head).is_open());
  sim.run(1s);
  EXPECT_EQ(sim.answers_ended_by_orders(), 0U);
  const auto& member_of = sim.engine(head).record().member_of;
  EXPECT_TRUE(!member_of || member_of->replica != key);
}

// How long it takes until a dead member's replica has been replaced. Its answer moves elsewhere
// `moved_after` the loss.
duration repair_time(controller_simulation& sim, bool refuses, duration moved_after) {
  start_with_spares(sim);
  const target_id head = sim.head_with_spare();
  const model_id model = model_of_name(sim.engine(head).record().member_of->replica.name);
  const std::size_t before = sim.count_serving_replicas(model);
  const target_id member = sim.engine(head).members().back();
  sim.start_answer(head, 60s);
  refuses ? sim.kill_refusing(member) : sim.kill(member);
  sim.mark_lost(0, member);
  const time_point lost_at = sim.now();
  const auto is_replaced = [&] {
    if (sim.now() - lost_at >= moved_after) {
      sim.cancel_answer(head);
    }
    return sim.count_serving_replicas(model) >= before;
  };
  EXPECT_TRUE(sim.run_until(is_replaced, 10s));
  return sim.now() - lost_at;
}

TEST(ReplicaController, ReplacesAnEndedMemberAtOnce) {
  // Guards against a wait for a member whose host refuses connections.
  controller_simulation sim(2);
  EXPECT_LE(repair_time(sim, true, 60s), 1s);
}

TEST(ReplicaController, ReplacesADeadMemberOnceNothingRuns) {
  // Guards against a replica that is down for the whole time a sound member may be silent, although
  // no request is left to wait for.
  controller_simulation sim(2);
  EXPECT_LE(repair_time(sim, false, 200ms), 1600ms);
}

TEST(ReplicaController, ReplacesADeadMemberAfterTheTolerance) {
  // Guards against a replica that waits without end for a member that does not come back.
  controller_simulation sim(2);
  EXPECT_LE(repair_time(sim, false, 60s), 2700ms);
}

}  // namespace
}  // namespace arbutus::testing_support
