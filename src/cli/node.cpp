// The `node` subcommand: runs one node until SIGTERM, then stops it gracefully.
#include "node/node.h"

#include <algorithm>
#include <boost/system/system_error.hpp>
#include <iostream>
#include <random>
#include <thread>

#include "cli/commands.h"
#include "cli/signals.h"
#include "connection/clock.h"
#include "node/log.h"
#include "process/settings.h"
#include "version/import.h"

namespace arbutus {

namespace {

socket_address address_of(const endpoint& e) {
  return {e.host, e.port};
}

http_server_limits limits_of(const connection_limits& from) {
  http_server_limits limits;
  limits.max_header_bytes = from.header_bytes;
  limits.max_body_bytes = from.body_bytes;
  limits.max_connections = from.connections;
  limits.read_timeout = from.header_timeout + from.body_timeout;
  limits.idle_timeout = from.idle_timeout;
  limits.write_timeout = from.write_timeout;
  return limits;
}

// With room for several of the largest bodies, so that one alone does not fill it.
std::size_t buffered_bytes_of(const connection_limits& limits) {
  constexpr std::size_t min_bodies = 8;
  return std::max<std::size_t>(limits.buffered_bytes, min_bodies * limits.body_bytes);
}

std::uint64_t random_seed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

node_setup setup_of(const node_settings& settings) {
  node_setup setup;
  setup.self = settings.id;
  setup.data_centre = settings.data_centre;
  setup.caller_address = address_of(settings.listen.caller_endpoint);
  setup.link_address = address_of(settings.listen.link_endpoint);
  setup.platform = {address_of(settings.platform.table), address_of(settings.platform.objects),
                    address_of(settings.platform.vms)};
  for (const peer_settings& peer : settings.peers) {
    setup.bootstrap_peers.push_back({peer.id, peer.data_centre, peer.link, peer.caller});
  }
  setup.workers =
      settings.workers != 0 ? settings.workers : std::max(1U, std::thread::hardware_concurrency());
  setup.limits = limits_of(settings.limits);
  setup.buffered_bytes = buffered_bytes_of(settings.limits);
  setup.operator_key_hash = settings.operator_key_hash;
  setup.incarnation = static_cast<std::uint64_t>(wall_now().milliseconds);
  setup.seed = random_seed();
  setup.load_balancer_lag = settings.timing.load_balancer_lag.value_or(setup.load_balancer_lag);
  setup.drain_timeout = settings.timing.planned_stop_timeout.value_or(setup.drain_timeout);
  setup.on_notice = [](const notice& n) { log_line(log_level::info, n.part, n.text); };
  return setup;
}

std::optional<node_settings> read_settings(const std::string& file) {
  findings problems;
  const auto text = read_text_file(file, max_toml_bytes, problems);
  settings_result result;
  if (text) {
    result = load_settings(*text, file);
    problems.insert(problems.end(), result.problems.begin(), result.problems.end());
  }
  for (const finding& f : problems) {
    std::cerr << f << '\n';
  }
  if (has_errors(problems)) {
    return std::nullopt;
  }
  return result.settings;
}

int serve(const node_settings& settings, std::ostream& out) {
  node running(setup_of(settings));
  running.start();
  out << "node " << settings.id << " listens for callers at "
      << to_string(settings.listen.caller_endpoint) << " and for nodes at "
      << to_string(settings.listen.link_endpoint) << std::endl;
  wait_for_termination_signal();
  log_line(log_level::info, "node", "stopping: readiness fails, requests in flight finish");
  const bool clean = running.stop();
  log_line(clean ? log_level::info : log_level::error, "node",
           clean ? "stopped, nothing was cut off" : "stopped, requests were cut off");
  return to_status(clean ? exit_code::ok : exit_code::failure);
}

}  // namespace

int run_node(const node_options& options, std::ostream& out) {
  const auto settings = read_settings(options.settings_file);
  if (!settings) {
    return to_status(exit_code::input_errors);
  }
  block_termination_signals();
  start_log(settings->log, settings->id, std::cerr);
  int status = to_status(exit_code::failure);
  try {
    status = serve(*settings, out);
  } catch (const boost::system::system_error& e) {
    std::cerr << "node: cannot listen: " << e.what() << '\n';
  }
  stop_log();
  return status;
}

}  // namespace arbutus
