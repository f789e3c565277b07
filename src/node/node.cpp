// Creates, connects and stops the components of a node.
#include "node/node.h"

#include <algorithm>
#include <optional>

#include "connection/clock.h"
#include "node/configure.h"
#include "node/front_end.h"
#include "node/handler_failure.h"
#include "node/peer_links.h"
#include "node/periodic.h"
#include "node/status_json.h"

namespace arbutus {

namespace {

// Part of a planned stop that is left when the node ends the calls still in progress, for their
// callers to read the answers.
constexpr duration answer_margin = 800ms;

http_client_limits client_limits(buffer_account* buffers) {
  http_client_limits limits;
  limits.buffers = buffers;
  return limits;
}

coordinator_settings core_settings(const node_setup& options) {
  coordinator_settings settings;
  settings.self = options.self;
  settings.data_centre = options.data_centre;
  settings.incarnation = options.incarnation;
  settings.seed = options.seed;
  settings.bootstrap_peers = options.bootstrap_peers;
  return settings;
}

}  // namespace

// The members are in order of construction: later ones use earlier ones.
struct node::parts {
  explicit parts(node_setup o)
      : options(std::move(o)),
        runtime(options.workers),
        buffers(options.buffered_bytes),
        client(runtime, client_limits(&buffers)),
        control_client(runtime),
        platform(control_client, options.platform, options.data_centre),
        engines(control_client),
        call_metrics(options.workers),
        backoffs(options.seed),
        gates(runtime, backoffs, options.seed),
        limits(monotonic_now(), options.self),
        core(runtime, platform, engines, core_settings(options)),
        context{options.self,
                options.incarnation,
                options.data_centre,
                runtime,
                client,
                platform,
                core,
                gates,
                limits,
                services,
                backoffs,
                call_metrics},
        callers(context, paths()) {}

  operator_handlers paths() {
    operator_handlers result;
    result.key_hash = options.operator_key_hash;
    result.status = [this] { return status_json(status(), monotonic_now()); };
    result.gauges = [this] { return gauges(); };
    result.configure = [this](const http_request& request, response_writer& writer) {
      serve_configure(platform, core, request, writer);
    };
    return result;
  }

  status_view status() {
    status_view view;
    core.call([&](time_point now, coordinator& c) {
      view = c.status(now);
      return effects{};
    });
    return view;
  }

  std::string gauges();
  void on_view(const std::shared_ptr<const node_view>& view);
  void listen();
  void send_to_peer(const peer_send& message);
  void send_limit_leases();

