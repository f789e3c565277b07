// Tests nodes that lose their paths to the targets while callers, the store and the other nodes
// still reach them; over real sockets.
#include "hosted_fixture.h"

namespace arbutus::testing_support {
namespace {

using standin::path_state;

constexpr const char* stream_path = "/llm/1";
constexpr const char* call_path = "/card/1";
constexpr std::size_t callers_per_node = 4;
constexpr std::size_t cut_node = 0;
constexpr std::size_t other_node = 1;
constexpr duration cut_duration = 3s;
// From this time after a cut began, callers of the nodes that are cut have to be served.
constexpr duration detection_limit = 1s;
// They have to be served at least this often, compared with the callers of the other nodes.
constexpr double min_served_ratio = 0.9;

// One node in each data centre.
standin::hosted_platform_settings platform_with_paths(const std::vector<std::string>& places) {
  standin::hosted_platform_settings settings;
  settings.data_centres = places;
  settings.nodes_with_paths = places.size();
  return settings;
}

struct first_attempt {
  std::size_t node;
  time_point sent_at;
  duration took;
  int status;
  bool is_whole;
};

class HostedCut : public hosted_fixture {
 protected:
  explicit HostedCut(const std::vector<std::string>& places = {"lab-a", "lab-b"})
      : hosted_fixture(platform_with_paths(places)) {}

  bool is_whole(const std::string& path, const std::string& id, const std::string& body) const {
    return body == (path == stream_path ? expected_stream(id) : "card " + id);
  }

  first_attempt ask(std::size_t node, const std::string& path) {
    const std::string id =
        "q" + std::to_string(++requests_) + "@" + nodes_[node]->settings.id.str();
    const time_point sent_at = monotonic_now();
    const call_result result = send_request(node, path, id);
    return {node, sent_at, monotonic_now() - sent_at, result.response.status,
            result.ok() && is_whole(path, id, result.response.body)};
  }

  // Callers of each node, several at a time, send requests for the given time.
  std::vector<first_attempt> send_load(duration time, const std::string& path) {
    const std::size_t nodes = nodes_.size();
    return load_of(callers_per_node * nodes, time, path,
                   [nodes](std::size_t caller) { return caller % nodes; });
  }

  // The same for callers of one node.
  std::vector<first_attempt> send_load_to(std::size_t node, duration time,
                                          const std::string& path) {
    return load_of(callers_per_node, time, path, [node](std::size_t) { return node; });
  }

  std::vector<first_attempt> load_of(std::size_t callers, duration time, const std::string& path,
                                     const std::function<std::size_t(std::size_t)>& node_of) {
    std::vector<std::vector<first_attempt>> attempts(callers);
    count_statuses(callers, time, 10ms, [&](std::size_t caller, int) {
      attempts[caller].push_back(ask(node_of(caller), path));
      return 0;
    });
    std::vector<first_attempt> all;
    for (const std::vector<first_attempt>& of_one : attempts) {
      all.insert(all.end(), of_one.begin(), of_one.end());
    }
    return all;
  }

  // The share of the requests at a node within the given time that got their whole answer.
  static double share_served(const std::vector<first_attempt>& attempts, std::size_t node,
                             time_point from, time_point until) {
    double sent = 0;
    double served = 0;
    for (const first_attempt& a : attempts) {
      if (a.node == node && a.sent_at >= from && a.sent_at < until) {
        sent += 1;
        served += a.status == 200 && a.is_whole ? 1 : 0;
      }
    }
    return sent > 0 ? served / sent : 0;
  }

