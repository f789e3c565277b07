// Tests nodes whose store comes back from an older copy, over real sockets in one process.
#include "hosted_fixture.h"

namespace arbutus::testing_support {
namespace {

using standin::hosted_platform;

class HostedRestore : public hosted_fixture {
 protected:
  static constexpr std::size_t lost_versions = 40;

  int status_at(std::size_t node, const std::string& path, const std::string& id) {
    return send_request(node, path, id).response.status;
  }

  bool both_answer(int status, const std::string& path) {
    return eventually(
        [&] { return status_at(0, path, "s0") == status && status_at(1, path, "s1") == status; });
  }

  // Both nodes follow the store beyond its copy: they have a configuration that the copy lacks, and
  // the first one has read a row of the list of targets that the copy lacks.
  void go_beyond_the_copy() {
    platform_.copy_store();
    platform_.use_up_versions(lost_versions);
    platform_.write_target_record("not-an-engine", "{");
    platform_.write_next_configuration(standin::workspace_list::with_key, 1);
    ASSERT_TRUE(both_answer(200, hosted_platform::extra_route(0)));
    ASSERT_TRUE(eventually([&] {
      const std::string metrics = send_operator_request("GET", "/metrics").response.body;
      return metrics.find("arbutusworks_unreadable_records 1") != std::string::npos;
    }));
  }

  void restore(hosted_platform::rewrite written_again,
               const std::set<std::string>& lost_tables = {}) {
    platform_.set_store_down(true);
    std::this_thread::sleep_for(down_time);
    platform_.restore_store(written_again, lost_tables);
    platform_.set_store_down(false);
  }

  bool is_ready(std::size_t node) {
    http_request request;
    request.method = "GET";
    request.target = "/api/readyz";
    call_result result;
    runtime.run_on(0, [&] {
      result = client_.fetch(local(nodes_[node]->settings.listen.readiness_endpoint.port), request,
                             monotonic_now() + 2s);
    });
    return result.response.status == 200;
  }

  static constexpr std::chrono::milliseconds down_time{300};
};

// Guards against a withdrawn key that stays valid: its version's row has a number that was given
// out before.
TEST_F(HostedRestore, VersionUnderANumberGivenOutBeforeComesIntoForce) {
  ASSERT_TRUE(both_nodes_serve());
  go_beyond_the_copy();
  restore(hosted_platform::rewrite::everything);
  platform_.write_next_configuration(standin::workspace_list::without_keys);
  platform_.use_up_versions(2 * lost_versions);
  EXPECT_TRUE(both_answer(401, "/llm/x"));
}

// Guards against requests to a target whose leaving has a number that was given out before.
TEST_F(HostedRestore, TargetThatLeavesUnderANumberGivenOutBeforeGetsNoRequests) {
  ASSERT_TRUE(both_nodes_serve());
  go_beyond_the_copy();
  restore(hosted_platform::rewrite::everything);
  platform_.drain_plain_service();
  platform_.use_up_versions(2 * lost_versions);
  const auto serves_without_it = [&](std::size_t node) {
    return status_at(node, "/llm/x", "m") == 200 && status_at(node, "/card/x", "c") == 503;
  };
  EXPECT_TRUE(eventually([&] { return serves_without_it(0) && serves_without_it(1); }));
}

// Guards against nodes that refuse all callers until the store's count has passed their position.
TEST_F(HostedRestore, NodesStayReadyAndServe) {
  ASSERT_TRUE(both_nodes_serve());
  go_beyond_the_copy();
  restore(hosted_platform::rewrite::everything);
  const time_point until = monotonic_now() + 6s;
  for (int i = 0; monotonic_now() < until; ++i) {
    const std::size_t node = static_cast<std::size_t>(i) % nodes_.size();
    ASSERT_EQ(status_at(node, "/llm/x", "r" + std::to_string(i)), 200) << i;
    ASSERT_TRUE(is_ready(node)) << i;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

// Guards against a withdrawn key that is valid again, as the copy's configuration has it.
TEST_F(HostedRestore, WithdrawnKeyStaysWithdrawn) {
  ASSERT_TRUE(both_nodes_serve());
  platform_.copy_store();
  platform_.use_up_versions(lost_versions);
  platform_.write_next_configuration(standin::workspace_list::without_keys);
  ASSERT_TRUE(both_answer(401, "/llm/x"));
  restore(hosted_platform::rewrite::targets);
  const time_point until = monotonic_now() + 3s;
  for (int i = 0; monotonic_now() < until; ++i) {
    ASSERT_NE(status_at(static_cast<std::size_t>(i) % nodes_.size(), "/llm/x", "w"), 200) << i;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

// Guards against a leaving target that gets requests again, as the copy has it from before.
TEST_F(HostedRestore, LeavingTargetStaysLeftAlone) {
  ASSERT_TRUE(both_nodes_serve());
  platform_.copy_store();
  platform_.use_up_versions(lost_versions);
  platform_.drain_plain_service();
  ASSERT_TRUE(both_answer(503, "/card/x"));
  restore(hosted_platform::rewrite::nothing);
  const time_point until = monotonic_now() + 2s;
  for (int i = 0; monotonic_now() < until; ++i) {
    ASSERT_NE(status_at(static_cast<std::size_t>(i) % nodes_.size(), "/card/x", "l"), 200) << i;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

// Guards against a node that starts from the copy and keeps its older configuration, though its
// hub knows a newer one.
TEST_F(HostedRestore, NodeThatStartsFromTheCopyGetsTheNewestConfiguration) {
  ASSERT_TRUE(both_nodes_serve());
  go_beyond_the_copy();
  restore(hosted_platform::rewrite::targets);
  nodes_.push_back(std::make_unique<test_node>("edge-2", platform_.store_port()));
  EXPECT_TRUE(
      eventually([&] { return status_at(2, hosted_platform::extra_route(0), "started") == 200; }));
}

// Guards against a hub that starts from the copy and keeps its older configuration, though the
// nodes that it leads know a newer one.
TEST_F(HostedRestore, HubThatStartsFromTheCopyGetsTheNewestConfiguration) {
  ASSERT_TRUE(both_nodes_serve());
  go_beyond_the_copy();
  restore(hosted_platform::rewrite::targets);
  test_node& hub = *nodes_[0];
  hub.node.reset();
  hub.node = std::make_unique<hosted_node>(hub.settings);
  hub.node->start();
  EXPECT_TRUE(
      eventually([&] { return status_at(0, hosted_platform::extra_route(0), "started") == 200; }));
}

// Guards against nodes that others no longer find, as nobody else writes their rows again.
TEST_F(HostedRestore, RowsOfNodesAreWrittenAgain) {
  ASSERT_TRUE(both_nodes_serve());
  go_beyond_the_copy();
  restore(hosted_platform::rewrite::everything, {"nodes"});
  EXPECT_TRUE(eventually([&] { return platform_.rows_of_table("nodes") == nodes_.size(); }));
}

}  // namespace
}  // namespace arbutus::testing_support
