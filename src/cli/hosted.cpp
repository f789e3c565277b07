// The `hosted` subcommand: runs one node on the hosted platform, which stores the configuration and
// runs the targets, until SIGTERM.
#include <boost/system/system_error.hpp>
#include <iostream>

#include "cli/commands.h"
#include "cli/signals.h"
#include "node/hosted_node.h"
#include "node/log.h"
#include "process/hosted_settings.h"
#include "version/import.h"

namespace arbutus {

namespace {

std::optional<hosted_settings> read_hosted_settings(const std::string& file) {
  findings problems;
  const auto text = read_text_file(file, max_toml_bytes, problems);
  hosted_settings_result result;
  if (text) {
    result = load_hosted_settings(*text, file);
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

// Applies the log level of the changed settings file. All other settings need a restart; a changed
// store or caller address is logged as a warning.
void reload(hosted_settings& current, const std::string& file) {
  const auto changed = read_hosted_settings(file);
  if (!changed) {
    log_line(log_level::error, "settings", "not reloaded: the changed file has errors",
             {{"file", file}});
    return;
  }
  set_log_level(changed->log.level);
  const bool same = changed->store == current.store &&
                    changed->listen.caller_endpoint == current.listen.caller_endpoint;
  log_line(same ? log_level::info : log_level::warning, "settings",
           same ? "reloaded" : "reloaded; changed addresses take effect after a restart",
           {{"file", file}});
  current.log = changed->log;
}

int serve(hosted_settings settings, const std::string& file) {
  hosted_node running(settings);
  running.start();
  log_line(log_level::info, "node", "started",
           {{"data_centre", settings.data_centre},
            {"callers", to_string(settings.listen.caller_endpoint)},
            {"store", to_string(settings.store)},
            {"cold_start", settings.cold_start}});
  while (wait_for_signal() == signal_kind::reload) {
    reload(settings, file);
  }
  log_line(log_level::info, "node", "stopping");
  const bool clean = running.stop();
  log_line(clean ? log_level::info : log_level::error, "node", "stopped", {{"clean", clean}});
  return to_status(clean ? exit_code::ok : exit_code::failure);
}

}  // namespace

int run_hosted(const hosted_options& options, std::ostream& out) {
  const auto settings = read_hosted_settings(options.settings_file);
  if (!settings) {
    return to_status(exit_code::input_errors);
  }
  block_signals();
  log_settings log = settings->log;
  log.format = log_format::json;
  start_log(log, settings->id, out);
  int status = to_status(exit_code::failure);
  try {
    status = serve(*settings, options.settings_file);
  } catch (const boost::system::system_error& e) {
    std::cerr << "hosted: cannot listen: " << e.what() << '\n';
  }
  stop_log();
  return status;
}

}  // namespace arbutus
