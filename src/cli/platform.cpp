// The `platform` subcommand: runs a stand-in of the hosted platform, which stores the configuration
// and runs the targets.
#include <boost/system/system_error.hpp>
#include <iostream>
#include <optional>

#include "cli/commands.h"
#include "cli/signals.h"
#include "standin/hosted_control.h"
#include "standin/hosted_platform.h"

namespace arbutus {

int run_platform(const platform_options& options, std::ostream& out) {
  block_termination_signals();
  fiber_runtime runtime(1);
  runtime.run();
  standin::hosted_platform_settings settings;
  settings.data_centres = options.data_centres;
  settings.engines_per_data_centre = options.engines_per_data_centre;
  settings.store_port = options.store_port;
  settings.event_gap = options.event_gap;
  if (options.control_port != 0) {
    settings.nodes_with_paths = options.data_centres.size();
  }
  try {
    standin::hosted_platform platform(runtime, settings);
    std::optional<standin::hosted_control> control;
    if (options.control_port != 0) {
      control.emplace(runtime, platform, socket_address{settings.ip, options.control_port});
    }
    out << "store at " << settings.ip << ':' << platform.store_port() << "; host "
        << standin::hosted_host_name << ", key " << standin::hosted_caller_key
        << ", paths /llm/ and /card/" << std::endl;
    wait_for_termination_signal();
  } catch (const boost::system::system_error& e) {
    std::cerr << "platform: cannot listen: " << e.what() << '\n';
    return to_status(exit_code::failure);
  }
  return to_status(exit_code::ok);
}

}  // namespace arbutus
