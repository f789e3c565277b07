// The status subcommand.
#include "cli/commands.h"

namespace arbutus {

int run_status(const status_options& /*options*/, std::ostream& out) {
  out << "status: not built yet\n";
  return to_status(exit_code::failure);
}

}  // namespace arbutus
