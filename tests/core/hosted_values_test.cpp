// Tests the smaller value types of a node on the hosted platform: stall detection, reports of lost
// targets, log volume, instance choice, domain layouts, feeds, heartbeats, peers, the fleet view
// and settings.
#include <gtest/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>

#include "capacity/domain_layout.h"
#include "process/feed_log.h"
#include "process/fleet_view.h"
#include "process/hosted_settings.h"
#include "process/log_budget.h"
#include "process/lost_target_reports.h"
#include "process/node_heartbeat.h"
#include "process/peer_table.h"
#include "process/stall_monitor.h"
#include "request/instance_choice.h"

namespace arbutus {
namespace {

constexpr time_point start{100s};

// ---- stalled replicas ----

const model_key streams_model{service_id{"s"}, model_id{"m"}};

TEST(StallMonitor, ReportsAReplicaWhoseStreamsAllStop) {
  // Guards against streams that hang for 4 s until callers give up: a member of a replica dies, and
  // the head still accepts requests but sends nothing. The engine's own report is not enough.
  stall_monitor monitor;
  const target_id head{"h"};
  monitor.on_stream_sent(start, head, streams_model, 100ms);
  monitor.on_first_event(head, 100ms, 100ms);
  monitor.on_event(start + 100ms, head, 50ms);
  EXPECT_TRUE(monitor.stalled(start + 250ms).empty());
  EXPECT_EQ(monitor.stalled(start + 300ms), std::vector<target_id>{head});
}

TEST(StallMonitor, ExpectedLongGapIsNoStall) {
  stall_monitor monitor;
  const target_id head{"h"};
  monitor.on_stream_sent(start, head, streams_model, 100ms);
  monitor.on_first_event(head, 100ms, 100ms);
  monitor.on_event(start + 100ms, head, 350ms);
  EXPECT_TRUE(monitor.stalled(start + 500ms).empty());
}

TEST(StallMonitor, HealthyReplicaIsNotRecheckedImmediately) {
  stall_monitor monitor;
  const target_id head{"h"};
  monitor.on_stream_sent(start, head, streams_model, 10ms);
  EXPECT_EQ(monitor.stalled(start + 1s).size(), 1U);
  monitor.found_healthy(start + 1s, head);
  EXPECT_TRUE(monitor.stalled(start + 1200ms).empty());
  EXPECT_EQ(monitor.stalled(start + 2s).size(), 1U);
  monitor.on_stream_ended(start + 2s, head, false);
  EXPECT_TRUE(monitor.stalled(start + 3s).empty());
}

TEST(StallMonitor, OverloadedHealthyReplicaIsRarelyChecked) {
  // Guards against 1,000 checks a second, nearly all of healthy replicas: a replica is fuller than
  // this node knows, and its passes take 240 ms where 60 ms are expected. The expected gap alone is
  // not enough.
  stall_monitor monitor;
  const target_id head{"h"};
  monitor.on_stream_sent(start, head, streams_model, 100ms);
  monitor.on_first_event(head, 100ms, 100ms);
  int alarms = 0;
  time_point now = start;
  for (int event = 0; event < 100; ++event) {
    monitor.on_event(now, head, 60ms);
    for (int tick = 0; tick < 12; ++tick) {
      now += 20ms;
      if (!monitor.stalled(now).empty()) {
        ++alarms;
        monitor.found_healthy(now, head);
      }
    }
  }
  EXPECT_LE(alarms, 1);
  // When a member of the replica dies, the stall is still noticed before the caller sees a long
  // gap.
  now += 260ms;
  EXPECT_EQ(monitor.stalled(now).size(), 1U);
}

TEST(StallMonitor, LearnsSlowFirstEventsPerModel) {
  // Guards against a check for nearly every request of an overloaded model: first events take
  // 500 ms where 100 ms are expected, with one stream per head at a time, so the monitor has to
  // learn from streams that have ended.
  stall_monitor monitor;
  int alarms = 0;
  for (int i = 0; i < 20; ++i) {
    const target_id head{"h" + std::to_string(i % 5)};
    const time_point sent = start + i * 1s;
    monitor.on_stream_sent(sent, head, streams_model, 100ms);
    for (duration waited = 0ms; waited < 550ms; waited += 20ms) {
      if (!monitor.stalled(sent + waited).empty()) {
        ++alarms;
        monitor.found_healthy(sent + waited, head);
      }
    }
    monitor.on_first_event(head, 550ms, 100ms);
    monitor.on_stream_ended(sent + 600ms, head, true);
  }
  EXPECT_LE(alarms, 1);
}

// Guards against checks for nearly every request of a service whose model has the name of another
// service's faster one, and against late checks for the other.
TEST(StallMonitor, LearnsFirstEventsByService) {
  const model_key other{service_id{"other"}, streams_model.model};
  stall_monitor monitor;
  const target_id head{"h"};
  for (int i = 0; i < 20; ++i) {
    const time_point sent = start + i * 1s;
    monitor.on_stream_sent(sent, head, streams_model, 100ms);
    monitor.on_first_event(head, 550ms, 100ms);
    monitor.on_stream_ended(sent + 600ms, head, true);
  }
  const time_point sent = start + 30s;
  monitor.on_stream_sent(sent, target_id{"slow"}, streams_model, 100ms);
  monitor.on_stream_sent(sent, target_id{"fast"}, other, 100ms);
  EXPECT_EQ(monitor.stalled(sent + 600ms), std::vector<target_id>{target_id{"fast"}});
}

TEST(StallMonitor, RechecksBackOffExponentially) {
  stall_monitor monitor;
  const target_id head{"h"};
  monitor.on_stream_sent(start, head, streams_model, 50ms);
  int alarms = 0;
  for (time_point now = start; now < start + 4s; now += 20ms) {
    if (!monitor.stalled(now).empty()) {
      ++alarms;
      monitor.found_healthy(now, head);
    }
  }
  EXPECT_EQ(alarms, 4);
}

// ---- lost targets reported by peers ----

TEST(Suspicions, ExpireUnlessRepeated) {
  lost_target_reports suspected;
  const node_id hub{"b1"};
  suspected.store_report(start, node_id{"a2"}, false, {target_id{"x"}});
  suspected.store_report(start, hub, true, {target_id{"y"}});
  EXPECT_TRUE(suspected.contains(start, target_id{"x"}));
  EXPECT_TRUE(suspected.contains_any(start, {target_id{"z"}, target_id{"y"}}));
  EXPECT_FALSE(suspected.contains(start, target_id{"z"}));
  // Of the lost targets that peers report, only those that hubs report are passed on, and those
  // only within the data centre; otherwise two hubs would keep each other's reports alive.
  EXPECT_EQ(suspected.reported_by_hubs(start), std::set<target_id>{target_id{"y"}});
  // The hub withdraws its report of the lost target.
  suspected.store_report(start + 200ms, hub, true, {});
  EXPECT_FALSE(suspected.contains(start + 200ms, target_id{"y"}));
  // A report of lost targets that is not repeated expires, as when the reporting peer has ended.
  EXPECT_FALSE(suspected.contains(start + lost_target_reports::report_retention, target_id{"x"}));
}

// ---- limits on the volume of the log ----

// Multiples of this step are spread evenly over all 64-bit hashes.
constexpr std::uint64_t hash_step = 0x9E3779B97F4A7C15;

TEST(LogBudget, WritesEverythingBelowTheRate) {
  log_budget budget(10'000);
  for (int i = 0; i < 100; ++i) {
    const time_point now = start + i * 100ms;
    EXPECT_TRUE(budget.should_log_request(now, ~0ULL));
    EXPECT_TRUE(budget.spend(now, 500));
  }
  EXPECT_EQ(budget.requests_suppressed(), 0U);
}

TEST(LogBudget, SuppressesWholeRequestsAboveTheRate) {
  // Guards against incomplete traces of requests: a node refuses 2,000 requests a second with two
  // lines of 300 bytes each, the log takes 64 KB a second, and lines are dropped individually.
  log_budget budget(64 * 1024);
  std::uint64_t kept = 0;
  std::uint64_t bytes = 0;
  constexpr int seconds = 20;
  for (int i = 0; i < seconds * 2000; ++i) {
    const time_point now = start + i * 500us;
    if (!budget.should_log_request(now, static_cast<std::uint64_t>(i) * hash_step)) {
      continue;
    }
    ++kept;
    for (int line = 0; line < 2; ++line) {
      ASSERT_TRUE(budget.spend(now, 300)) << "a line of a request that is kept";
      bytes += 300;
    }
  }
  EXPECT_LE(bytes, (seconds + 3) * 64 * 1024U);
  EXPECT_GE(bytes, seconds * 60 * 1024U);
  EXPECT_EQ(budget.requests_suppressed(), seconds * 2000 - kept);
  EXPECT_EQ(budget.lines_suppressed(), 0U);
}

TEST(LogBudget, NodeStateIsLoggedWhileRequestsAreSuppressed) {
  log_budget budget(1000);
  ASSERT_TRUE(budget.spend(start, 2000));
  EXPECT_FALSE(budget.should_log_request(start, hash_step));
  EXPECT_TRUE(budget.spend(start, 200));
  // Lines that belong to no request are limited, too: a fault that logs in a loop must not fill the
  // log collector's disk.
  while (budget.spend(start, 200)) {
  }
  EXPECT_EQ(budget.lines_suppressed(), 1U);
  EXPECT_TRUE(budget.spend(start + 2s, 200));
}

// ---- instances of services that are not models ----

service_instance instance(const std::string& id) {
  return {target_id{id}, {"10.0.0.1", 1}, data_centre_id{"a"}, 6};
}

TEST(InstanceChoice, AvoidsAFailingInstanceForAWhile) {
  // Guards against an instance that keeps getting its share of calls by its load alone, although it
  // fails some of them while its health check passes.
  instance_table table;
  const std::vector<service_instance> two = {instance("bad"), instance("good")};
  for (int i = 0; i < 3; ++i) {
    table.sent(two[0].id);
    table.ended(start, two[0].id, instance_call_outcome::failed);
  }
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(table.choose(start, two, data_centre_id{"a"}, {}), std::size_t{1});
    table.sent(two[1].id);
  }
  EXPECT_EQ(table.choose(start + 20s, two, data_centre_id{"a"}, {}), std::size_t{0});
}

TEST(InstanceChoice, UsesTheReportedLoad) {
  instance_table table;
  const std::vector<service_instance> two = {instance("x"), instance("y")};
  table.note_reported_load(start, two[0].id, 5);
  EXPECT_EQ(table.choose(start, two, data_centre_id{"a"}, {}), std::size_t{1});
  EXPECT_EQ(table.choose(start + 2s, two, data_centre_id{"a"}, {}), std::size_t{0});
}

// ---- how many replicas of each model a fabric domain holds ----

std::uint32_t total(const fleet_layout& layout, std::size_t model) {
  return std::accumulate(
      layout.begin(), layout.end(), 0U,
      [&](std::uint32_t sum, const auto& domain) { return sum + domain[model]; });
}

TEST(DomainLayout, DividesEnginesByModelWork) {
  const std::vector<layout_domain> domains(6, {{0, 0}, 9});
  const std::vector<layout_model> models = {{4, 0.57 / 4}, {3, 0.43 / 3}};
  const fleet_layout layout = plan_layout(domains, models);
  EXPECT_EQ(total(layout, 0) + total(layout, 1), 54U);
  EXPECT_GE(total(layout, 0), 24U);
  EXPECT_GE(total(layout, 1), 18U);
}

TEST(DomainLayout, AModelOfLargeReplicasIsNotStarved) {
  // A model of 16 engines and one of 4 have equal shares of the engines' time in six domains of 37.
  // Minimising the sum of work²/replicas gave the large model 4 replicas; the sum of work x
  // (work/replicas)^4 gave it 5 beside 29 of the small one, and its callers waited for slots.
  const std::vector<layout_domain> domains(6, {{0, 0}, 37});
  const std::vector<layout_model> models = {{16, 0.5 / 16}, {4, 0.5 / 4}};
  const fleet_layout layout = plan_layout(domains, models);
  double large = 0;
  double small = 0;
  for (const auto& domain : layout) {
    large += replicas_after_losses(domain[0], 37, 16, layout_settings{}.tolerated_losses);
    small += replicas_after_losses(domain[1], 37, 4, layout_settings{}.tolerated_losses);
  }
  EXPECT_GE(large, 6);
  EXPECT_GE(small, 22);
}

TEST(DomainLayout, CountsSurvivingReplicas) {
  EXPECT_DOUBLE_EQ(replicas_after_losses(9, 9, 3, 3), (3 + 2 + 2 + 2) / 4.0);
  EXPECT_DOUBLE_EQ(replicas_after_losses(3, 9, 4, 3), 0);
}

TEST(DomainLayout, AveragesOverRandomLosses) {
  // Five of eight engines for a model of 4: one replica without a loss and with one. Of two lost
  // engines, both are the model's in 10 of 28 cases; of three, at least two are in 40 of 56.
  EXPECT_DOUBLE_EQ(replicas_after_losses(5, 8, 4, 0), 1);
  EXPECT_DOUBLE_EQ(replicas_after_losses(5, 8, 4, 1), 1);
  EXPECT_NEAR(replicas_after_losses(5, 8, 4, 2), (1 + 1 + 18 / 28.0) / 3, 1e-9);
  EXPECT_NEAR(replicas_after_losses(5, 8, 4, 3), (1 + 1 + 18 / 28.0 + 16 / 56.0) / 4, 1e-9);
  // A domain of two engines that loses three engines has none left.
  EXPECT_NEAR(replicas_after_losses(2, 2, 2, 3), 0.25, 1e-9);
}

TEST(DomainLayout, LeftoverEnginesServeTheOtherModel) {
  // Domains of 8 that have lost an engine, models of 4 and 2. Seven engines for the model of 4 form
  // one replica and leave three idle.
  const std::vector<layout_domain> domains(6, {{0, 0}, 7});
  const std::vector<layout_model> models = {{4, 0.67 / 4}, {2, 0.33 / 2}};
  const fleet_layout layout = plan_layout(domains, models, {.tolerated_losses = 1});
  double large = 0;
  double small = 0;
  for (const auto& domain : layout) {
    large += replicas_after_losses(domain[0], 7, 4, 1);
    small += replicas_after_losses(domain[1], 7, 2, 1);
  }
  EXPECT_GE(large, 4);
  EXPECT_GE(small, 4);
}

// ---- feeds ----

TEST(FeedLog, ReturnsRowsAfterAPosition) {
  feed_log log;
  log.replace({{"a", "1", 5, false}, {"b", "1", 7, false}}, 10);
  log.apply({"b", "2", 12, false});
  log.apply({"a", "", 13, true});
  log.advance(13);
  const auto rows = log.since(10);
  ASSERT_EQ(rows.size(), 2U);
  EXPECT_EQ(rows[0].value, "2");
  EXPECT_TRUE(rows[1].removed);
  EXPECT_TRUE(log.since(13).empty());
}

TEST(FeedLog, NeedsTheFullListWhenHistoryIsMissing) {
  // Guards against routing to targets that left long ago: the hub ended, and the next one read the
  // full list and never saw the rows that had been removed before. Newer rows alone are not enough.
  feed_log log;
  log.replace({{"a", "1", 5, false}}, 10);
  EXPECT_TRUE(log.needs_snapshot(8));
  EXPECT_FALSE(log.needs_snapshot(10));
  EXPECT_EQ(log.since(8).size(), 1U);
}

// ---- heartbeats and peers ----

TEST(NodeHeartbeat, RoundTripsAndRejectsTruncation) {
  node_heartbeat message;
  message.data_centre = data_centre_id{"a"};
  message.hub = true;
  message.stamp_us = 123456;
  message.echo_us = 99;
  message.loads[target_id{"x"}] = {3, 500};
  message.lost = {target_id{"y"}};
  message.targets = feed_update{{{"x", "{}", 7, false}}, true, 9, 4, 20ms, true};
  message.follows_records = false;
  message.incarnation = "0a1b2c3d";
  message.serving_position = {"4e5f6a7b", 17};
  message.serving_rows = feed_update{{{"h", "row", 18, false}}, false, 18, 17, 30ms, false};
  message.configuration_version = 7;
  message.configuration_progress = {8, 7, 900};
  message.configuration_part = config_part{8, 7, 1200, 900, std::string("\xff\0\x80", 3)};
  message.limits = {{target_id{"x"}, 2.5, 30ms, 4}, {target_id{"y"}, std::nullopt, 1s, 0}};
  message.grants = {"0a1b2c3d", {{target_id{"x"}, 12}}};
  message.known_nodes = 340;
  message.grants.warming = {{target_id{"z"}, 9, 2}};
  message.warming = {node_id{"n-1"}, 27, {{target_id{"z"}, 2s, 40ms, 1.5}}};
  const std::string bytes = encode(message);
  const auto back = decode_node_heartbeat(bytes);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->echo_us, 99);
  EXPECT_EQ(back->loads.at(target_id{"x"}).pending_prefill_tokens, 500);
  EXPECT_EQ(back->targets->rows, message.targets->rows);
  EXPECT_FALSE(back->follows_records);
  EXPECT_EQ(back->incarnation, message.incarnation);
  EXPECT_EQ(back->serving_position, message.serving_position);
  EXPECT_EQ(back->serving_rows->rows, message.serving_rows->rows);
  EXPECT_EQ(back->configuration_version, message.configuration_version);
  EXPECT_EQ(back->configuration_progress, message.configuration_progress);
  EXPECT_EQ(back->configuration_part, message.configuration_part);
  EXPECT_EQ(back->limits, message.limits);
  EXPECT_EQ(back->known_nodes, 340U);
  EXPECT_EQ(back->grants, message.grants);
  EXPECT_EQ(back->warming, message.warming);
  EXPECT_EQ(back->serving_rows->after, 17U);
  EXPECT_TRUE(back->targets->complete);
  EXPECT_EQ(back->targets->after, 4U);
  EXPECT_EQ(back->targets->age, 20ms);
  EXPECT_TRUE(back->targets->withheld);
  EXPECT_FALSE(back->configuration);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    EXPECT_FALSE(decode_node_heartbeat(bytes.substr(0, cut)));
  }
}

