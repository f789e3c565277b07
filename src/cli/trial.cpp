// The trial subcommand.
#include "cli/commands.h"

namespace arbutus {

int run_trial(const trial_options& /*options*/, std::ostream& out) {
  out << "trial: not built yet\n";
  return to_status(exit_code::failure);
}

}  // namespace arbutus
