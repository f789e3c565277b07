// Tests whom nodes serve while versions remove the workspaces and bring them back, over real
// sockets in one process.
#include "hosted_place_fixture.h"

namespace arbutus::testing_support {
namespace {

using standin::workspace_list;

constexpr const char* own_key = standin::hosted_caller_key;
constexpr const char* unknown_key = "key-of-nobody";
const std::string public_path = std::string(standin::public_prefix) + "1";

// Two nodes of one data centre: the second one gets versions from the first one, in parts.
class HostedWorkspaces : public hosted_place_fixture {
 protected:
  HostedWorkspaces() : hosted_place_fixture(standin::hosted_platform_settings{}) {}

  void write(workspace_list workspaces) {
    const double version = metric(0, "arbutusworks_config_version");
    platform_.write_next_configuration(workspaces);
    ASSERT_TRUE(all_report("arbutusworks_config_version", version + 1));
  }

  int status_of(std::size_t node, const std::string& path, const std::string& key) {
    return send_request(node, path, next_id(node), key).response.status;
  }

  int status_without_key(std::size_t node, const std::string& path) {
    http_request request = make_request(path, next_id(node));
    request.headers.remove("Authorization");
    call_result result;
    runtime.run_on(0, [&] {
      result = client_.fetch(local(nodes_[node]->settings.listen.caller_endpoint.port), request,
                             monotonic_now() + 2s);
    });
    return result.response.status;
  }

  // Expects these answers to a known key and to all others on a route that is not public.
  void expect_answers(int to_own_key, int to_others) {
    for (std::size_t node = 0; node < nodes_.size(); ++node) {
      EXPECT_EQ(status_of(node, call_path, own_key), to_own_key) << node;
      EXPECT_EQ(status_of(node, call_path, unknown_key), to_others) << node;
      EXPECT_EQ(status_without_key(node, call_path), to_others) << node;
      EXPECT_EQ(status_without_key(node, public_path), 200) << node;
    }
  }

  void add_node() {
    nodes_.push_back(std::make_unique<test_node>("edge-new", platform_.store_port()));
  }
};

// Guards against a deployment that serves everybody once its last workspace has been removed.
TEST_F(HostedWorkspaces, NoKeyIsAcceptedAfterTheLastWorkspaceIsRemoved) {
  ASSERT_TRUE(both_nodes_serve());
  expect_answers(200, 401);
  write(workspace_list::without_keys);
  expect_answers(401, 401);
  write(workspace_list::empty);
  expect_answers(401, 401);
  write(workspace_list::with_key);
  expect_answers(200, 401);
}

// Guards against a node that starts after the last workspace has been removed and serves everybody.
TEST_F(HostedWorkspaces, NodesThatStartWithoutAnyWorkspaceAcceptNoKey) {
  ASSERT_TRUE(both_nodes_serve());
  write(workspace_list::empty);
  add_node();
  ASSERT_TRUE(eventually([&] { return status_without_key(2, public_path) == 200; }));
  expect_answers(401, 401);
}

// Guards against a version without a list of workspaces that is taken for one with an empty list.
TEST_F(HostedWorkspaces, EverybodyIsServedWithoutAListOfWorkspaces) {
  ASSERT_TRUE(both_nodes_serve());
  write(workspace_list::empty);
  write(workspace_list::absent);
  expect_answers(200, 200);
  write(workspace_list::empty);
  expect_answers(401, 401);
}

}  // namespace
}  // namespace arbutus::testing_support
