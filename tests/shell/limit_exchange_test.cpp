// Tests when a node sends leases of rate limits, and to which peers.
#include "node/limit_exchange.h"

#include <gtest/gtest.h>

#include <memory>

namespace arbutus {
namespace {

constexpr time_point start{100s};
const node_id self{"a"};
const node_id near_peer{"b"};
const node_id far_peer{"c"};

std::unique_ptr<limit_exchange> make(double requests_per_second) {
  configuration config;
  config.version = 1;
  config.assets.data_centres = {{data_centre_id{"x"}, "r"}, {data_centre_id{"y"}, "r"}};
  config.assets.nodes = {{self, data_centre_id{"x"}, {}, {}},
                         {near_peer, data_centre_id{"x"}, {}, {}},
                         {far_peer, data_centre_id{"y"}, {}, {}}};
  workspace_rule workspace;
  workspace.id = workspace_id{"desk"};
  workspace.requests_per_second = requests_per_second;
  workspace.burst = requests_per_second;
  config.desired.workspaces = {workspace};
  auto exchange = std::make_unique<limit_exchange>(start, self);
  exchange->configure(start, config);
  return exchange;
}

std::vector<node_id> receivers(const std::vector<peer_send>& messages) {
  std::vector<node_id> nodes;
  for (const peer_send& m : messages) {
    nodes.push_back(m.to);
  }
  return nodes;
}

// Guards against limits doubling the traffic between nodes: each second a heartbeat and, at another
// time, a message about limits go to the same peer, as two acknowledged segments instead of one.
TEST(limit_exchange, limits_sent_with_a_heartbeat_are_not_sent_again) {
  const auto exchange = make(10);
  const auto with_heartbeat = exchange->piggyback_message(start + 500ms, near_peer);
  ASSERT_TRUE(with_heartbeat);
  EXPECT_EQ(with_heartbeat->to, near_peer);
  EXPECT_FALSE(exchange->piggyback_message(start + 600ms, near_peer));
  EXPECT_EQ(receivers(exchange->take_messages(start + 1s)), (std::vector<node_id>{far_peer}));
  // If no heartbeat is sent in the meantime, both peers get a separate message about limits.
  EXPECT_EQ(receivers(exchange->take_messages(start + 2s)),
            (std::vector<node_id>{near_peer, far_peer}));
  EXPECT_TRUE(exchange->piggyback_message(start + 2500ms, near_peer));
}

// Guards against bytes on a link that end the process: the reader of MessagePack recurses.
TEST(limit_exchange, a_deeply_nested_message_is_rejected) {
  EXPECT_FALSE(is_ok(decode_limit_message(std::string(1'000'000, '\x91'))));
}

TEST(limit_exchange, sends_nothing_without_limits_or_to_unknown_peers) {
  const auto none = make(0);
  EXPECT_FALSE(none->piggyback_message(start, near_peer));
  EXPECT_TRUE(none->take_messages(start + 1s).empty());
  const auto some = make(10);
  EXPECT_FALSE(some->piggyback_message(start, node_id{"stranger"}));
}

}  // namespace
}  // namespace arbutus
