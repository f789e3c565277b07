// Tests nodes whose store holds rows of other writers in each table that a node reads.
#include <gtest/gtest.h>

#include "hosted_fixture.h"

namespace arbutus {
namespace {

using testing_support::hosted_fixture;
using testing_support::test_node;

std::string nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::vector<std::string> odd_values() {
  const std::string deep = nested(100'000);
  const std::string wide = "18446744073709551616";
  return {
      "",
      "{",
      std::string("\0\xff\xfe", 3),
      deep,
      std::string(100'000, '\x91'),  // MessagePack, nested
      R"({"service":"llm","address":"127.0.0.1:70000","zone":"lab-a","slots":9})",
      R"({"service":"llm","address":"127.0.0.1:-1","zone":"lab-a","slots":9})",
      R"({"service":"llm","address":"127.0.0.1:1","zone":"lab-a","slots":)" + wide + "}",
      R"({"service":"llm","address":"127.0.0.1:1","zone":"lab-a","slots":1e999})",
      R"({"service":"llm","address":"127.0.0.1:1","zone":"lab-a","slots":9,"group":)" + deep + "}",
      R"(["lab-a","127.0.0.1:70000",1,1,"127.0.0.1:1",1])",
      R"(["lab-a","127.0.0.1:1",1e300,-1,5,1e300])",
      R"(["lab-a","127.0.0.1:1",)" + wide + "," + wide + R"(,"x",)" + wide + "]",
      R"(["lab-a",)" + deep + "]",
      R"({"version":)" + wide + R"(,"routes":)" + deep + "}",
      R"({"version":1e300})",
  };
}

class HostedOddRows : public hosted_fixture {
 protected:
  void write_odd_rows() {
    int number = 0;
    for (const std::string& value : odd_values()) {
      const std::string key = "odd-" + std::to_string(++number);
      for (const char* table : {"servers", "nodes", "poison", "op", "status"}) {
        platform_.write_row(table, key, value);
      }
      platform_.write_row("op", "evacuate/" + key, value);
    }
  }
  bool both_follow_a_new_version() {
    platform_.write_next_configuration(standin::workspace_list::with_key, 1);
    const std::string path = standin::hosted_platform::extra_route(0) + "x";
    return eventually([&] {
      return send_request(0, path, "new-0").response.status == 200 &&
             send_request(1, path, "new-1").response.status == 200;
    });
  }
};

// Guards against rows of other writers that end the nodes or stop what they follow.
TEST_F(HostedOddRows, NodesGoOnAndFollowTheRowsBeside) {
  ASSERT_TRUE(both_nodes_serve());
  write_odd_rows();
  EXPECT_TRUE(both_follow_a_new_version());
  platform_.kill_engine(platform_.find_member(false));
  EXPECT_TRUE(eventually([this] { return platform_.count_serving_replicas() >= 2; }));
  EXPECT_EQ(send_request(0, "/llm/x", "beside").response.body, expected_stream("beside"));
}

// Guards against operators who cannot tell from the log why a node is not found.
TEST_F(HostedOddRows, AnUnreadableRowOfANodeIsNamed) {
  ASSERT_TRUE(both_nodes_serve());
  platform_.write_row("nodes", "odd", R"(["lab-a","127.0.0.1:70000"])");
  const std::string counter = "arbutusworks_unreadable_node_rows";
  const auto count = [&] {
    const std::string text = send_operator_request("GET", "/metrics").response.body;
    const std::size_t at = text.find("\n" + counter + " ");
    return at == std::string::npos ? 0 : std::stoi(text.substr(at + counter.size() + 2));
  };
  EXPECT_TRUE(eventually([&] { return count() == 1; }));
}

// Guards against rows of other writers that a starting node cannot read past.
TEST_F(HostedOddRows, ANodeStartsBesideThem) {
  ASSERT_TRUE(both_nodes_serve());
  write_odd_rows();
  nodes_[1].reset();
  nodes_[1] = std::make_unique<test_node>("edge-1", platform_.store_port());
  EXPECT_TRUE(both_nodes_serve());
  EXPECT_TRUE(both_follow_a_new_version());
}

}  // namespace
}  // namespace arbutus
