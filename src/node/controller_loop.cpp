// The controller's main loop: periodic work, orders to engines, and log lines about them.
#include "node/controller_loop.h"

#include <algorithm>
#include <utility>

#include "connection/clock.h"
#include "node/cost_timer.h"
#include "node/log.h"
#include "node/peer_check.h"
#include "node/poison_watch.h"
#include "node/reach_watch.h"

namespace arbutus {

namespace {

// The engines need some 500 ms to repair a replica; a tick adds at most 4 percent to that.
constexpr duration tick_interval = 20ms;
// Interval of heartbeats to peers. Peers learn within this time which requests this node sent to
// replicas, so two nodes may assign the same capacity for 100 ms on average.
constexpr duration peer_heartbeat_interval = 200ms;
constexpr duration plan_log_interval = 1s;
constexpr duration costs_log_interval = 1s;
// Counting the replicas of all models takes 1 ms with 1,100 engines and is repeated after each
// change of a target, of which there are many per second. Done on every tick, the count for this
// log line took a third of the processor time of a node with an eighth of a core.
constexpr duration capacity_log_interval = 250ms;
// Time without an answer of the store after which a node without any alive peer counts as isolated.
// The store's feed alone may take a second to answer.
constexpr duration isolation_timeout = 2500ms;
// Half the interval of heartbeats: summing the demand for each tick would repeat the same reports.
constexpr duration demand_interval = 100ms;

// Fraction of the known nodes whose demand this node, as a hub, knows: those that it hears, and
// those of other data centres from which it hears a hub.
double heard_nodes(const peer_table& peers, time_point now, const hosted_settings& self) {
  std::set<data_centre_id> heard_data_centres;
  for (const node_record& node : peers.records()) {
    if (node.data_centre != self.data_centre && peers.is_alive(now, node.id)) {
      heard_data_centres.insert(node.data_centre);
    }
  }
  const auto heard =
      std::count_if(peers.records().begin(), peers.records().end(), [&](const node_record& node) {
        return node.id == self.id || peers.is_alive(now, node.id) ||
               heard_data_centres.contains(node.data_centre);
      });
  return peers.records().empty()
             ? 1
             : static_cast<double>(heard) / static_cast<double>(peers.records().size());
}

}  // namespace

controller_loop::controller_loop(hosted_state& node, peer_links& links, store_watch& watch)
    : node_(node),
      links_(links),
      watch_(watch),
      started_at_(monotonic_now()),
      random_(stable_hash(node.incarnation)),
      poison_exchange_(node.incarnation),
      config_distributor_(node.settings.strength.link_mbps),
      list_budget_(node.settings.strength.link_mbps) {}

void controller_loop::run() {
  while (!ended_ && sleep_until(monotonic_now() + tick_interval) && !ended_) {
    const time_point now = monotonic_now();
    {
      const cost_timer timer(costs_, control_part::decisions);
      decide(now);
    }
    if (now - heartbeats_sent_at_ >= peer_heartbeat_interval) {
      heartbeats_sent_at_ = now;
      send_peer_heartbeats(now);
    }
    log_costs(now);
  }
}

void controller_loop::decide(time_point now) {
  test_paths(node_, now);
  check_silent_peers(node_, now);
  check_stalls(now);
  probe_lost_targets(now);
  evaluate_poison(node_, now);
  if (now >= controllers_due_at_ && node_.map && node_.fleet_known && !node_.stopping) {
    controllers_due_at_ = now + replica_controller::min_tick_interval(node_.fleet.all().size());
    run_controllers(now);
  }
}

// Logs what control has cost since the last such line. Only hubs log it: their cost grows with the
// number of nodes and targets.
void controller_loop::log_costs(time_point now) {
  if (now - costs_logged_at_ < costs_log_interval) {
    return;
  }
  const duration interval = now - costs_logged_at_;
  costs_logged_at_ = now;
  const control_costs costs = std::exchange(costs_, {});
  if (!node_.peers.is_hub(now)) {
    return;
  }
  const auto ms = [&costs](control_part part) { return to_milliseconds(costs.of(part)); };
  log_line(log_level::info, "control", "costs",
           {{"interval_ms", to_milliseconds(interval)},
            {"decisions_ms", ms(control_part::decisions)},
            {"compose_ms", ms(control_part::compose)},
            {"encode_ms", ms(control_part::encode)},
            {"decode_ms", ms(control_part::decode)},
            {"apply_ms", ms(control_part::apply)},
            {"heartbeats_out", costs.heartbeats_out},
            {"bytes_out", costs.heartbeat_bytes_out},
            {"loads_out", costs.loads_out},
            {"load_bytes_out", costs.load_bytes_out},
            {"rows_out", costs.rows_out},
            {"heartbeats_in", costs.heartbeats_in},
            {"bytes_in", costs.heartbeat_bytes_in}});
}

void controller_loop::end() {
  ended_ = true;
  while (running_link_updates_ > 0 && sleep_until(monotonic_now() + tick_interval)) {
  }
}

void controller_loop::run_controllers(time_point now) {
  // A node that is partitioned from the platform and from all peers has only stale data. Such a
  // node leaves the control of replicas to the other nodes of its data centre, if there are any.
  const bool isolated = !node_.peers.any_alive(now) &&
                        now - node_.fleet_list_requested_at > isolation_timeout &&
                        node_.peers.has_peer_in(node_.settings.data_centre);
  const auto responsibilities =
      isolated ? std::set<data_centre_id>{}
               : node_.peers.responsibilities(now, node_.settings.data_centres);
  if (responsibilities != responsible_data_centres_) {
    responsible_data_centres_ = responsibilities;
    std::string names;
    for (const data_centre_id& d : responsibilities) {
      names += (names.empty() ? "" : ",") + d.str();
    }
    log_line(log_level::info, "keeper", "duties",
             {{"data_centres", names},
              {"living_peers", std::uint64_t{node_.peers.alive_count(now)}},
              {"processor_permille", node_.settings.strength.processor_permille},
              {"link_mbps", node_.settings.strength.link_mbps}});
  }
  // Right after this node's start it has received no heartbeat of a peer yet.
  constexpr duration startup_settle_time = 500ms;
  if (now - started_at_ < startup_settle_time) {
    return;
  }
  if (!responsible_data_centres_.empty() && node_.fleet_complete) {
    probe_overdue(now);
  }
  for (const service_spec& service : node_.map->services()) {
    if (!service.engine) {
      continue;
    }
    auto found = controllers_.find(service.id);
    if (found == controllers_.end()) {
      found =
          controllers_.emplace(service.id, replica_controller({}, node_.incarnation, started_at_))
              .first;
    }
    if (now - capacity_logged_at_ >= capacity_log_interval) {
      log_capacity(service);
    }
    replica_controller::responsibilities own{
        responsible_data_centres_, node_.settings.data_centres.size(), node_.requests_seen,
        now - node_.fleet_list_requested_at};
    own.is_first_start = node_.start.may_be_first(now);
    own.evacuated = node_.evacuated_data_centres.all();
    if (node_.map->has_prioritised_streams(service.id)) {
      refresh_demand(now);
      own.plans_by_demand = true;
      own.demand = known_demand_;
      own.heard_nodes = heard_nodes_;
      own.loads = &node_.loads;
    }
    if (responsible_data_centres_.empty() || !node_.fleet_complete) {
      continue;
    }
    for (const controller_effect& desired : found->second.tick(now, node_.fleet, service, own)) {
      carry_out(service.id, desired);
    }
    log_plan(now, service.id, found->second);
    log_demand_change(service.id, found->second);
  }
  if (now - capacity_logged_at_ >= capacity_log_interval) {
    capacity_logged_at_ = now;
  }
}

// Sums the demand of the deployment for the controllers. A tick of theirs is more frequent than
// news of other nodes.
void controller_loop::refresh_demand(time_point now) {
  if (now - demand_refreshed_at_ < demand_interval) {
    return;
  }
  demand_refreshed_at_ = now;
  known_demand_ = node_.demand.all(now);
  heard_nodes_ = heard_nodes(node_.peers, now, node_.settings);
}

// Logs and counts the changes of the plan by demand. Orders have log lines of their own.
void controller_loop::log_demand_change(const service_id& service,
                                        const replica_controller& controller) {
  counted_moves& counted = counted_moves_[service];
  if (const auto closed = controller.surplus_closed(); closed > counted.closed) {
    node_.metrics.count("arbutusworks_surplus_replicas_closed", {}, closed - counted.closed);
    counted.closed = closed;
  }
  if (controller.demand_changes() == counted.changes) {
    return;
  }
  node_.metrics.count("arbutusworks_demand_changes", {},
                      controller.demand_changes() - counted.changes);
  counted.changes = controller.demand_changes();
  for (const replica_controller::model_plan& plan : controller.model_plans()) {
    log_line(log_level::info, "keeper", "demand",
             {{"service", service},
              {"model", plan.model},
              {"calls_per_s", plan.calls_per_second},
              {"work", plan.work},
              {"engine_time_share", plan.engine_time_share},
              {"planned", std::uint64_t{plan.planned_replicas}}});
  }
}

std::string controller_loop::capacity_gauges() const {
  std::string text;
  if (responsible_data_centres_.empty()) {
    return text;
  }
  for (const auto& [service, controller] : controllers_) {
    for (const replica_controller::model_plan& plan : controller.model_plans()) {
      const std::string label =
          "{service=\"" + service.str() + "\",model=\"" + plan.model.str() + "\"} ";
      text +=
          "arbutusworks_model_calls_per_s" + label + std::to_string(plan.calls_per_second) + '\n';
      text += "arbutusworks_model_work" + label + std::to_string(plan.work) + '\n';
      text += "arbutusworks_model_replicas_planned" + label +
              std::to_string(plan.planned_replicas) + '\n';
    }
  }
  return text;
}

// Logs the replicas and engines available to the controller when they change, at most once a
// second.
void controller_loop::log_plan(time_point now, const service_id& service,
                               const replica_controller& controller) {
  time_point& logged_at = plans_logged_at_[service];
  std::vector<replica_controller::domain_plan>& logged = logged_plans_[service];
  if (now - logged_at < plan_log_interval || controller.plan() == logged) {
    return;
  }
  logged_at = now;
  logged = controller.plan();
  std::string text;
  const auto add = [&text](const std::vector<std::uint32_t>& counts) {
    for (const std::uint32_t n : counts) {
      text += (text.ends_with('[') ? "" : "+") + std::to_string(n);
    }
  };
  for (const auto& d : logged) {
    text += (text.empty() ? "" : "; ") + d.domain.str() + " ready [";
    add(d.ready);
    text += "] wanted [";
    add(d.desired);
    text += "] blank " + std::to_string(d.unloaded) + " free " + std::to_string(d.free);
  }
  log_line(log_level::info, "keeper", "plan", {{"service", service}, {"domains", text}});
}

// Logs each change of the number of replicas that may be sent requests.
void controller_loop::log_capacity(const service_spec& service) {
  for (const model_spec& model : service.engine->models) {
    const std::size_t serving = node_.replicas(service, model.id).size();
    const auto [known, is_new] = logged_capacity_.emplace(model_key{service.id, model.id}, serving);
    if (!is_new && known->second == serving) {
      continue;
    }
    log_line(log_level::info, "fleet", "capacity",
             {{"service", service.id},
              {"model", model.id},
              {"replicas", std::uint64_t{serving}},
              {"before", std::uint64_t{is_new ? 0 : known->second}}});
    known->second = serving;
  }
}

void controller_loop::carry_out(const service_id& service, const controller_effect& desired) {
  node_.runtime.post(0, [this, service, desired] {
    replica_controller& controller = controllers_.at(service);
    const time_point requested_at = monotonic_now();
    const time_point deadline = requested_at + order_timeout;
    if (const auto* query = std::get_if<report_request>(&desired)) {
      count_query("order");
      const auto result = node_.engines.report(query->to, query->address, deadline);
      const time_point now = monotonic_now();
      if (const auto* report = std::get_if<target_report>(&result)) {
        apply_report(requested_at, query->to, *report);
        controller.on_report(now, query->to, *report);
      } else {
        node_.fleet.probe_failed(now, query->to, failure_of(result));
        controller.on_report(now, query->to, std::nullopt);
      }
      return;
    }
    const auto& order = std::get<replica_order>(desired);
    const order_outcome outcome = node_.engines.order(order, deadline);
    if (outcome == order_outcome::no_answer || outcome == order_outcome::not_sent) {
      node_.fleet.probe_failed(monotonic_now(), order.to);
    }
    static constexpr std::string_view names[] = {"begun",   "holds",   "conflict",  "outdated",
                                                 "another", "refused", "no_answer", "not_sent"};
    log_line(log_level::info, "keeper", "order",
             {{"target", order.to},
              {"action", to_string(order.action)},
              {"replica", order.replica.name},
              {"epoch", order.replica.epoch},
              {"service", service},
              {"model", order.model},
              {"expected_orders", order.expected_orders},
              {"reason", order.reason},
              {"outcome", names[static_cast<std::size_t>(outcome)]}});
    node_.metrics.count("arbutusworks_orders",
                        "action=\"" + std::string(to_string(order.action)) + "\",outcome=\"" +
                            std::string(names[static_cast<std::size_t>(outcome)]) + "\"");
    controller.on_order_outcome(monotonic_now(), node_.fleet, order, outcome);
    // Another target answers at this address, so the target that was sent the order has ended.
    // Unless it is marked as ended, it is chosen for new replicas again and again until its row
    // expires, and each time the other members wait for it.
    if (outcome == order_outcome::other_target) {
      log_line(log_level::info, "fleet", "ended", {{"target", order.to}, {"told_by", "order"}});
      node_.fleet.mark_ended(order.to);
    }
  });
}

bool controller_loop::apply_report(time_point requested_at, const target_id& id,
                                   const target_report& report) {
  const target_view* view = node_.fleet.find(id);
  const service_spec* service =
      view == nullptr || !node_.map ? nullptr : node_.map->find_service(view->record.service);
  const duration lag =
      service != nullptr && service->engine ? service->engine->report_lag : duration{};
  const endpoint address = view == nullptr ? endpoint{} : view->record.address;
  const bool same = node_.fleet.apply_answer(
      requested_at, requested_at - lag - lag / 4, id,
      {report.incarnation, report.member_of, report.loaded, report.slowdown_factor});
  if (!same) {
    log_line(log_level::info, "fleet", "started again",
             {{"target", report.incarnation}, {"before", id}, {"told_by", "report"}});
    node_.forget_connections(address);
  }
  return same;
}

}  // namespace arbutus
