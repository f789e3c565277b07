// Components of a hosted node, and its start and shutdown.
#include "node/hosted_node.h"

#include "connection/clock.h"
#include "connection/http_server.h"
#include "node/controller_loop.h"
#include "node/handler_failure.h"
#include "node/hosted_call.h"
#include "node/hosted_relay.h"
#include "node/hosted_state.h"
#include "node/log.h"
#include "node/peer_links.h"
#include "node/poison_watch.h"
#include "node/store_watch.h"

namespace arbutus {

namespace {

socket_address address_of_endpoint(const endpoint& e) {
  return {e.host, e.port};
}

// The load balancer checks readiness once a second and removes a node after two responses other
// than 200, so new connections may arrive for this long after readiness fails.
constexpr duration load_balancer_lag = 2500ms;
// Part of the grace period that is left when the node ends the calls still in progress: for their
// callers to read the answers, and for the orderly exit of the process.
constexpr duration shutdown_margin = 800ms;
constexpr duration exit_margin = 400ms;

http_server_limits caller_server_limits(buffer_account& buffers, std::size_t max_connections) {
  http_server_limits limits;
  limits.buffers = &buffers;
  // These two size limits bound the node's memory. The operators' limits, of at most 16 KiB of
  // header and the largest body that the platform lets them allow, may change with a configuration
  // version and are lower.
  limits.max_header_bytes = 64UL * 1024;
  limits.max_body_bytes = 8UL * 1024 * 1024;
  limits.max_connections = max_connections;
  limits.read_timeout = 10s;
  limits.idle_timeout = 60s;
  // A caller that reads nothing for this long is treated as disconnected; its stream would be far
  // too late anyway.
  limits.write_timeout = 8s;
  return limits;
}

http_server_limits small_server_limits() {
  http_server_limits limits;
  limits.max_body_bytes = 4096;
  limits.max_connections = 64;
  return limits;
}

void send_text(response_writer& writer, int status, std::string_view body) {
  writer.send(status, {{"Content-Type", "text/plain; version=0.0.4"}}, body);
}

}  // namespace

struct hosted_node::parts {
  explicit parts(const hosted_settings& settings)
      : runtime(1), state(monotonic_now(), settings, runtime), watch(state) {}

  void listen() {
    const hosted_listen& at = state.settings.listen;
    links = std::make_unique<peer_links>(runtime, address_of_endpoint(at.link_endpoint),
                                         state.settings.id);
    controller = std::make_unique<controller_loop>(state, *links, watch);
    links->set_receiver(link_channel::coordination, [this](const peer_message& m) {
      controller->received(monotonic_now(), m.from, m.bytes);
    });
    ready = std::make_unique<http_server>(
        runtime, address_of_endpoint(at.readiness_endpoint), small_server_limits(),
        [this](const http_request&, response_writer& w) { serve_ready(w); }, default_error_body,
        log_handler_failure);
    metrics = std::make_unique<http_server>(
        runtime, address_of_endpoint(at.metrics_endpoint), small_server_limits(),
        [this](const http_request& r, response_writer& w) { serve_operator(r, w); },
        default_error_body, log_handler_failure);
    const connection_share accepted = accepted_connections(state.settings);
    http_server_limits limits = caller_server_limits(state.buffers, accepted.callers);
    limits.refuses_when_full = true;
    callers = std::make_unique<http_server>(
        runtime, address_of_endpoint(at.caller_endpoint), limits,
        [this](const http_request& r, response_writer& w) { serve_hosted_call(state, r, w); },
        default_error_body, log_handler_failure);
    if (!at.relay_endpoint.host.empty()) {
      relays = std::make_unique<http_server>(
          runtime, address_of_endpoint(at.relay_endpoint),
          caller_server_limits(state.buffers, accepted.peers),
          [this](const http_request& r, response_writer& w) { serve_relayed_call(state, r, w); },
          default_error_body, log_handler_failure);
    }
  }

