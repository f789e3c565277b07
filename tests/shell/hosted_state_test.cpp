// Tests the state that the components of a hosted node share.
#include "node/hosted_state.h"

#include <gtest/gtest.h>

#include "connection_fixture.h"

namespace arbutus {
namespace {

using testing_support::connection_fixture;

class HostedState : public connection_fixture {
 protected:
  static std::vector<node_record> nodes(std::size_t count) {
    std::vector<node_record> result;
    for (std::size_t i = 0; i < count; ++i) {
      result.push_back({node_id{"edge-" + std::to_string(i)}, data_centre_id{"lab-a"}, {}, {}, {}});
    }
    return result;
  }
  static hosted_settings settings() {
    hosted_settings result;
    result.id = node_id{"edge-0"};
    result.data_centre = data_centre_id{"lab-a"};
    result.cold_start = true;
    return result;
  }
  std::size_t nodes_at(time_point now) {
    return state_.retries_of(now, service_id{"llm"}).usage(now).nodes;
  }

  const time_point now_{1000s};
  hosted_state state_{now_, settings(), runtime};
};

// Guards against nodes that divide the burst of retries by the number of nodes at their first call.
TEST_F(HostedState, NodesThatAreAddedGetAShareOfTheRetryBurst) {
  state_.peers.set_records(nodes(6));
  EXPECT_EQ(nodes_at(now_), 6);
  state_.peers.set_records(nodes(76));
  EXPECT_EQ(nodes_at(now_ + 1s), 76);
}

// Guards against a node that takes the deployment for small before it has read the rows of the
// nodes.
TEST_F(HostedState, NoRetryBurstIsSharedBeforeTheNodesAreKnown) {
  EXPECT_EQ(nodes_at(now_), 0);
  EXPECT_EQ(state_.retries_of(now_, service_id{"llm"}).usage(now_).limit, 0);
}

// Guards against a node whose hub keeps it current, and that reads the rows of new nodes much
// later.
TEST_F(HostedState, NewNodesThatOnlyTheHubKnowsShareTheRetryBurst) {
  state_.peers.set_records(nodes(6));
  state_.peers.received(now_, node_id{"edge-1"}, {.hub = true, .stamp_us = 1, .known_nodes = 76});
  EXPECT_EQ(nodes_at(now_), 76);
}

// Guards against nodes of a cut that take those on the other side for gone, and spend their share.
TEST_F(HostedState, FewerNodesShareTheRetryBurstOnlyAfterAWindow) {
  state_.peers.set_records(nodes(76));
  EXPECT_EQ(nodes_at(now_), 76);
  state_.peers.set_records(nodes(20));
  EXPECT_EQ(nodes_at(now_ + 1s), 76);
  EXPECT_EQ(nodes_at(now_ + 10s), 76);
  EXPECT_EQ(nodes_at(now_ + 12s), 20);
}

// Guards against connections that use up the descriptors, so that no target can be reached.
TEST_F(HostedState, ConnectionsLeaveDescriptorsForTargets) {
  hosted_settings of = settings();
  EXPECT_EQ(accepted_connections(of).callers, 3000U);
  EXPECT_EQ(max_buffered_bytes(of), 0U);
  of.memory_mb = 112;
  EXPECT_EQ(max_buffered_bytes(of), 28UL * 1024 * 1024);
  for (const std::uint32_t descriptors : {600U, 2870U, 4100U}) {
    of.file_descriptors = descriptors;
    const connection_share accepted = accepted_connections(of);
    EXPECT_LE(accepted.callers + accepted.peers, descriptors * 2 / 3);
    EXPECT_GE(accepted.callers, descriptors / 2);
  }
}

}  // namespace
}  // namespace arbutus
