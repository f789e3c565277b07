// The `standin` subcommand: runs stand-ins for the platform and the targets of a configuration in a
// process of their own, for trials and process tests.
#include <boost/system/system_error.hpp>
#include <iostream>

#include "cli/commands.h"
#include "cli/signals.h"
#include "connection/clock.h"
#include "process/settings.h"
#include "standin/fleet.h"
#include "version/import.h"

namespace arbutus {

namespace {

using standin::engine_settings;
using standin::model_profile;

constexpr std::size_t standin_workers = 3;

std::optional<endpoint> platform_of(const std::string& settings_file, findings& problems) {
  const auto text = read_text_file(settings_file, max_toml_bytes, problems);
  if (!text) {
    return std::nullopt;
  }
  const settings_result result = load_settings(*text, settings_file);
  problems.insert(problems.end(), result.problems.begin(), result.problems.end());
  const platform_settings& platform = result.settings.platform;
  if (platform.objects != platform.table || platform.vms != platform.table) {
    problems.push_back({severity::error,
                        {settings_file, 0, 0},
                        "the stand-in serves table, objects and vms at one endpoint",
                        "the same endpoint three times in [platform]"});
  }
  return platform.table;
}

// Engine settings for the models in the rules: slots come from the rules, weights and speeds are
// the stand-in's defaults. Incarnation numbers count up from the start time, so that after a
// restart of this process no engine is mistaken for its previous incarnation.
engine_settings engines_for(const rules& desired, std::uint64_t seed) {
  engine_settings settings;
  settings.seed = seed;
  settings.first_incarnation = static_cast<std::uint64_t>(wall_now().milliseconds);
  for (const model_rule& rule : desired.models) {
    model_profile profile = settings.default_profile;
    profile.batch.slots = rule.slots;
    settings.models.emplace(rule.id, profile);
  }
  return settings;
}

}  // namespace

int run_standin(const standin_options& options, std::ostream& out) {
  import_result imported = import_directory(options.directory);
  findings problems = imported.problems;
  const auto platform = platform_of(options.settings_file, problems);
  for (const finding& f : problems) {
    std::cerr << f << '\n';
  }
  if (!platform || has_errors(problems)) {
    return to_status(exit_code::input_errors);
  }
  block_termination_signals();
  fiber_runtime runtime(standin_workers);
  runtime.run();
  fleet_settings settings;
  settings.engine = engines_for(imported.desired, options.seed);
  settings.engines = options.engines;
  settings.services = options.services;
  settings.platform = options.platform ? *platform : endpoint{platform->host, 0};
  try {
    const standin_fleet fleet(runtime, imported.assets, settings);
    out << "standing in for " << (options.engines ? fleet.assets().vms.size() : 0) << " VMs, "
        << (options.services ? fleet.assets().services.size() : 0)
        << " service targets and the platform at " << to_string(fleet.platform()) << std::endl;
    wait_for_termination_signal();
  } catch (const boost::system::system_error& e) {
    std::cerr << "standin: cannot listen: " << e.what() << '\n';
    return to_status(exit_code::failure);
  }
  return to_status(exit_code::ok);
}

}  // namespace arbutus
