// Tests the state that the components of a hosted node share.
#include "node/hosted_state.h"

#include <gtest/gtest.h>

#include "connection_fixture.h"

namespace arbutus {
namespace {

using testing_support::connection_fixture;

const model_id shared_model{"m"};

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

// Guards against a word in the settings that gives each later process the burst of retries at once.
TEST_F(HostedState, OnlyAProvenFirstStartGivesTheRetryBurstAtOnce) {
  state_.peers.set_records(nodes(6));
  const auto limit_at = [this](time_point now) {
    return state_.retries_of(now, service_id{"llm"}).usage(now).limit;
  };
  EXPECT_EQ(limit_at(now_), 0);
  state_.start.note_own_row_created(now_);
  state_.start.note_replicas(now_, false);
  EXPECT_EQ(limit_at(now_), 0);
  state_.start.note_deployment_age(now_, 100ms);
  EXPECT_GT(limit_at(now_), 0);
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

// Replicas of one model of this name, at targets of the service; each member is in a domain of its
// own.
void add_replica(fleet_view& fleet, const service_id& service, const std::string& name,
                 std::uint32_t size) {
  for (std::uint32_t rank = 0; rank < size; ++rank) {
    target_record record;
    record.id = target_id{name + "-" + std::to_string(rank)};
    record.service = service;
    record.address = {"127.0.0.1", static_cast<std::uint16_t>(7000 + fleet.all().size())};
    record.data_centre = data_centre_id{"lab-a"};
    record.slots = 4;
    record.loaded = shared_model;
    record.member_of =
        membership{{name, 1}, rank, rank == 0 ? member_state::open : member_state::ready};
    fleet.apply_record(time_point{900s}, record);
  }
}

service_spec model_service(const service_id& id, std::uint32_t size) {
  service_spec service;
  service.id = id;
  service.engine.emplace();
  service.engine->models.push_back({.id = shared_model, .size = size});
  return service;
}

std::vector<target_id> heads_of(const std::vector<serving_replica>& replicas) {
  std::vector<target_id> heads;
  for (const serving_replica& replica : replicas) {
    heads.push_back(replica.head);
  }
  return heads;
}

// Guards against requests that run at another service, whose model has the same name.
TEST_F(HostedState, ServicesWithModelsOfOneNameHaveReplicasOfTheirOwn) {
  const service_id desk{"desk-llm"};
  const service_id night{"night-llm"};
  const service_spec of_desk = model_service(desk, 2);
  const service_spec of_night = model_service(night, 3);
  state_.map = std::make_shared<const service_map>(1, std::vector<route>{},
                                                   std::vector<service_spec>{of_desk, of_night},
                                                   std::vector<workspace_spec>{}, caller_limits{});
  add_replica(state_.fleet, desk, "d", 2);
  add_replica(state_.fleet, night, "n", 3);
  const std::vector<target_id> desk_heads = {target_id{"d-0"}};
  const std::vector<target_id> night_heads = {target_id{"n-0"}};
  EXPECT_EQ(heads_of(state_.replicas(of_desk, shared_model)), desk_heads);
  EXPECT_EQ(heads_of(state_.replicas(of_night, shared_model)), night_heads);
  EXPECT_EQ(heads_of(state_.replicas(of_desk, shared_model)), desk_heads);
}

// Guards against a call of an older version, with another size of the model, that decides which
// replicas the calls of the version in force find.
TEST_F(HostedState, CallsOfAnOlderVersionDoNotChangeWhichReplicasServe) {
  const service_id desk{"desk-llm"};
  const service_spec before = model_service(desk, 3);
  const service_spec in_force = model_service(desk, 2);
  state_.map = std::make_shared<const service_map>(2, std::vector<route>{},
                                                   std::vector<service_spec>{in_force},
                                                   std::vector<workspace_spec>{}, caller_limits{});
  add_replica(state_.fleet, desk, "d", 2);
  EXPECT_TRUE(state_.replicas(before, shared_model).empty());
  EXPECT_EQ(heads_of(state_.replicas(in_force, shared_model)),
            std::vector<target_id>{target_id{"d-0"}});
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
