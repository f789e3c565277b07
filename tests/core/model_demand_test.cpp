// Tests how demand is counted and summed over nodes.
#include "capacity/model_demand.h"

#include <gtest/gtest.h>

namespace arbutus {
namespace {

constexpr time_point start{1000s};
const service_id service{"s"};
const demand_key urgent{{service, model_id{"m"}}, 0};

TEST(ModelDemand, ARateThatEndsIsForgottenWithinSeconds) {
  demand_table table;
  for (int i = 0; i < 400; ++i) {
    table.count_call(start + i * 10ms, urgent, {600, 100}, 250ms);
  }
  const demand_rate rate = table.own(start + 4s).at(urgent);
  EXPECT_NEAR(rate.calls_per_second, 100, 5);
  EXPECT_NEAR(rate.prompt_tokens_per_second, 60'000, 3000);
  EXPECT_DOUBLE_EQ(rate.latency_objective_s, 0.25);
  EXPECT_LT(table.own(start + 9s)[urgent].calls_per_second, 1);
}

// Guards against calls of one service that count as demand for the model of the same name of
// another, so that its calls are refused or its replicas closed.
TEST(ModelDemand, ModelsOfOneNameAreCountedByService) {
  const model_key desk{service_id{"desk-llm"}, model_id{"m"}};
  const model_key night{service_id{"night-llm"}, model_id{"m"}};
  demand_table table;
  for (int i = 0; i < 400; ++i) {
    table.count_call(start + i * 10ms, {desk, 0}, {600, 100}, 250ms);
  }
  const model_demand own = table.own(start + 4s);
  EXPECT_NEAR(total_demand(own, desk).calls_per_second, 100, 5);
  EXPECT_EQ(total_demand(own, night).calls_per_second, 0);
}

// Guards against demand that is lost, or counted twice, while some nodes are of a release that does
// not tell the service.
TEST(ModelDemand, DemandWithoutServiceIsThatOfTheServiceWithTheModel) {
  service_spec plain;
  plain.id = service_id{"api"};
  service_spec of_model;
  of_model.id = service;
  of_model.engine.emplace();
  of_model.engine->models.push_back({.id = urgent.model.model});
  const service_map services(1, {}, {plain, of_model}, std::nullopt, {});
  const demand_rate ten{10, 6000, 1000, 0.25};
  const model_demand told = {{{{{}, urgent.model.model}, 0}, ten},
                             {{{{}, model_id{"unknown"}}, 0}, ten},
                             {{{service_id{"other"}, urgent.model.model}, 0}, ten}};
  const model_demand demand = with_services(told, services);
  EXPECT_EQ(demand.size(), 2U);
  EXPECT_DOUBLE_EQ(total_demand(demand, urgent.model).calls_per_second, 10);
}

// While the hub changes, a node has the sum of the old hub beside reports of the same nodes.
TEST(ModelDemand, OverlappingSumsAreNotAdded) {
  demand_table table;
  const model_demand ten{{urgent, {10, 6000, 1000, 0.25}}};
  const model_demand thirty{{urgent, {30, 18000, 3000, 0.25}}};
  table.set_peer_demand(start, node_id{"n1"}, load_scope::node, ten);
  table.set_peer_demand(start, node_id{"h2"}, load_scope::data_centre, ten);
  table.set_peer_demand(start, node_id{"h1"}, load_scope::deployment, thirty);
  EXPECT_DOUBLE_EQ(table.at_home(start).at(urgent).calls_per_second, 10);
  EXPECT_DOUBLE_EQ(table.all(start).at(urgent).calls_per_second, 30);
  EXPECT_TRUE(table.all(start + demand_table::validity).empty());
}

}  // namespace
}  // namespace arbutus