  // The readiness check succeeds if a confirmed configuration is in force and targets are known. A
  // node that cannot confirm keys would refuse most requests, so its callers should use other
  // nodes.
  [[nodiscard]] bool is_ready() const {
    const time_point now = monotonic_now();
    return !state.stopping && state.map && state.fleet_known &&
           state.evacuated_data_centres.is_known() && state.configuration_lease.valid(now) &&
           !state.is_outdated(now);
  }

  void serve_ready(response_writer& writer) {
    const bool is = is_ready();
    if (is != was_ready) {
      was_ready = is;
      log_line(log_level::info, "node", is ? "ready" : "not ready",
               {{"stopping", state.stopping},
                {"behind_ms", to_milliseconds(state.configuration_lag.age(monotonic_now()))},
                {"configured", state.map != nullptr},
                {"lease_age_ms",
                 to_milliseconds(state.configuration_lease.age(monotonic_now()).value_or(-1ms))}});
    }
    send_text(writer, is ? 200 : 503, is ? "ready\n" : "not ready\n");
  }

  // Serves the metrics address: metrics, the list of poison requests, and the release of their
  // quarantines.
  void serve_operator(const http_request& request, response_writer& writer) {
    constexpr std::string_view release_prefix = "/poison/lift/";
    const std::string_view target = request.target;
    if (target == "/poison") {
      send_text(writer, 200, poison_text(state, monotonic_now()));
    } else if (request.method == "POST" && target.starts_with(release_prefix)) {
      const auto hash = parse_hash(target.substr(release_prefix.size()));
      const bool released = hash && release_quarantine(state, monotonic_now(), *hash);
      send_text(writer, released ? 200 : 404,
                released ? "lifted\n" : "no such request is suspected\n");
    } else {
      send_text(writer, 200, state.metrics.text(gauges()));
    }
  }

  [[nodiscard]] std::string gauges() const {
    std::string text;
    const auto add = [&text](std::string_view name, std::uint64_t value) {
      text += std::string("# TYPE ").append(name).append(" gauge\n");
      text += std::string(name).append(" ").append(std::to_string(value)).append("\n");
    };
    add("arbutusworks_config_version", state.map ? state.map->version() : 0);
    add("arbutusworks_store_era", state.store_era());
    add("arbutusworks_targets", state.fleet.all().size());
    add("arbutusworks_requests_active", callers->active());
    add("arbutusworks_connections_open", callers->connections());
    add("arbutusworks_bytes_buffered", state.buffers.held());
    add("arbutusworks_refused_for_memory", state.buffers.refusals());
    add("arbutusworks_ready", is_ready() ? 1 : 0);
    add("arbutusworks_poison_suspects", state.poison.tracker.all().size());
    add("arbutusworks_poison_convicted", state.poison.tracker.quarantined());
    add("arbutusworks_poison_turned_away", state.poison.tracker.rejected_strikes());
    const target_backoffs::counts restrained = state.backoffs.count(monotonic_now());
    add("arbutusworks_targets_backing_off", restrained.backing_off);
    add("arbutusworks_targets_leaving", restrained.leaving);
    add("arbutusworks_targets_warming", state.warming.all_warming(monotonic_now()).size());
    add("arbutusworks_data_centres_evacuated", state.evacuated_data_centres.all().size());
    std::uint64_t cut_off_services = 0;
    std::uint64_t unreachable_targets = 0;
    for (const auto& [service, reach] : state.reach) {
      cut_off_services += reach.is_cut_off() ? 1 : 0;
      unreachable_targets += reach.unreachable_count();
    }
    for (const auto& [service, window] : state.retry_windows) {
      const std::string label = "{service=\"" + service.str() + "\"}";
      const retry_usage used = window.usage(monotonic_now());
      text += "arbutusworks_retries_left" + label + ' ' +
              std::to_string(std::max(used.limit - used.retries, 0.0)) + '\n';
      text += "arbutusworks_retry_burst_share" + label + (used.has_burst_share ? " 1\n" : " 0\n");
      text += "arbutusworks_retry_budget_nodes" + label + ' ' + std::to_string(used.nodes) + '\n';
    }
    text += controller->capacity_gauges();
    for (const auto& [key, figures] : state.admissions) {
      constexpr duration max_age = 5s;
      if (monotonic_now() - figures.at > max_age) {
        continue;
      }
      const std::string label = "{service=\"" + key.model.service.str() + "\",model=\"" +
                                key.model.model.str() + "\",priority=\"" +
                                std::to_string(key.priority) + "\"}";
      text += "arbutusworks_demand_per_second" + label + ' ' +
              std::to_string(figures.calls_per_second) + '\n';
      text += "arbutusworks_room" + label + ' ' + std::to_string(figures.room) + '\n';
      text +=
          "arbutusworks_admitted_fraction" + label + ' ' + std::to_string(figures.fraction) + '\n';
    }
    add("arbutusworks_cut_off_services", cut_off_services);
    add("arbutusworks_targets_unreachable", unreachable_targets);
    add("arbutusworks_taken_over_active", state.taken_over);
    add("arbutusworks_log_lines_dropped", dropped_log_lines());
    add("arbutusworks_log_requests_left_out", suppressed_request_count());
    return text;
  }

