// Limits the processor time that the replica controller of a hub takes from its heartbeats.
#include <gtest/gtest.h>

#include <ctime>
#include <variant>

#include "capacity/replica_controller.h"
#include "process/hub_cost.h"

namespace arbutus {
namespace {

constexpr double hub_share_of_core = 0.25;
constexpr double heartbeat_interval_ms = 200;
constexpr time_point start{1h};
const service_id llm{"llm"};
const data_centre_id home{"dc-0"};

double processor_ms() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) * 1e3 + static_cast<double>(used.tv_nsec) * 1e-6;
}

service_spec two_small_models() {
  service_spec service;
  service.id = llm;
  engine_parameters engine;
  engine.slots = 26;
  engine.concurrent_loads = 6;
  engine.models = {{model_id{"large"}, 4, 0.67, 1.0, 16s, 1600ms},
                   {model_id{"small"}, 2, 0.33, 0.6, 12s, 1100ms}};
  service.engine = engine;
  return service;
}

target_record unloaded_engine(std::size_t data_centre, std::size_t domain, std::size_t index) {
  const std::string place = std::to_string(data_centre) + "-" + std::to_string(domain);
  target_record record;
  record.id = target_id{"i-" + place + "-" + std::to_string(index)};
  record.service = llm;
  record.address = {"10.0.0.1", static_cast<std::uint16_t>(1000 + index)};
  record.data_centre = data_centre_id{"dc-" + std::to_string(data_centre)};
  record.domain = fabric_domain_id{"domain-" + place};
  return record;
}

// Three data centres with 120 domains of 8 engines each, none of them loaded.
fleet_view unloaded_fleet() {
  fleet_view fleet;
  for (std::size_t data_centre = 0; data_centre < 3; ++data_centre) {
    for (std::size_t domain = 0; domain < 120; ++domain) {
      for (std::size_t index = 0; index < 8; ++index) {
        fleet.apply_record(start, unloaded_engine(data_centre, domain, index));
      }
    }
  }
  return fleet;
}

// Guards against a hub that sends no heartbeats for seconds while it decides which of 960 free
// engines load which model.
TEST(ReplicaControllerCost, LoadingAThousandEnginesDelaysNoHeartbeat) {
  const fleet_view fleet = unloaded_fleet();
  const service_spec service = two_small_models();
  replica_controller controller({}, "k", start);
  replica_controller::responsibilities own{{home}, 3};
  own.is_first_start = true;
  const controller_settings settings;
  time_point now = start + settings.cold_start_limit_duration;
  for (const controller_effect& e : controller.tick(now, fleet, service, own)) {
    if (const auto* query = std::get_if<report_request>(&e)) {
      controller.on_report(now, query->to, target_report{query->to});
    }
  }
  now += settings.report_retry_interval;
  const double began = processor_ms();
  const controller_effects effects = controller.tick(now, fleet, service, own);
  const double took = processor_ms() - began;
  EXPECT_GT(effects.size(), 900U);
  EXPECT_LT(took, heartbeat_interval_ms * hub_share_of_core);
}

// Guards against a hub whose ticks and plans alone use its processor up: 2,880 engines in small
// domains, of which one changes before each tick.
TEST(ReplicaControllerCost, TicksAndPlansLeaveHalfOfAHubsProcessor) {
  const hub_cost cost = measure_hub_cost({3, 120, 8, 4, 2});
  const auto interval_ms =
      std::max(20.0, to_milliseconds(replica_controller::min_tick_interval(cost.engines)));
  EXPECT_LT((cost.busy_tick_ms + cost.plan_ms) / interval_ms, hub_share_of_core / 2);
}

}  // namespace
}  // namespace arbutus
