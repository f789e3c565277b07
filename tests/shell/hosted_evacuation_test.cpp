// Tests nodes while operators evacuate data centres, over real sockets in one process.
#include "hosted_place_fixture.h"

namespace arbutus::testing_support {
namespace {

using standin::hosted_platform;
using standin::path_state;

constexpr const char* gauge = "arbutusworks_data_centres_evacuated";
constexpr std::string_view reason = "the data centre of the targets is evacuated";
constexpr duration load_time = 1500ms;

class HostedEvacuation : public hosted_place_fixture {
 protected:
  explicit HostedEvacuation(const standin::hosted_platform_settings& settings = two_places())
      : hosted_place_fixture(settings) {}

  // Returns a time from which on no request may arrive.
  time_point set_evacuated(const std::vector<std::string>& places, bool evacuated = true) {
    const time_point written = monotonic_now();
    for (const std::string& place : places) {
      platform_.set_evacuated(place, evacuated);
      evacuated_ += evacuated ? 1 : -1;
    }
    EXPECT_TRUE(all_report(gauge, evacuated_));
    EXPECT_LT(monotonic_now() - written, nodes_[0]->settings.bounds.evacuation_limit);
    // A request whose first byte was written before may still be on its way.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    return monotonic_now();
  }

  int evacuated_ = 0;
};

// Guards against new streams for the evacuated data centre, and against callers there that are not
// served by the other one.
TEST_F(HostedEvacuation, StreamsAreServedElsewhere) {
  ASSERT_TRUE(both_places_serve());
  const std::size_t replicas = platform_.count_serving_replicas();
  const time_point from = set_evacuated({"lab-a"});
  const std::map<int, int> answers = send_load(load_time, stream_path);
  EXPECT_EQ(arrivals_in("lab-a", from), 0U);
  EXPECT_EQ(answers.size(), 1U);
  EXPECT_TRUE(answers.contains(200));
  // Its replicas stay formed.
  EXPECT_GE(platform_.count_serving_replicas(), replicas);
}

// Guards against calls of a plain service whose only instance is in the evacuated data centre.
TEST_F(HostedEvacuation, CallsOfAnEvacuatedServiceAreRefused) {
  ASSERT_TRUE(both_places_serve());
  const time_point from = set_evacuated({"lab-a"});
  expect_refused(0, call_path, reason);
  expect_refused(1, call_path, reason);
  EXPECT_EQ(arrivals_in("lab-a", from), 0U);
  EXPECT_GE(metric(0, "arbutusworks_evacuation_refusals{result=\"refused\"}"), 1);
  set_evacuated({"lab-a"}, false);
  EXPECT_EQ(ask(0, call_path).response.status, 200);
}

// Guards against callers that wait until their deadline while all data centres are evacuated, and
// against an evacuation that ends with another one.
TEST_F(HostedEvacuation, AllDataCentresAtOnce) {
  ASSERT_TRUE(both_places_serve());
  const time_point from = set_evacuated({"lab-a", "lab-b"});
  expect_refused(0, stream_path, reason);
  expect_refused(1, stream_path, reason);
  EXPECT_EQ(arrivals_in("lab-a", from) + arrivals_in("lab-b", from), 0U);
  set_evacuated({"lab-b"}, false);
  EXPECT_EQ(ask(0, stream_path).response.status, 200);
  EXPECT_EQ(arrivals_in("lab-a", from), 0U);
}

// Guards against an evacuation that stays when it is lifted, or that cannot be set again.
TEST_F(HostedEvacuation, IsLiftedAndSetAgain) {
  ASSERT_TRUE(both_places_serve());
  set_evacuated({"lab-a"});
  const time_point lifted = set_evacuated({"lab-a"}, false);
  send_load(load_time, stream_path);
  EXPECT_GT(arrivals_in("lab-a", lifted), 0U);
  const time_point again = set_evacuated({"lab-a"});
  send_load(load_time, stream_path);
  EXPECT_EQ(arrivals_in("lab-a", again), 0U);
}

// Guards against streams that an evacuation cuts.
TEST_F(HostedEvacuation, RunningStreamsEndByThemselves) {
  ASSERT_TRUE(both_places_serve());
  const std::string head = start_stream_in("lab-a", 0);
  set_evacuated({"lab-a"});
  expect_whole_stream();
  EXPECT_EQ(platform_.engine_of_run(stream_id_), head);
}

// Guards against a stream that is resumed in the evacuated data centre when its head ends.
TEST_F(HostedEvacuation, StreamsAreResumedElsewhere) {
  ASSERT_TRUE(both_places_serve());
  const std::string head = start_stream_in("lab-a", 0);
  const time_point from = set_evacuated({"lab-a"});
  platform_.kill_engine(head);
  expect_whole_stream();
  EXPECT_EQ(arrivals_in("lab-a", from), 0U);
}

// Guards against a second run beside a silent one in the evacuated data centre.
TEST_F(HostedEvacuation, SecondRunsBeginElsewhere) {
  ASSERT_TRUE(both_places_serve());
  const std::string head = start_stream_in("lab-a", 0);
  const time_point from = set_evacuated({"lab-a"});
  platform_.set_silent(head, true);
  expect_whole_stream();
  platform_.set_silent(head, false);
  EXPECT_EQ(arrivals_in("lab-a", from), 0U);
  EXPECT_TRUE(platform_.engine_of_run(stream_id_).starts_with("i-lab-b"));
}

// Guards against a retry in the evacuated data centre after the targets of the other one have
// turned the request away.
TEST_F(HostedEvacuation, RetriesStayElsewhere) {
  ASSERT_TRUE(both_places_serve());
  const time_point from = set_evacuated({"lab-a"});
  for (int i = 0; i < 9; ++i) {
    platform_.set_behaviour("i-lab-b-" + std::to_string(i), {true, "", false});
  }
  const std::map<int, int> answers = send_load(load_time, stream_path);
  EXPECT_GT(arrivals_in("lab-b", from), 0U);
  EXPECT_EQ(arrivals_in("lab-a", from), 0U);
  EXPECT_EQ(answers.size(), 1U);
  EXPECT_TRUE(answers.contains(503));
}

// Guards against a node that sends a call which it has taken over to an evacuated data centre.
TEST_F(HostedEvacuation, CallsTakenOverStayElsewhere) {
  ASSERT_TRUE(both_places_serve());
  const time_point from = set_evacuated({"lab-a"});
  platform_.set_paths(0, path_state::silent);
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  const std::map<int, int> answers = send_load(load_time, stream_path, 1);
  const double handed_over = metric(0, "arbutusworks_handed_over{result=\"answered\"}");
  platform_.set_paths(0, path_state::open);
  EXPECT_GT(handed_over, 0);
  EXPECT_TRUE(answers.contains(200));
  EXPECT_EQ(arrivals_in("lab-a", from), 0U);
}

// Guards against an evacuation that ends when the store does not answer.
TEST_F(HostedEvacuation, StaysInForceWithoutTheStore) {
  ASSERT_TRUE(both_places_serve());
  const time_point from = set_evacuated({"lab-a"});
  platform_.set_store_down(true);
  send_load(3s, stream_path);
  platform_.set_store_down(false);
  EXPECT_EQ(arrivals_in("lab-a", from), 0U);
}

// Guards against a node that starts during an evacuation and sends requests before it knows it.
TEST_F(HostedEvacuation, NodeThatStartsKnowsItBeforeItServes) {
  ASSERT_TRUE(both_places_serve());
  const time_point from = set_evacuated({"lab-a"});
  nodes_[0].reset();
  nodes_[0] = std::make_unique<test_node>("edge-0", platform_.store_port(0), "lab-a",
                                          std::vector<std::string>{"lab-a", "lab-b"});
  const std::map<int, int> answers = send_load(3s, stream_path, 1);
  EXPECT_TRUE(answers.contains(200));
  EXPECT_EQ(arrivals_in("lab-a", from), 0U);
  EXPECT_EQ(metric(0, gauge), 1);
}

// Guards against requests to an evacuated data centre after the store has come back from a copy
// without the row, and against an evacuation that stays for ever since its row is gone.
TEST_F(HostedEvacuation, OutlivesARestoreUntilTheStoreHasSettled) {
  ASSERT_TRUE(both_places_serve());
  platform_.copy_store();
  const time_point from = set_evacuated({"lab-a"});
  platform_.set_store_down(true);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  platform_.restore_store(hosted_platform::rewrite::targets);
  platform_.set_store_down(false);
  send_load(6s, stream_path);
  EXPECT_EQ(arrivals_in("lab-a", from), 0U);
  EXPECT_TRUE(all_report(gauge, 0));
}

// Guards against an evacuation that is lost although the operators write it again.
TEST_F(HostedEvacuation, StaysWhenItIsWrittenAgainAfterARestore) {
  ASSERT_TRUE(both_places_serve());
  platform_.copy_store();
  const time_point from = set_evacuated({"lab-a"});
  platform_.restore_store(hosted_platform::rewrite::targets);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  platform_.write_again();
  // Beyond the time after which the store counts as settled.
  send_load(12s, stream_path);
  EXPECT_EQ(arrivals_in("lab-a", from), 0U);
  EXPECT_EQ(metric(0, gauge), 1);
}

// Guards against a row with an unknown name that takes effect, or that hides other rows.
TEST_F(HostedEvacuation, UnknownNamesHaveNoEffect) {
  ASSERT_TRUE(both_places_serve());
  platform_.set_evacuated("nowhere", true);
  platform_.set_evacuated("", true);
  set_evacuated({"lab-b"});
  EXPECT_EQ(ask(0, stream_path).response.status, 200);
  EXPECT_EQ(ask(0, call_path).response.status, 200);
}

// Both nodes are in the first data centre, and one of them gets the rows from the other one.
standin::hosted_platform_settings one_hub() {
  standin::hosted_platform_settings settings = two_places();
  settings.nodes_with_paths = 0;
  return settings;
}

class HostedEvacuationByHub : public HostedEvacuation {
 protected:
  HostedEvacuationByHub() : HostedEvacuation(one_hub()) {}