TEST(NodeHeartbeat, HasNoFieldForWarmingTargetsWithoutAWarmupLimit) {
  node_heartbeat message;
  const std::size_t without = encode(message).size();
  message.warming.emplace();
  EXPECT_LT(without, encode(message).size());
  message.warming.reset();
  const auto back = decode_node_heartbeat(encode(message));
  ASSERT_TRUE(back);
  EXPECT_FALSE(back->warming);
}

TEST(NodeHeartbeat, ReadsAMessageOfAnEarlierRelease) {
  node_heartbeat message;
  message.data_centre = data_centre_id{"a"};
  message.configuration_position = 12;
  nlohmann::json document = nlohmann::json::from_msgpack(encode(message));
  constexpr std::size_t earlier_fields = 25;
  document.erase(document.begin() + earlier_fields, document.end());
  std::string bytes;
  nlohmann::json::to_msgpack(document, bytes);
  const auto back = decode_node_heartbeat(bytes);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->configuration_position, 12U);
  EXPECT_EQ(back->known_nodes, 0U);
  EXPECT_FALSE(back->configuration_version);
}

// Guards against demand for one service that a peer takes for that of another, whose model has the
// same name.
TEST(NodeHeartbeat, KeepsTheServicesOfDemandApart) {
  const model_key desk{service_id{"desk-llm"}, model_id{"m"}};
  const model_key night{service_id{"night-llm"}, model_id{"m"}};
  node_heartbeat message;
  message.demand = {{{desk, 0}, {10, 6000, 1000, 0.25}},
                    {{desk, 1}, {20, 6000, 1000, 0.25}},
                    {{night, 0}, {30, 6000, 1000, 0.25}}};
  const std::string bytes = encode(message);
  const auto back = decode_node_heartbeat(bytes);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->demand, message.demand);
}

