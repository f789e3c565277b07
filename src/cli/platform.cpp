// `platform`: the stand-in of a platform that keeps configuration and targets.
#include <boost/system/system_error.hpp>
#include <iostream>

#include "cli/commands.h"
#include "cli/signals.h"
#include "standin/hosted_platform.h"

namespace arbutus {

int run_platform(const platform_options& options, std::ostream& out) {
  block_end_signals();
  fiber_runtime runtime(1);
  runtime.run();
  standin::hosted_platform_settings settings;
  settings.data_centres = options.data_centres;
  settings.engines_each = options.engines_each;
  settings.store_port = options.store_port;
  try {
    const standin::hosted_platform platform(runtime, settings);
    out << "store at " << settings.ip << ':' << platform.store_port() << "; host "
        << standin::hosted_host << ", key " << standin::hosted_key << ", paths /llm/ and /card/"
        << std::endl;
    wait_for_end_signal();
  } catch (const boost::system::system_error& e) {
    std::cerr << "platform: cannot listen: " << e.what() << '\n';
    return to_status(exit_code::failure);
  }
  return to_status(exit_code::ok);
}

}  // namespace arbutus
