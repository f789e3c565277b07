// Tests the estimated response times of replicas, and the choice of a replica by them, also under
// load.
#include "request/replica_choice.h"

#include <gtest/gtest.h>

#include "base/rng.h"

namespace arbutus {
namespace {

const model_spec model{model_id{"m"}, 4, 1, 1.0, 16s, 1600ms};

engine_parameters engine() {
  engine_parameters e;
  e.slots = 26;
  e.decode_steps_per_pass = 7;
  e.step = 5950us;
  e.step_per_sequence_ms = 0.0445;
  e.context_ms_per_1k_tokens = 0.00813;
  e.prefill_tokens_per_s = 50700;
  e.attention_ms_per_million_pairs = 0.368;
  e.mean_prompt_tokens = 1115;
  e.mean_answer_tokens = 178;
  e.cross_domain_slowdown_factor = 2.5;
  e.models = {model};
  return e;
}

serving_replica replica(const std::string& head, const std::string& data_centre = "a") {
  serving_replica r;
  r.head = target_id{head};
  r.data_centre = data_centre_id{data_centre};
  r.model = model.id;
  return r;
}

choice_request desired(double prompt = 1000) {
  choice_request r;
  r.home = data_centre_id{"a"};
  r.size = {prompt, 200};
  r.time_left = 5s;
  return r;
}

TEST(ReplicaEstimate, GrowsWithPendingPromptsAndLoad) {
  const auto idle = estimate(engine(), model, {}, {1000, 200}, 1, false);
  const auto reading = estimate(engine(), model, {2, 4000}, {1000, 200}, 1, false);
  const auto full = estimate(engine(), model, {27, 0}, {1000, 200}, 1, false);
  EXPECT_LT(idle.to_first_event, reading.to_first_event);
  EXPECT_LT(reading.to_first_event, full.to_first_event + 200ms);
  // Expected time to the first event: an idle replica prefills 1,000 tokens in 20 ms and runs a
  // pass of seven steps of 6 ms.
  EXPECT_NEAR(to_milliseconds(idle.to_first_event), 62, 5);
}

TEST(ReplicaEstimate, ASlowMemberSlowsItsReplica) {
  const auto well = estimate(engine(), model, {}, {1000, 200}, 1, false);
  const auto slow = estimate(engine(), model, {}, {1000, 200}, 4, false);
  const auto across = estimate(engine(), model, {}, {1000, 200}, 1, true);
  EXPECT_NEAR(to_seconds(slow.to_first_event), 4 * to_seconds(well.to_first_event), 1e-3);
  EXPECT_NEAR(to_seconds(across.to_first_event), 2.5 * to_seconds(well.to_first_event), 1e-3);
}

TEST(ReplicaChoice, PrefersHomeUnlessRemoteIsClearlyFaster) {
  load_table loads;
  const std::vector<serving_replica> two = {replica("away", "b"), replica("home", "a")};
  auto choice = choose_replica(engine(), model, two, loads, desired());
  EXPECT_EQ(std::get<chosen_replica>(choice).index, 1U);
  loads.sent(target_id{"home"}, {3000, 100});
  choice = choose_replica(engine(), model, two, loads, desired());
  EXPECT_EQ(std::get<chosen_replica>(choice).index, 0U);
}

TEST(ReplicaChoice, AvoidsTriedAndUnresponsiveReplicas) {
  load_table loads;
  const std::vector<serving_replica> two = {replica("x"), replica("y")};
  const std::vector<target_id> x = {target_id{"x"}};
  choice_request request = desired();
  request.avoided = x;
  auto choice = choose_replica(engine(), model, two, loads, request);
  EXPECT_EQ(std::get<chosen_replica>(choice).index, 1U);
  request.avoided = {};
  request.suspected_heads = x;
  choice = choose_replica(engine(), model, two, loads, request);
  EXPECT_EQ(std::get<chosen_replica>(choice).index, 1U);
}

TEST(ReplicaChoice, RefusesImmediatelyWhenAllReplicasAreFull) {
  // Guards against callers waiting in vain until their deadline: every replica has all slots taken
  // and some requests waiting, and the request is sent nevertheless.
  load_table loads;
  const std::vector<serving_replica> one = {replica("x")};
  for (int i = 0; i < 28; ++i) {
    loads.sent(target_id{"x"}, {1000, 200});
  }
  const auto choice = choose_replica(engine(), model, one, loads, desired());
  ASSERT_TRUE(std::holds_alternative<no_replica>(choice));
  EXPECT_GE(std::get<no_replica>(choice).retry_after, 100ms);
  EXPECT_LE(std::get<no_replica>(choice).retry_after, 2s);
}

TEST(ReplicaChoice, SpreadsASteadyLoadEvenly) {
  // 200 simultaneous requests over ten replicas of 26 slots. With random choice, the fullest
  // replica gets 30 of them on average; by expected time it gets 20.
  load_table loads;
  std::vector<serving_replica> ten;
  for (int i = 0; i < 10; ++i) {
    ten.push_back(replica("r" + std::to_string(i)));
  }
  rng random(3);
  for (int i = 0; i < 200; ++i) {
    const double prompt = 200 + 2000 * random.unit();
    const auto choice = choose_replica(engine(), model, ten, loads, desired(prompt));
    const auto& chosen = std::get<chosen_replica>(choice);
    loads.sent(ten[chosen.index].head, {prompt, 200});
    loads.first_event(ten[chosen.index].head, {prompt, 200});
  }
  for (const auto& r : ten) {
    EXPECT_NEAR(loads.total(r.head).active, 20, 2);
  }
}

TEST(ReplicaChoice, ManyNodesDoNotAllTakeTheSameReplica) {
  // Guards against first events that take 450 ms instead of 60 ms on a fleet at half load. 70 nodes
  // send one request each within 300 ms, before the others' requests are reported; if each chose
  // the best replica by its own view, all 70 requests would go to one of the six replicas.
  std::vector<serving_replica> six;
  std::map<target_id, replica_load> told;
  for (int i = 0; i < 6; ++i) {
    six.push_back(replica("r" + std::to_string(i)));
    told[six.back().head] = {12.0 + 0.1 * i, 0};
  }
  rng random(7);
  std::map<std::size_t, int> sends;
  for (int node = 0; node < 70; ++node) {
    load_table loads;
    loads.set_peer_loads(node_id{"hub"}, data_centre_id{"a"}, load_scope::deployment,
                         time_point{1s}, told);
    choice_request request = desired();
    request.random_sample = random.unit();
    ++sends[std::get<chosen_replica>(choose_replica(engine(), model, six, loads, request)).index];
  }
  for (const auto& [index, count] : sends) {
    EXPECT_LE(count, 20) << index;
  }
  EXPECT_EQ(sends.size(), 6U);
}

TEST(ReplicaChoice, NodeWithoutPeersTakesTheBestReplica) {
  load_table loads;
  const std::vector<serving_replica> two = {replica("x"), replica("y")};
  loads.sent(target_id{"x"}, {1000, 200});
  choice_request request = desired();
  request.random_sample = 0.99;
  const auto choice = choose_replica(engine(), model, two, loads, request);
  EXPECT_EQ(std::get<chosen_replica>(choice).index, 1U);
}

TEST(ReplicaChoice, LongResponsesAvoidSlowReplicas) {
  // Guards against long responses being cut off at their deadline at low load. A replica of
  // leftover engines from two domains is 2.5 times slower but idle, so its first event is the
  // earliest; choosing by the first event alone selects it.
  load_table loads;
  std::vector<serving_replica> two = {replica("across"), replica("busy")};
  two[0].crosses_domains = true;
  loads.sent(target_id{"busy"}, {6000, 200});
  choice_request request = desired();
  request.size = {200, 540};
  auto choice = choose_replica(engine(), model, two, loads, request);
  EXPECT_EQ(std::get<chosen_replica>(choice).index, 1U);
  request.size = {200, 40};
  choice = choose_replica(engine(), model, two, loads, request);
  EXPECT_EQ(std::get<chosen_replica>(choice).index, 0U);
}

TEST(ReplicaChoice, UsesRemoteReplicasBeforeHomeIsFull) {
  // Guards against callers of one data centre waiting for slots while replicas of another are half
  // empty. Home has 24 of 26 slots taken and the other one 12; the time of a pass hardly differs.
  load_table loads;
  const std::vector<serving_replica> two = {replica("home", "a"), replica("away", "b")};
  loads.set_peer_loads(node_id{"p"}, data_centre_id{"a"}, load_scope::node, time_point{1s},
                       {{target_id{"home"}, {24, 0}}, {target_id{"away"}, {12, 0}}});
  const auto choice = choose_replica(engine(), model, two, loads, desired());
  EXPECT_EQ(std::get<chosen_replica>(choice).index, 1U);
}

TEST(LoadTable, CountsPeersUntilTheirReportsExpire) {
  load_table loads;
  const time_point now{10s};
  loads.set_peer_loads(node_id{"p"}, data_centre_id{"a"}, load_scope::node, now,
                       {{target_id{"x"}, {5, 1000}}});
  EXPECT_EQ(loads.total(target_id{"x"}).active, 5);
  loads.forget_peers(now + 2s, true);
  EXPECT_EQ(loads.total(target_id{"x"}).active, 0);
}

TEST(LoadTable, DoesNotReportAPeersOwnLoadBackToIt) {
  load_table loads;
  loads.sent(target_id{"x"}, {100, 10});
  loads.set_peer_loads(node_id{"p"}, data_centre_id{"a"}, load_scope::node, time_point{1s},
                       {{target_id{"x"}, {5, 0}}});
  loads.set_peer_loads(node_id{"q"}, data_centre_id{"b"}, load_scope::data_centre, time_point{1s},
                       {{target_id{"x"}, {2, 0}}});
  EXPECT_EQ(loads.all_except(node_id{"p"}, loads.all())[target_id{"x"}].active, 3);
  EXPECT_EQ(loads.all_at_home()[target_id{"x"}].active, 6);
}

// Guards against replicas that look full, and callers refused, while the role of the hub changes
// hands and the loads of all nodes are known twice.
TEST(LoadTable, ANewHubCountsNoLoadTwice) {
  load_table loads;
  const time_point now{10s};
  const data_centre_id home{"a"};
  const target_id x{"x"};
  loads.sent(x, {100, 10});
  loads.set_peer_loads(node_id{"old hub"}, home, load_scope::deployment, now, {{x, {10, 300}}});
  loads.set_peer_loads(node_id{"n1"}, home, load_scope::node, now, {{x, {5, 100}}});
  EXPECT_EQ(loads.total(x).active, 11);
  loads.set_peer_loads(node_id{"n2"}, home, load_scope::node, now, {{x, {6, 300}}});
  EXPECT_EQ(loads.total(x).active, 12);
  EXPECT_EQ(loads.all()[x].active, 12);
  EXPECT_EQ(loads.total(x).pending_prefill_tokens, 500);
}

// Guards against loads of other data centres that a new hub reports as those of its own.
TEST(LoadTable, ANewHubReportsOnlyWhatNodesAtHomeReported) {
  load_table loads;
  const target_id x{"x"};
  loads.set_peer_loads(node_id{"old hub"}, data_centre_id{"a"}, load_scope::deployment,
                       time_point{1s}, {{x, {10, 0}}});
  loads.set_peer_loads(node_id{"n1"}, data_centre_id{"a"}, load_scope::node, time_point{1s},
                       {{x, {5, 0}}});
  EXPECT_EQ(loads.all_at_home()[x].active, 5);
}

// Guards against the same where the hub of another data centre changes.
TEST(LoadTable, TwoHubsOfADataCentreCountOnce) {
  load_table loads;
  const target_id x{"x"};
  for (const char* hub : {"old hub", "new hub"}) {
    loads.set_peer_loads(node_id{hub}, data_centre_id{"b"}, load_scope::data_centre, time_point{1s},
                         {{x, {6, 0}}});
  }
  EXPECT_EQ(loads.total(x).active, 6);
  EXPECT_EQ(loads.all()[x].active, 6);
}

// Guards against ended requests of a hub's predecessor that count as long as those of live nodes.
TEST(LoadTable, AHubDropsItsPredecessorsReportEarly) {
  load_table loads;
  const target_id x{"x"};
  loads.set_peer_loads(node_id{"old hub"}, data_centre_id{"a"}, load_scope::deployment,
                       time_point{1s}, {{x, {10, 0}}});
  loads.forget_peers(time_point{1s} + 1s, false);
  EXPECT_EQ(loads.total(x).active, 10);
  loads.forget_peers(time_point{1s} + 1s, true);
  EXPECT_EQ(loads.total(x).active, 0);
}

}  // namespace
}  // namespace arbutus