// Guards against demand that is lost while some nodes are of a release that does not tell services.
TEST(NodeHeartbeat, ReadsDemandOfAnEarlierRelease) {
  constexpr std::size_t demand_field = 38;
  constexpr std::size_t fields_of_earlier_rows = 6;
  const model_key model{service_id{"desk-llm"}, model_id{"m"}};
  node_heartbeat message;
  message.demand = {{{model, 0}, {10, 6000, 1000, 0.25}}, {{model, 1}, {20, 6000, 1000, 0.25}}};
  nlohmann::json document = nlohmann::json::from_msgpack(encode(message));
  for (nlohmann::json& row : document.at(demand_field)) {
    row.erase(
        row.begin() + static_cast<std::ptrdiff_t>(std::min(fields_of_earlier_rows, row.size())),
        row.end());
  }
  std::string bytes;
  nlohmann::json::to_msgpack(document, bytes);
  const auto back = decode_node_heartbeat(bytes);
  ASSERT_TRUE(back);
  const model_key without_service{{}, model.model};
  EXPECT_EQ(back->demand.size(), 2U);
  EXPECT_EQ(back->demand.at({without_service, 0}), message.demand.at({model, 0}));
}

std::vector<node_record> six_nodes() {
  std::vector<node_record> nodes;
  for (const char* name : {"a1", "a2", "a3", "b1", "b2", "c1"}) {
    nodes.push_back({node_id{name}, data_centre_id{std::string(1, name[0])}, {"10.0.0.1", 1}, {}});
  }
  return nodes;
}

