// The load subcommand.
#include "cli/commands.h"

namespace arbutus {

int run_load(const load_options& /*options*/, std::ostream& out) {
  out << "load: not built yet\n";
  return to_status(exit_code::failure);
}

}  // namespace arbutus
