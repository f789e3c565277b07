// Tests nodes on a stand-in of the hosted platform, over real sockets in one process.
#include "hosted_fixture.h"
#include "node/hosted_state.h"
#include "node/store_watch.h"

namespace arbutus::testing_support {
namespace {

class HostedNode : public hosted_fixture {};

TEST_F(HostedNode, FormsReplicasAndServesStreamsAndCalls) {
  ASSERT_TRUE(both_nodes_serve());
  const call_result stream = send_request(1, "/llm/2f", "s1");
  EXPECT_EQ(stream.response.status, 200);
  EXPECT_EQ(stream.response.body, expected_stream("s1"));
  EXPECT_EQ(stream.response.headers.find("X-Response-Seal"), "seal.s1");
  const call_result card = send_request(0, "/card/1", "c1");
  EXPECT_EQ(card.response.body, "card c1");
  EXPECT_EQ(platform_.runs_by_request()["c1"], 1);
  EXPECT_EQ(platform_.header_violations(), 0);
}

TEST_F(HostedNode, RefusesUnknownKeysAndPaths) {
  ASSERT_TRUE(both_nodes_serve());
  EXPECT_EQ(send_request(0, "/llm/2f", "k1", "wrong").response.status, 401);
  EXPECT_EQ(send_request(0, "/nothing/", "k2").response.status, 404);
  EXPECT_EQ(platform_.runs_by_request().count("k1"), 0U);
}

TEST_F(HostedNode, StreamsContinueWhenAMemberDies) {
  // Guards against truncated or repeated streams: a member of the replica dies without closing its
  // connections, and the head sends no further events. The node must detect that and resume the
  // streams on another replica after their last event.
  ASSERT_TRUE(both_nodes_serve());
  std::vector<std::thread> callers;
  std::vector<call_result> results(12);
  for (std::size_t i = 0; i < results.size(); ++i) {
    callers.emplace_back(
        [&, i] { results[i] = send_request(i % 2, "/llm/2f", "m" + std::to_string(i)); });
  }
  ASSERT_TRUE(eventually([&] { return platform_.runs_by_request().count("m5") > 0; }));
  platform_.kill_engine(platform_.find_member(false));
  for (std::thread& t : callers) {
    t.join();
  }
  for (std::size_t i = 0; i < results.size(); ++i) {
    const std::string id = "m" + std::to_string(i);
    // A stream may be refused before it ran, but never be truncated, repeated or mixed with
    // another.
    if (results[i].response.status == 200) {
      EXPECT_EQ(results[i].response.body, expected_stream(id));
    }
    EXPECT_LE(platform_.runs_by_request()[id], 3);
  }
  EXPECT_TRUE(eventually([&] { return platform_.count_serving_replicas() >= 2; }));
}

TEST_F(HostedNode, StreamsContinueWhenAnEngineRestarts) {
  // Guards against streams that stall, and against requests to a replica that no longer exists: a
  // member restarts under its id while streams run. The id is still listed, so the node must not
  // rely on the state of the previous incarnation.
  ASSERT_TRUE(both_nodes_serve());
  std::vector<std::thread> callers;
  std::vector<call_result> results(12);
  for (std::size_t i = 0; i < results.size(); ++i) {
    callers.emplace_back(
        [&, i] { results[i] = send_request(i % 2, "/llm/2f", "a" + std::to_string(i)); });
  }
  ASSERT_TRUE(eventually([&] { return platform_.runs_by_request().count("a5") > 0; }));
  platform_.restart_engine(platform_.find_member(false));
  platform_.restart_engine(platform_.find_member(true));
  for (std::thread& t : callers) {
    t.join();
  }
  for (std::size_t i = 0; i < results.size(); ++i) {
    const std::string id = "a" + std::to_string(i);
    if (results[i].response.status == 200) {
      EXPECT_EQ(results[i].response.body, expected_stream(id));
    }
    EXPECT_LE(platform_.runs_by_request()[id], 3);
  }
  EXPECT_TRUE(eventually([&] { return platform_.count_serving_replicas() >= 2; }));
}

TEST_F(HostedNode, UnreadableTargetRowsAreSkipped) {
  // Guards against a node that loses all targets when another writer puts rows into the list of
  // targets, also rows with invalid bytes, and one unreadable row fails the entire answer.
  ASSERT_TRUE(both_nodes_serve());
  platform_.write_target_record("x", "{");
  platform_.write_target_record("\x01\x02", R"({"service":"llm"})");
  platform_.write_target_record(
      "i-odd", R"({"service":"llm","address":"127.0.0.1:1","zone":"lab-a","slots":"9"})");
  platform_.kill_engine(platform_.find_member(false));
  EXPECT_TRUE(eventually([&] { return platform_.count_serving_replicas() >= 2; }))
      << "what the list contains behind the unreadable rows is not read";
  EXPECT_EQ(send_request(0, "/llm/2f", "beside").response.body, expected_stream("beside"));
}

TEST_F(HostedNode, RevokedKeyIsRefusedWithinTheBound) {
  // Guards against requests that run with an API key that the newest version of the configuration
  // no longer has.
  ASSERT_TRUE(both_nodes_serve());
  platform_.write_next_configuration(standin::workspace_list::without_keys);
  EXPECT_TRUE(eventually([&] {
    return send_request(0, "/llm/2f", "w0").response.status == 401 &&
           send_request(1, "/llm/2f", "w1").response.status == 401;
  }));
}

TEST_F(HostedNode, ConfigurationLargerThanOneReadTimeoutComesIntoForce) {
  // At the rate below, the store's response takes 1.4 s to transfer, three times the read timeout
  // of a node.
  ASSERT_TRUE(both_nodes_serve());
  constexpr std::size_t routes = 1400;
  platform_.set_store_rate(250'000);
  platform_.write_next_configuration(standin::workspace_list::with_key, routes);
  const std::string newest = standin::hosted_platform::extra_route(routes - 1);
  EXPECT_TRUE(eventually([&] { return send_request(0, newest, "o0").response.status == 200; }));
  EXPECT_TRUE(eventually([&] { return send_request(1, newest, "o1").response.status == 200; }));
}

TEST_F(HostedNode, KeysExpireWhileTheStoreIsUnavailable) {
  // Guards against a partitioned node that accepts a revoked key: while the store is unavailable
  // for longer than the bound, a key may have been revoked, and the node must not rely on its old
  // configuration.
  ASSERT_TRUE(both_nodes_serve());
  platform_.set_store_down(true);
  EXPECT_TRUE(eventually([&] {
    const call_result refused = send_request(0, "/llm/2f", "d0");
    return refused.response.status == 503 && refused.response.headers.find("Retry-After");
  }));
  platform_.set_store_down(false);
  EXPECT_TRUE(eventually([&] { return send_request(0, "/llm/2f", "d1").response.status == 200; }));
}

TEST_F(HostedNode, WithheldListChangesNothing) {
  // A hub's update whose rows are withheld must not count as an update: this node's list of targets
  // is as old as before.
  fiber_runtime own_runtime(1);
  hosted_state state(monotonic_now(), nodes_[0]->settings, own_runtime);
  store_watch watch(state);
  node_heartbeat message;
  message.data_centre = nodes_[0]->settings.data_centre;
  message.hub = true;
  message.targets = feed_update{{}, true, 90, 0, 0ms, true};
  const time_point now = monotonic_now();
  watch.apply_hub_update(now, now, message);
  EXPECT_EQ(state.target_rows.position(), 0U);
  EXPECT_FALSE(state.fleet_known);
  EXPECT_EQ(state.fleet_list_requested_at, time_point{});
}

TEST_F(HostedNode, UpdateForAnEarlierIncarnationIsIgnored) {
  // Guards against a restarted node that never gets a configuration or replicas while all others
  // serve: it starts while the store is unreachable, and its hub still responds to the position
  // that the previous incarnation had reported, with no rows but with a proof. The node must not
  // adopt the hub's position.
  hosted_settings settings = nodes_[0]->settings;
  fiber_runtime own_runtime(1);
  hosted_state state(monotonic_now(), settings, own_runtime);
  store_watch watch(state);
  node_heartbeat message;
  message.data_centre = settings.data_centre;
  message.hub = true;
  message.configuration = feed_update{{}, false, 90, 80, 0ms, false};
  message.targets = feed_update{{}, false, 90, 80, 0ms, false};
  const time_point now = monotonic_now();
  watch.apply_hub_update(now, now, message);
  EXPECT_EQ(state.configuration_rows.position(), 0U);
  EXPECT_EQ(state.target_rows.position(), 0U);
  EXPECT_FALSE(state.configuration_lease.age(now));
  // Changes to a table whose full content this node never received are ignored, too.
  message.targets = feed_update{{{"i-1", "{}", 85, true}}, false, 90, 0, 0ms, false};
  watch.apply_hub_update(now, now, message);
  EXPECT_EQ(state.target_rows.position(), 0U);
  // The full content of the table is applied, and then the changes that continue from it.
  message.targets = feed_update{{{"i-1", "{}", 85, false}}, true, 90, 0, 0ms, false};
  watch.apply_hub_update(now, now, message);
  EXPECT_EQ(state.target_rows.position(), 90U);
  message.targets = feed_update{{{"i-1", "{}", 93, true}}, false, 95, 90, 0ms, false};
  watch.apply_hub_update(now, now, message);
  EXPECT_EQ(state.target_rows.position(), 95U);
}

// Guards against a hub that wakes up and takes its nodes back to the store's state before a
// restore.
TEST_F(HostedNode, HubOfAnEarlierEraIsNotFollowed) {
  fiber_runtime own_runtime(1);
  hosted_state state(monotonic_now(), nodes_[0]->settings, own_runtime);
  store_watch watch(state);
  node_heartbeat message;
  message.data_centre = nodes_[0]->settings.data_centre;
  message.hub = true;
  message.configuration = feed_update{{}, false, store_version(1, 90), 0, 0ms, false};
  message.targets = feed_update{{}, true, store_version(1, 95), 0, 0ms, false};
  const time_point now = monotonic_now();
  state.reported_store_era = 2;
  watch.apply_hub_update(now, now, message);
  EXPECT_EQ(state.configuration_rows.position(), 0U);
  EXPECT_FALSE(state.fleet_known);
  message.targets->position = store_version(2, 40);
  message.configuration->position = store_version(2, 40);
  watch.apply_hub_update(now, now, message);
  EXPECT_EQ(state.configuration_rows.position(), store_version(2, 40));
  EXPECT_EQ(state.target_rows.position(), store_version(2, 40));
}

// Guards against a proof that lasts for days: after a power loss the clock starts again, and the
// hub still echoes a stamp of before.
TEST_F(HostedNode, EchoOfAnEarlierBootProvesNothing) {
  fiber_runtime own_runtime(1);
  hosted_state state(monotonic_now(), nodes_[0]->settings, own_runtime);
  store_watch watch(state);
  node_heartbeat message;
  message.data_centre = nodes_[0]->settings.data_centre;
  message.hub = true;
  message.configuration = feed_update{{}, false, 90, 0, 0ms, false};
  message.targets = feed_update{{}, true, 95, 0, 0ms, false};
  const time_point now = monotonic_now();
  watch.apply_hub_update(now + 24h, now, message);
  EXPECT_FALSE(state.fleet_known);
  EXPECT_EQ(state.configuration_rows.position(), 0U);
  EXPECT_EQ(state.fleet_list_requested_at, time_point{});
}

// Guards against a node that relies on a hub of an earlier release, which numbers configurations by
// rows of the store.
TEST_F(HostedNode, ConfigurationOfAHubOfAnEarlierReleaseIsReadAtTheStore) {
  fiber_runtime own_runtime(1);
  hosted_state state(monotonic_now(), nodes_[0]->settings, own_runtime);
  store_watch watch(state);
  node_heartbeat message;
  message.data_centre = nodes_[0]->settings.data_centre;
  message.hub = true;
  message.configuration = feed_update{{}, false, 90, 0, 0ms, false};
  message.configuration_version.reset();
  const time_point now = monotonic_now();
  watch.apply_hub_update(now, now, message);
  EXPECT_EQ(state.configuration_rows.position(), 0U);
}

TEST_F(HostedNode, NodeThatControlsNoReplicasFollowsTheServingOnes) {
  fiber_runtime own_runtime(1);
  hosted_state state(monotonic_now(), nodes_[0]->settings, own_runtime);
  store_watch watch(state);
  serving_entry instance;
  instance.members.emplace_back();
  instance.members.front().id = target_id{"i-7"};
  instance.members.front().service = service_id{"tablets"};
  instance.members.front().address = {"10.0.0.7", 8000};
  node_heartbeat message;
  message.data_centre = nodes_[0]->settings.data_centre;
  message.hub = true;
  message.incarnation = "0a1b2c3d";
  message.targets_position = 90;
  message.serving_rows = feed_update{{{"i-7", encode(instance), 1, false}}, true, 1, 0, 0ms, false};
  const time_point now = monotonic_now();
  watch.apply_hub_update(now, now, message);
  EXPECT_TRUE(state.fleet_known);
  EXPECT_NE(state.fleet.find(target_id{"i-7"}), nullptr);
  EXPECT_EQ(state.received_serving.at(), (serving_follower::position{"0a1b2c3d", 1}));
  // The node may not control replicas with rows from its hub alone, and continues to read at the
  // store from the hub's position.
  EXPECT_FALSE(state.fleet_complete);
  EXPECT_EQ(watch.records_position(), 0U);
  EXPECT_EQ(state.target_rows.position(), 90U);
  // Rows of another incarnation of the hub do not continue from the rows received so far.
  message.incarnation = "4e5f6a7b";
  message.serving_rows = feed_update{{{"i-7", {}, 2, true}}, false, 2, 1, 0ms, false};
  watch.apply_hub_update(now, now, message);
  EXPECT_TRUE(state.fleet.find(target_id{"i-7"})->listed);
  // With the full content of the table the node may control replicas.
  message.targets = feed_update{{}, true, 95, 0, 0ms, false};
  watch.apply_hub_update(now, now, message);
  EXPECT_TRUE(state.fleet_complete);
  EXPECT_EQ(watch.records_position(), 95U);
}

TEST_F(HostedNode, StoppingNodeCompletesRunningStreams) {
  // Guards against a planned stop of a node that cuts off responses in flight.
  ASSERT_TRUE(both_nodes_serve());
  call_result result;
  std::thread caller([&] { result = send_request(0, "/llm/2f", "stop"); });
  ASSERT_TRUE(eventually([&] { return platform_.runs_by_request().count("stop") > 0; }));
  EXPECT_TRUE(nodes_[0]->node->stop());
  caller.join();
  EXPECT_EQ(result.response.body, expected_stream("stop"));
}

}  // namespace
}  // namespace arbutus::testing_support