  void start() {
    state.peers.start_discovery(monotonic_now());
    runtime.post(0, [this] { watch.follow_configuration(); });
    runtime.post(0, [this] { watch.follow_targets(); });
    runtime.post(0, [this] {
      watch.follow_nodes(
          [this](const std::vector<node_record>& nodes) { state.peers.set_records(nodes); });
    });
    runtime.post(0, [this] { sync_quarantines(state); });
    runtime.post(0, [this] { controller->run(); });
  }

  fiber_runtime runtime;
  hosted_state state;
  store_watch watch;
  std::unique_ptr<peer_links> links;
  std::unique_ptr<controller_loop> controller;
  std::unique_ptr<http_server> ready;
  std::unique_ptr<http_server> metrics;
  std::unique_ptr<http_server> callers;
  std::unique_ptr<http_server> relays;  // for calls that peers hand over; null: none are taken over
  bool was_ready = false;
};

hosted_node::hosted_node(const hosted_settings& settings)
    : parts_(std::make_unique<parts>(settings)) {
  parts_->runtime.run();
  parts_->listen();
}

hosted_node::~hosted_node() {
  // Components whose destructors post work to their worker must be destroyed before the runtime
  // stops. If the worker stopped after such a destructor has checked that it runs, but before it
  // does the posted work, the destructor would wait forever: the process would log its exit but
  // never exit. The controller's fibers use the links, so it is stopped before them.
  parts_->callers.reset();
  parts_->relays.reset();
  parts_->ready.reset();
  parts_->metrics.reset();
  parts_->runtime.run_on(0, [this] { parts_->controller->end(); });
  parts_->links.reset();
  parts_->runtime.stop();
  parts_->runtime.join();
}

void hosted_node::start() {
  parts_->start();
}

bool hosted_node::stop() {
  parts& p = *parts_;
  bool clean = false;
  const time_point begun = monotonic_now();
  p.runtime.run_on(0, [&] {
    p.state.stopping = true;
    p.state.stop.begin(begun + p.state.settings.bounds.shutdown_grace - shutdown_margin);
    p.runtime.post(0, [&p] { p.state.stop.end_calls(); });
    p.callers->close_after_answers();
    sleep_until(begun + load_balancer_lag);
    const time_point until = begun + p.state.settings.bounds.shutdown_grace - exit_margin;
    clean = p.callers->drain(until);
    clean = (!p.relays || p.relays->drain(until)) && clean;
  });
  return clean;
}

}  // namespace arbutus