  std::atomic<int> requests_ = 0;
};

struct cut_case {
  const char* name;
  path_state paths;
  const char* path;
};

class HostedCutOfAllTargets : public HostedCut, public testing::WithParamInterface<cut_case> {};

// Guards against a node that reaches no target and refuses its callers, though its peers reach all.
TEST_P(HostedCutOfAllTargets, CallersOfTheCutNodeAreServed) {
  ASSERT_TRUE(both_nodes_serve());
  const std::size_t replicas = platform_.count_serving_replicas();
  std::vector<first_attempt> attempts;
  std::thread load([&] { attempts = send_load(500ms + cut_duration, GetParam().path); });
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const time_point cut_at = monotonic_now();
  platform_.set_paths(cut_node, GetParam().paths);
  load.join();
  platform_.set_paths(cut_node, path_state::open);
  const time_point from = cut_at + detection_limit;
  const time_point until = cut_at + cut_duration;
  const double at_others = share_served(attempts, other_node, from, until);
  EXPECT_GT(at_others, min_served_ratio);
  EXPECT_GE(share_served(attempts, cut_node, from, until), min_served_ratio * at_others);
  EXPECT_EQ(platform_.count_serving_replicas(), replicas);
}

INSTANTIATE_TEST_SUITE_P(
    Paths, HostedCutOfAllTargets,
    testing::Values(cut_case{"SilentStreams", path_state::silent, stream_path},
                    cut_case{"SilentCalls", path_state::silent, call_path},
                    cut_case{"OneWayStreams", path_state::one_way, stream_path},
                    cut_case{"OneWayCalls", path_state::one_way, call_path},
                    cut_case{"ResetStreams", path_state::reset, stream_path},
                    cut_case{"ResetCalls", path_state::reset, call_path},
                    cut_case{"ClosedToNewStreams", path_state::closed_to_new, stream_path},
                    cut_case{"ClosedToNewCalls", path_state::closed_to_new, call_path}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against calls that run twice or answers that are cut as calls change their way.
TEST_F(HostedCut, CallsThatMayNotBeRepeatedRunOnce) {
  ASSERT_TRUE(both_nodes_serve());
  std::vector<first_attempt> attempts;
  std::thread load([&] { attempts = send_load(4s, call_path); });
  for (const path_state paths : {path_state::silent, path_state::reset, path_state::one_way}) {
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    platform_.set_paths(cut_node, paths);
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    platform_.set_paths(cut_node, path_state::open);
  }
  load.join();
  for (const auto& [request, runs] : platform_.runs_by_request()) {
    EXPECT_EQ(runs, 1) << request;
  }
  for (const first_attempt& a : attempts) {
    EXPECT_TRUE(a.status != 200 || a.is_whole);
  }
  EXPECT_EQ(platform_.header_violations(), 0);
}

// Guards against callers that wait, or are told nothing, while no node reaches a target.
TEST_F(HostedCut, CallersAreRefusedAtOnceWhileAllNodesAreCut) {
  ASSERT_TRUE(both_nodes_serve());
  std::thread load([&] { send_load(2500ms, stream_path); });
  platform_.set_paths(cut_node, path_state::silent);
  platform_.set_paths(other_node, path_state::silent);
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  for (int i = 0; i < 10; ++i) {
    const time_point sent_at = monotonic_now();
    const call_result result = send_request(cut_node, stream_path, "all-" + std::to_string(i));
    EXPECT_EQ(result.response.status, 503);
    EXPECT_TRUE(result.response.headers.find("Retry-After"));
    EXPECT_LT(monotonic_now() - sent_at, 300ms);
  }
  load.join();
  platform_.set_paths(cut_node, path_state::open);
  platform_.set_paths(other_node, path_state::open);
  EXPECT_TRUE(both_nodes_serve());
}

// Guards against a working replica that is dissolved since one node cannot reach its head.
TEST_F(HostedCut, ReplicaWhoseHeadOneNodeCannotReachIsKept) {
  ASSERT_TRUE(both_nodes_serve());
  const std::string head = platform_.find_member(true);
  std::vector<first_attempt> attempts;
  std::thread load([&] { attempts = send_load(3s, stream_path); });
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const std::size_t replicas = platform_.count_serving_replicas();
  platform_.set_paths(cut_node, path_state::silent, head);
  load.join();
  EXPECT_EQ(platform_.find_member(true), head);
  EXPECT_EQ(platform_.count_serving_replicas(), replicas);
}

// Guards against a data centre whose broken replicas wait until its hub reaches the engines again.
TEST_F(HostedCut, ReplicasOfTheDataCentreOfACutHubAreRepaired) {
  ASSERT_TRUE(both_nodes_serve());
  ASSERT_TRUE(eventually([&] { return platform_.count_serving_replicas() >= 4; }));
  std::thread load([&] { send_load(4s, stream_path); });
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const std::size_t replicas = platform_.count_serving_replicas();
  platform_.set_paths(cut_node, path_state::silent);
  std::this_thread::sleep_for(std::chrono::milliseconds(1200));
  const std::string head = platform_.find_member(true);
  ASSERT_TRUE(head.starts_with("i-lab-a"));
  platform_.restart_engine(head);
  load.join();
  EXPECT_TRUE(eventually([&] { return platform_.count_serving_replicas() >= replicas; }));
  platform_.set_paths(cut_node, path_state::open);
}

// Guards against a caller who speaks as a node: the header has no meaning on the callers' address
// and is not passed on.
TEST_F(HostedCut, CallersCannotSpeakAsNodes) {
  ASSERT_TRUE(both_nodes_serve());
  http_request request;
  request.method = "POST";
  request.target = call_path;
  request.headers = {{"Host", standin::hosted_host_name},
                     {"X-Request-Id", "forged"},
                     {"X-Deadline-Ms", "1500"},
                     {"X-Arbutus-Relay", "1 1 edge-1"},
                     {"X-Tenant", "somebody"},
                     {"Authorization", std::string("Bearer ") + standin::hosted_caller_key}};
  const auto ask = [&](const endpoint& at, const http_request& what) {
    call_result result;
    runtime.run_on(0, [&] { result = client_.fetch(local(at.port), what, monotonic_now() + 2s); });
    return result.response;
  };
  const http_response forged = ask(nodes_[0]->settings.listen.caller_endpoint, request);
  EXPECT_EQ(forged.status, 200);
  EXPECT_FALSE(forged.headers.find("X-Arbutus-Relay"));
  const endpoint& relays = nodes_[0]->settings.listen.relay_endpoint;
  request.headers.set("Authorization", "Bearer wrong");
  request.headers.set("X-Request-Id", "wrong-key");
  EXPECT_EQ(ask(relays, request).status, 401);
  // A node with an older configuration than was applied already says that it did not take the call.
  request.headers.set("X-Arbutus-Relay", "0 999 edge-1");
  const http_response declined = ask(relays, request);
  EXPECT_EQ(declined.status, 503);
  EXPECT_TRUE(declined.headers.find("X-Arbutus-Relay")->starts_with("not-taken "));
  EXPECT_EQ(declined.headers.find("X-Arbutus-Relay-Decline"), "unfit");
  request.headers.remove("X-Arbutus-Relay");
  EXPECT_EQ(ask(relays, request).status, 400);
  EXPECT_EQ(platform_.header_violations(), 0);
}

class HostedCutOfThree : public HostedCut {
 protected:
  HostedCutOfThree() : HostedCut({"lab-a", "lab-b", "lab-c"}) {}
};

// Guards against streams that end with the node that took them over, though another one is there.
TEST_F(HostedCutOfThree, StreamsGoOnWhenTheNodeThatTookThemOverEnds) {
  ASSERT_TRUE(both_nodes_serve());
  std::vector<first_attempt> attempts;
  std::thread load([&] { attempts = send_load_to(cut_node, 4s, stream_path); });
  platform_.set_paths(cut_node, path_state::silent);
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  const time_point ended_at = monotonic_now();
  nodes_[other_node].reset();
  load.join();
  const double served = share_served(attempts, cut_node, ended_at - 200ms, ended_at + 2s);
  EXPECT_GE(served, min_served_ratio);
  for (const first_attempt& a : attempts) {
    EXPECT_TRUE(a.status != 200 || a.is_whole);
  }
  nodes_.clear();
}

// Guards against a working replica that is dissolved on the word of a peer that is cut off itself.
TEST_F(HostedCutOfThree, APeerThatReachesNoTargetIsNoWitness) {
  ASSERT_TRUE(both_nodes_serve());
  const std::string head = platform_.find_member(true);
  const std::size_t replicas = platform_.count_serving_replicas();
  platform_.set_paths(2, path_state::silent);
  std::vector<first_attempt> attempts;
  std::thread load([&] { attempts = send_load(4s, stream_path); });
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  platform_.set_paths(cut_node, path_state::silent, head);
  load.join();
  EXPECT_EQ(platform_.find_member(true), head);
  EXPECT_EQ(platform_.count_serving_replicas(), replicas);
}

}  // namespace
}  // namespace arbutus::testing_support
