// The node subcommand.
#include "cli/commands.h"

namespace arbutus {

int run_node(const node_options& /*options*/, std::ostream& out) {
  out << "node: not built yet\n";
  return to_status(exit_code::failure);
}

}  // namespace arbutus
