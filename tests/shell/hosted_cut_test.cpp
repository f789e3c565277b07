// Tests nodes that lose their paths to the targets while callers, the store and the other nodes
// still reach them; over real sockets.
#include "hosted_fixture.h"

namespace arbutus::testing_support {
namespace {

using standin::path_state;

constexpr const char* stream_path = "/llm/1";
constexpr const char* call_path = "/card/1";
constexpr std::size_t cut_node = 0;
constexpr std::size_t other_node = 1;
constexpr duration cut_duration = 3s;
// From this time after a cut began, callers of the nodes that are cut have to be served.
constexpr duration detection_limit = 1s;
// They have to be served at least this often, compared with the callers of the other nodes.
constexpr double min_served_ratio = 0.9;

standin::hosted_platform_settings platform_with_paths() {
  standin::hosted_platform_settings settings;
  settings.data_centres = {"lab-a", "lab-b"};
  settings.nodes_with_paths = 2;
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
  HostedCut() : hosted_fixture(platform_with_paths()) {}

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
    constexpr std::size_t callers_per_node = 4;
    const std::size_t callers = callers_per_node * nodes_.size();
    std::vector<std::vector<first_attempt>> attempts(callers);
    count_statuses(callers, time, 10ms, [&](std::size_t caller, int) {
      attempts[caller].push_back(ask(caller % nodes_.size(), path));
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

}  // namespace
}  // namespace arbutus::testing_support