  // Callers are served in their own data centre while they can.
  bool both_places_have_replicas() {
    return both_nodes_serve() &&
           eventually([&] { return platform_.count_serving_replicas() >= 4; });
  }
};

// Guards against a node that does not get evacuations, or their end, from its hub.
TEST_F(HostedEvacuationByHub, IsLiftedAndSetAgain) {
  ASSERT_TRUE(both_places_have_replicas());
  const time_point from = set_evacuated({"lab-a"});
  send_load(load_time, stream_path);
  EXPECT_EQ(arrivals_in("lab-a", from), 0U);
  set_evacuated({"lab-a"}, false);
  const time_point again = set_evacuated({"lab-a", "lab-b"});
  expect_refused(0, stream_path, reason);
  expect_refused(1, stream_path, reason);
  EXPECT_EQ(arrivals_in("lab-a", again) + arrivals_in("lab-b", again), 0U);
}

// Guards against a data centre that stays evacuated since its removal was lost with the history, at
// the hub or at the nodes that get the rows from it.
TEST_F(HostedEvacuationByHub, RemovalInALostHistoryIsNoticed) {
  ASSERT_TRUE(both_places_have_replicas());
  set_evacuated({"lab-a", "lab-b"});
  platform_.set_store_down(true);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  platform_.set_evacuated("lab-b", false);
  platform_.drop_history();
  platform_.set_store_down(false);
  EXPECT_TRUE(all_report(gauge, 1));
  EXPECT_EQ(ask(0, stream_path).response.status, 200);
  EXPECT_EQ(ask(1, stream_path).response.status, 200);
}

// Guards against a node that starts, gets the rows from its hub and misses an evacuation.
TEST_F(HostedEvacuationByHub, NodeThatStartsKnowsItBeforeItServes) {
  ASSERT_TRUE(both_places_have_replicas());
  const time_point from = set_evacuated({"lab-a"});
  nodes_[1].reset();
  nodes_[1] = std::make_unique<test_node>("edge-1", platform_.store_port(), "lab-a",
                                          std::vector<std::string>{"lab-a", "lab-b"});
  const std::map<int, int> answers = send_load(3s, stream_path);
  EXPECT_TRUE(answers.contains(200));
  EXPECT_EQ(arrivals_in("lab-a", from), 0U);
  EXPECT_EQ(metric(1, gauge), 1);
}

}  // namespace
}  // namespace arbutus::testing_support
