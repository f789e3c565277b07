// The bench subcommand.
#include "cli/commands.h"

namespace arbutus {

int run_bench(const bench_options& /*options*/, std::ostream& out) {
  out << "bench: not built yet\n";
  return to_status(exit_code::failure);
}

}  // namespace arbutus