const std::vector<data_centre_id> three = {data_centre_id{"a"}, data_centre_id{"b"},
                                           data_centre_id{"c"}};

TEST(PeerTable, LowestLiveNameIsTheHub) {
  peer_table peers(node_id{"a2"}, data_centre_id{"a"});
  peers.set_records(six_nodes());
  EXPECT_FALSE(peers.is_hub(start));
  peers.note_sent(start, node_id{"a1"});
  // Node a1 never responds.
  EXPECT_FALSE(peers.is_hub(start + 1s));
  EXPECT_TRUE(peers.is_hub(start + 2s));
  EXPECT_TRUE(peers.responsibilities(start + 2s, three).contains(data_centre_id{"a"}));
  peers.received(start + 3s, node_id{"a1"}, {true, false, false, 1});
  EXPECT_FALSE(peers.is_hub(start + 3s));
  EXPECT_TRUE(peers.responsibilities(start + 3s, three).empty());
}

// Guards against a hub that knows too few nodes of its data centre, and so takes its share of the
// grants for warming targets for larger than it is.
TEST(PeerTable, NodesOfItsDataCentreAreTheMostThatItOrALivePeerThereKnows) {
  peer_table peers(node_id{"a2"}, data_centre_id{"a"});
  EXPECT_EQ(peers.node_count_here(start), 0U);
  peers.set_records(six_nodes());
  const std::size_t known = peers.known_nodes_here();
  EXPECT_LT(known, peers.known_nodes());
  EXPECT_EQ(peers.node_count_here(start), known);
  peer_table::heartbeat_info info;
  info.known_nodes_here = known + 4;
  peers.received(start, node_id{"b1"}, info);
  EXPECT_EQ(peers.node_count_here(start), known);
  peers.received(start, node_id{"a1"}, info);
  EXPECT_EQ(peers.node_count_here(start), known + 4);
  EXPECT_EQ(peers.node_count_here(start + peer_table::alive_timeout), known);
}