  node_setup options;
  fiber_runtime runtime;
  buffer_account buffers;      // bodies of requests and answers
  http_client client;          // for callers' requests
  http_client control_client;  // not limited by what callers' requests hold
  platform_client platform;
  engine_client engines;
  metrics call_metrics;
  route_backoffs backoffs;
  model_gates gates;
  limit_exchange limits;
  service_health services;
  control core;
  call_context context;
  front_end callers;
  std::unique_ptr<peer_links> links;
  std::unique_ptr<http_server> server;
  std::unique_ptr<periodic> limit_sender;  // destroyed before the links that it uses
  std::uint64_t linked_config_version =
      0;  // configuration version whose peers are linked; worker 0
  bool running = false;
};

// Called on worker 0 for each new view.
void node::parts::on_view(const std::shared_ptr<const node_view>& view) {
  gates.refresh(view);
  backoffs.forget(monotonic_now(), view->routes);
  if (!view->config || view->config->version == linked_config_version) {
    return;
  }
  linked_config_version = view->config->version;
  limits.configure(monotonic_now(), *view->config);
  // The peers are set in a separate fiber, since closing the links to removed ones may block.
  runtime.post(0, [this, view] { links->set_peers(view->config->assets.nodes); });
}

std::string node::parts::gauges() {
  const std::shared_ptr<const node_view> view = core.view();
  const link_counters traffic = links->counters();
  std::string text;
  const auto add = [&text](std::string_view name, std::uint64_t value) {
    text += std::string("# TYPE ").append(name).append(" gauge\n");
    text += std::string(name).append(" ").append(std::to_string(value)).append("\n");
  };
  add("arbutusworks_config_version", view->config ? view->config->version : 0);
  add("arbutusworks_assignment_version", view->routes.assignment_version);
  add("arbutusworks_routable_replicas", view->routes.replicas.size());
  add("arbutusworks_live_nodes", view->live_nodes);
  const target_backoffs::counts restrained = backoffs.count(monotonic_now());
  add("arbutusworks_targets_backing_off", restrained.backing_off);
  add("arbutusworks_targets_leaving", restrained.leaving);
  add("arbutusworks_requests_active", server->active());
  add("arbutusworks_connections_open", server->connections());
  add("arbutusworks_bytes_buffered", buffers.held());
  add("arbutusworks_refused_for_memory", buffers.refusals());
  add("arbutusworks_link_bytes_in", traffic.bytes_in);
  add("arbutusworks_link_bytes_out", traffic.bytes_out);
  add("arbutusworks_link_frames_in", traffic.frames_in);
  add("arbutusworks_link_frames_out", traffic.frames_out);
  return text;
}

void node::parts::listen() {
  links = std::make_unique<peer_links>(runtime, options.link_address, options.self);
  links->set_receiver(link_channel::coordination,
                      [this](peer_message m) { core.post_input(std::move(m)); });
  links->set_receiver(link_channel::limits, [this](const peer_message& m) {
    limits.received(monotonic_now(), m.from, m.bytes);
  });
  links->set_peers(options.bootstrap_peers);
  core.set_peer_sender([this](const peer_send& message) { send_to_peer(message); });
  core.set_view_listener([this](const std::shared_ptr<const node_view>& v) { on_view(v); });
  core.set_notice_listener(options.on_notice);
  const auto handler = [this](const http_request& request, response_writer& writer) {
    callers.serve(request, writer);
  };
  http_server_limits caller_limits = options.limits;
  caller_limits.buffers = &buffers;
  caller_limits.refuses_when_full = true;
  server = std::make_unique<http_server>(runtime, options.caller_address, caller_limits, handler,
                                         server_error_body, log_handler_failure);
}

node::node(node_setup options) : parts_(std::make_unique<parts>(std::move(options))) {
  parts_->runtime.run();
  parts_->listen();
}

node::~node() {
  if (parts_->running) {
    parts_->core.stop();
  }
  // The runtime is stopped last: components that shut down on their workers would otherwise wait
  // forever.
  parts_->server.reset();
  parts_->limit_sender.reset();
  parts_->links.reset();
  parts_->runtime.stop();
  parts_->runtime.join();
}

void node::parts::send_to_peer(const peer_send& message) {
  links->send(link_channel::coordination, message);
  // The leases of rate limits are queued directly after the message, so that both are sent in one
  // write.
  if (const auto limit = limits.piggyback_message(monotonic_now(), message.to)) {
    links->send(link_channel::limits, *limit);
  }
}

// Sends the leases of the workspaces' rate limits to the peers.
void node::parts::send_limit_leases() {
  for (const peer_send& message : limits.take_messages(monotonic_now())) {
    links->send(link_channel::limits, message);
  }
}

void node::start() {
  parts_->running = true;
  parts_->core.start();
  parts_->limit_sender =
      std::make_unique<periodic>(parts_->runtime, 0, limit_settings{}.message_interval,
                                 [this] { parts_->send_limit_leases(); });
}

bool node::stop() {
  parts& p = *parts_;
  const time_point until = monotonic_now() + p.options.load_balancer_lag + p.options.drain_timeout;
  p.context.stop.begin(until - std::min(answer_margin, p.options.drain_timeout / 2));
  p.callers.begin_drain();
  p.core.call([](time_point now, coordinator& c) {
    c.begin_drain(now);
    return effects{};
  });
  // New callers still arrive until the load balancer has noticed that the node is draining; they
  // are served as usual.
  bool clean = false;
  p.runtime.run_on(0, [&p, &clean, until] {
    p.runtime.post(0, [&p] { p.context.stop.end_calls(); });
    sleep_until(until - p.options.drain_timeout);
    clean = p.server->drain(until);
  });
  p.core.stop();
  p.running = false;
  return clean;
}

std::uint16_t node::caller_port() const {
  return parts_->server->port();
}

std::uint16_t node::link_port() const {
  return parts_->links->port();
}

status_view node::status() const {
  return parts_->status();
}

bool node::has_configuration() const {
  return parts_->core.view()->config != nullptr;
}

std::size_t node::routable_replicas() const {
  const std::shared_ptr<const node_view> view = parts_->core.view();
  const time_point now = monotonic_now();
  std::size_t count = 0;
  for (const replica_route& route : view->routes.replicas) {
    count += may_use_route(now, route) ? 1 : 0;
  }
  return count;
}

std::uint64_t node::config_version() const {
  const std::shared_ptr<const node_view> view = parts_->core.view();
  return view->config ? view->config->version : 0;
}

}  // namespace arbutus
