// The standin subcommand.
#include "cli/commands.h"

namespace arbutus {

int run_standin(const standin_options& /*options*/, std::ostream& out) {
  out << "standin: not built yet\n";
  return to_status(exit_code::failure);
}

}  // namespace arbutus