TEST(PeerTable, HeartbeatsToAnUnresponsiveHubContinue) {
  // Guards against three nodes that manage one data centre, dissolve each other's replicas and cut
  // streams: the hub is killed and returns while the next one is the hub. A heartbeat only once a
  // second would go over a link that is closed again before it is up, so nothing would be received
  // from the returned hub.
  peer_table peers(node_id{"a3"}, data_centre_id{"a"});
  peers.set_records(six_nodes());
  for (duration at = 0ms; at < 5s; at += 200ms) {
    const std::vector<node_id> recipients = peers.recipients(start + at);
    for (const node_id& id : recipients) {
      peers.note_sent(start + at, id);
    }
    EXPECT_EQ(std::count(recipients.begin(), recipients.end(), node_id{"a1"}), 1) << at.count();
    peers.received(start + at, node_id{"a2"}, {true, false, false, 1});
  }
}

TEST(PeerTable, ExactlyOneHubTakesOverADataCentreWithoutNodes) {
  // Guards against engines that no node manages, or two nodes manage, after the only node of their
  // data centre died.
  peer_table a(node_id{"a1"}, data_centre_id{"a"});
  peer_table b(node_id{"b1"}, data_centre_id{"b"});
  a.set_records(six_nodes());
  b.set_records(six_nodes());
  for (peer_table* p : {&a, &b}) {
    for (const char* name : {"a1", "a2", "a3", "b1", "b2", "c1"}) {
      p->note_sent(start, node_id{name});
    }
  }
  const time_point now = start + 2s;
  for (const char* name : {"a1", "a2", "b1", "b2"}) {
    a.received(now, node_id{name}, {true, false, false, 1});
    b.received(now, node_id{name}, {true, false, false, 1});
  }
  const data_centre_id c{"c"};
  EXPECT_NE(a.responsibilities(now, three).contains(c), b.responsibilities(now, three).contains(c));
}

