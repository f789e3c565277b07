// The apply subcommand.
#include "cli/commands.h"

namespace arbutus {

int run_apply(const apply_options& /*options*/, std::ostream& out) {
  out << "apply: not built yet\n";
  return to_status(exit_code::failure);
}

}  // namespace arbutus