TEST(PeerTable, NodesSendToTwoPeersAndHubsToAll) {
  peer_table ordinary(node_id{"a3"}, data_centre_id{"a"});
  ordinary.set_records(six_nodes());
  EXPECT_EQ(ordinary.recipients(start), (std::vector<node_id>{node_id{"a1"}, node_id{"a2"}}));
  peer_table hub(node_id{"a1"}, data_centre_id{"a"});
  hub.set_records(six_nodes());
  EXPECT_EQ(hub.recipients(start).size(), 5U);
}

TEST(PeerTable, HubRefusedByTheStoreHandsOver) {
  // Guards against all nodes of a data centre querying the store themselves while it refuses the
  // hub but serves the others: the hub gets no updates, and its nodes' proofs of freshness age. The
  // lowest name must not stay the hub then.
  peer_table first(node_id{"a1"}, data_centre_id{"a"});
  peer_table second(node_id{"a2"}, data_centre_id{"a"});
  peer_table third(node_id{"a3"}, data_centre_id{"a"});
  for (peer_table* p : {&first, &second, &third}) {
    p->set_records(six_nodes());
  }
  first.set_refused_by_store(start, true);
  const peer_table::heartbeat_info refused_by_store{
      .hub = false, .refused_by_store = true, .stamp_us = 1};
  second.received(start, node_id{"a1"}, refused_by_store);
  third.received(start, node_id{"a1"}, refused_by_store);
  EXPECT_FALSE(first.is_hub(start));
  EXPECT_TRUE(second.is_hub(start));
  EXPECT_EQ(third.hub_of(start, data_centre_id{"a"}), node_id{"a2"});
  // The heartbeats go to two possible hubs and to the first node, which is the hub again as soon as
  // the store serves it.
  EXPECT_EQ(second.recipients(start)[0], node_id{"a1"});
  EXPECT_EQ(third.recipients(start).size(), 2U);

  // While the store refuses all nodes, the node with the lowest name still manages the replicas.
  second.set_refused_by_store(start, true);
  third.set_refused_by_store(start, true);
  third.received(start, node_id{"a2"}, refused_by_store);
  second.received(start, node_id{"a3"}, refused_by_store);
  first.received(start, node_id{"a2"}, refused_by_store);
  first.received(start, node_id{"a3"}, refused_by_store);
  EXPECT_TRUE(first.is_hub(start));
  EXPECT_FALSE(second.is_hub(start));
  EXPECT_FALSE(third.is_hub(start));

  first.set_refused_by_store(start, false);
  EXPECT_TRUE(first.is_hub(start));
  second.received(start, node_id{"a1"}, {.hub = true, .stamp_us = 2});
  EXPECT_FALSE(second.is_hub(start));
}

TEST(PeerTable, KnowsWhetherTheStoreServesAnotherLocalNode) {
  peer_table table(node_id{"a1"}, data_centre_id{"a"});
  table.set_records(
      {{node_id{"a2"}, data_centre_id{"a"}, {}, {}}, {node_id{"b1"}, data_centre_id{"b"}, {}, {}}});
  table.received(start, node_id{"b1"}, {.stamp_us = 1});
  EXPECT_FALSE(table.has_served_peer_here(start));
  table.received(start, node_id{"a2"}, {.refused_by_store = true, .stamp_us = 1});
  EXPECT_FALSE(table.has_served_peer_here(start));
  EXPECT_TRUE(table.is_refused_by_store(node_id{"a2"}));
  table.received(start, node_id{"a2"}, {.stamp_us = 2});
  EXPECT_TRUE(table.has_served_peer_here(start));
  EXPECT_FALSE(table.has_served_peer_here(start + peer_table::alive_timeout));
}

TEST(PeerTable, StoreRecoveryDoesNotCreateSeveralHubs) {
  // Guards against all nodes of a data centre sending orders to its engines simultaneously, based
  // on outdated state: the store was unavailable to all, and the node with the lowest name managed
  // the replicas. When the store is back, each node is served before it learns that others are
  // served, too.
  std::vector<node_record> rows;
  for (const char* name : {"a1", "a2", "a3"}) {
    rows.push_back({node_id{name}, data_centre_id{"a"}, {}, {}});
  }
  peer_table last(node_id{"a3"}, data_centre_id{"a"});
  last.set_records(rows);
  const peer_table::heartbeat_info refused{.refused_by_store = true, .stamp_us = 1};
  last.set_refused_by_store(start, true);
  last.received(start, node_id{"a1"}, refused);
  last.received(start, node_id{"a2"}, refused);
  last.set_refused_by_store(start + 100ms, false);
  EXPECT_EQ(last.hub_of(start + 100ms, data_centre_id{"a"}), node_id{"a1"});
  // While the store still refuses the other nodes, this node becomes the hub.
  last.received(start + 600ms, node_id{"a1"}, refused);
  last.received(start + 600ms, node_id{"a2"}, refused);
  EXPECT_TRUE(last.is_hub(start + 100ms + peer_table::served_settle_time));
}

// ---- fleet view ----

TEST(FleetView, OldReportDoesNotOverrideANewerRecord) {
  // Guards against a serving replica that is sometimes not routed to: the list says that its head
  // is open, and then a probe response arrives with the state of 200 ms earlier.
  fleet_view fleet;
  target_record record;
  record.id = target_id{"x"};
  record.member_of = membership{{"r", 1}, 0, member_state::open};
  fleet.apply_record(start, record);
  fleet.apply_answer(start + 100ms, start - 100ms, record.id, {record.id, std::nullopt, {}, 1});
  EXPECT_TRUE(fleet.find(record.id)->record.member_of.has_value());
  fleet.apply_answer(start + 500ms, start + 300ms, record.id, {record.id, std::nullopt, {}, 1});
  EXPECT_FALSE(fleet.find(record.id)->record.member_of.has_value());
}

TEST(FleetView, StaleRowDoesNotOverrideALaterOrder) {
  // Guards against ordering a member of a serving replica into another one: the store is
  // unavailable, so engines cannot write their rows while a replica is formed. When the store is
  // back, the full list has the head's outdated row. A row is as old as its writing, not as its
  // reading.
  fleet_view fleet;
  target_record record;
  record.id = target_id{"x"};
  record.member_of = membership{{"s.m.x", 1}, 0, member_state::ready};
  fleet.apply_record(start, record, 40);
  const membership formed{{"r", 2}, 0, member_state::joining};
  fleet.apply_order(start + 3s, record.id, formed);
  fleet.replace_all(start + 8s, {{record, 40}});
  EXPECT_EQ(fleet.find(record.id)->record.member_of, formed);
  // A row that is newer than the known one but was written before the order is ambiguous; a row
  // written after the order is accepted.
  record.slots = 7;
  fleet.apply_record(start + 8s, record, 41, start + 1s);
  EXPECT_EQ(fleet.find(record.id)->record.member_of, formed);
  EXPECT_EQ(fleet.find(record.id)->record.slots, 7U);
  EXPECT_TRUE(fleet.find(record.id)->ambiguous);
  fleet.apply_answer(start + 8500ms, start + 8250ms, record.id, {record.id, formed, {}, 1});
  EXPECT_FALSE(fleet.find(record.id)->ambiguous);
  fleet.apply_record(start + 9s, record, 42);
  EXPECT_EQ(fleet.find(record.id)->record.member_of, record.member_of);
}

TEST(FleetView, TargetReportsAreKeptApartFromRows) {
  fleet_view fleet;
  target_record record;
  record.id = target_id{"x"};
  record.member_of = membership{{"r", 1}, 0, member_state::open};
  fleet.apply_record(start, record, 1);
  EXPECT_EQ(fleet.find(record.id)->reported_at, time_point{});
  fleet.apply_answer(start + 1s, start + 750ms, record.id, {record.id, std::nullopt, {}, 1});
  EXPECT_EQ(fleet.find(record.id)->reported_at, start + 750ms);
  EXPECT_FALSE(fleet.find(record.id)->last_reported_replica);
  fleet.apply_record(start + 2s, record, 2);
  EXPECT_FALSE(fleet.find(record.id)->last_reported_replica);
}

// Guards against a working replica that is dissolved as one node's path to a member failed twice,
// though a peer had an answer of it in between.
TEST(FleetView, FailedProbesThatAPeerRefutesDoNotCount) {
  fleet_view fleet;
  target_record record;
  record.id = target_id{"x"};
  fleet.apply_record(start, record);
  fleet.probe_failed(start, record.id);
  fleet.answered_a_peer(record.id);
  fleet.probe_failed(start + 500ms, record.id);
  EXPECT_FALSE(fleet.find(record.id)->lost);
  fleet.probe_failed(start + 600ms, record.id);
  EXPECT_TRUE(fleet.find(record.id)->lost);
}

// Guards against a draining target that is taken for a dead one, as it stops listening while its
// last answers run.
TEST(FleetView, OnlyAListedTargetThatStaysHasEndedWhenItRefuses) {
  for (const bool draining : {false, true}) {
    for (const bool listed : {false, true}) {
      fleet_view fleet;
      target_record record;
      record.id = target_id{"x"};
      record.draining = draining;
      fleet.apply_record(start, record);
      if (!listed) {
        fleet.mark_unlisted(start, record.id);
      }
      fleet.probe_failed(start, record.id, unanswered_probe::refused);
      fleet.probe_failed(start, record.id);
      EXPECT_TRUE(fleet.find(record.id)->lost);
      EXPECT_EQ(fleet.find(record.id)->ended, listed && !draining);
    }
  }
}

// Guards against a replica that is dissolved at once when a target that had refused, and answered
// since, is silent.
TEST(FleetView, AnAnswerRefutesThatATargetHasEnded) {
  fleet_view fleet;
  target_record record;
  record.id = target_id{"x"};
  fleet.apply_record(start, record);
  fleet.probe_failed(start, record.id);
  fleet.probe_failed(start, record.id);
  fleet.probe_failed(start, record.id, unanswered_probe::refused);
  EXPECT_TRUE(fleet.find(record.id)->ended) << "a lost target may be found to have ended";
  fleet.apply_answer(start + 1s, start + 1s, record.id, {record.id, std::nullopt, {}, 1});
  EXPECT_FALSE(fleet.find(record.id)->ended);
}

TEST(FleetView, LostTargetIsRestoredByTheHub) {
  fleet_view fleet;
  target_record record;
  record.id = target_id{"x"};
  fleet.apply_record(start, record);
  fleet.probe_failed(start, record.id);
  EXPECT_FALSE(fleet.find(record.id)->lost);
  fleet.probe_failed(start, record.id);
  EXPECT_TRUE(fleet.find(record.id)->lost);
  fleet.apply_hub_losses(start + 500ms, {});
  EXPECT_TRUE(fleet.find(record.id)->lost) << "the hub may not know yet";
  fleet.apply_hub_losses(start + 2s, {record.id});
  EXPECT_TRUE(fleet.find(record.id)->lost);
  fleet.apply_hub_losses(start + 2s, {});
  EXPECT_FALSE(fleet.find(record.id)->lost);
}

TEST(FleetView, ReplicaWithAMissingMemberIsNotServing) {
  fleet_view fleet;
  for (std::uint32_t rank = 0; rank < 3; ++rank) {
    target_record record;
    record.id = target_id{"i" + std::to_string(rank)};
    record.service = service_id{"s"};
    record.loaded = model_id{"m"};
    record.member_of =
        membership{{"r", 1}, rank, rank == 0 ? member_state::open : member_state::ready};
    fleet.apply_record(start, record);
  }
  const auto serving = [&] {
    return serving_replicas(fleet, service_id{"s"}, model_id{"m"}, 3).size();
  };
  EXPECT_EQ(serving(), 1U);
  // After the list of targets dropped a member, the replica serves as long as that member responds.
  fleet.mark_unlisted(start, target_id{"i2"});
  EXPECT_EQ(serving(), 1U);
  fleet.probe_failed(start, target_id{"i2"});
  fleet.probe_failed(start, target_id{"i2"});
  EXPECT_EQ(serving(), 0U);
  // Reports of other nodes that a target is not lost do not restore a target that is not in the
  // list.
  fleet.apply_hub_losses(start + 10s, {});
  EXPECT_EQ(serving(), 0U);
}

TEST(FleetView, UnlistedHeadIsNotRoutedTo) {
  // Guards against requests to a target that may be leaving: a request that is sent to it after the
  // allowed delay violates a requirement.
  fleet_view fleet;
  target_record record;
  record.id = target_id{"i0"};
  record.service = service_id{"s"};
  record.loaded = model_id{"m"};
  record.member_of = membership{{"r", 1}, 0, member_state::open};
  fleet.apply_record(start, record);
  const auto serving = [&] {
    return serving_replicas(fleet, service_id{"s"}, model_id{"m"}, 1).size();
  };
  EXPECT_EQ(serving(), 1U);
  fleet.mark_unlisted(start, record.id);
  EXPECT_EQ(serving(), 0U);
}

// ---- settings ----

TEST(HostedSettings, ReadsAllFieldsAndReportsEveryError) {
  const std::string good = R"([node]
id = "edge-1"
data_centre = "a"
data_centres = ["a", "b"]
cold_start = true
[listen]
callers = "10.0.0.1:80"
ready = "10.0.0.1:81"
links = "10.0.0.1:82"
metrics = "10.0.0.1:83"
[platform]
store = "10.0.0.9:90"
[bounds]
key_withdrawal_ms = 5000
retry_ratio = 0.2
retry_burst = 130
)";
  const auto read = load_hosted_settings(good, "node.toml");
  EXPECT_TRUE(read.problems.empty());
  EXPECT_TRUE(read.settings.cold_start);
  EXPECT_EQ(read.settings.data_centres.size(), 2U);
  EXPECT_EQ(read.settings.bounds.key_withdrawal_limit, 5s);
  const auto bad =
      load_hosted_settings("[node]\nid = 5\n[listen]\ncallers = \"x\"\nextra = 1\n", "n");
  EXPECT_GE(bad.problems.size(), 4U);
  for (const finding& f : bad.problems) {
    EXPECT_EQ(f.where.file, "n");
  }
}

}  // namespace
}  // namespace arbutus
