// The `explain` subcommand: the timeline of one request, from the log lines of all nodes.
#include <fstream>
#include <iostream>

#include "cli/commands.h"
#include "node/request_timeline.h"

namespace arbutus {

int run_explain(const explain_options& options, std::ostream& out) {
  log_reader reader;
  std::size_t unreadable = 0;
  if (options.files.empty()) {
    unreadable = reader.read(std::cin, options.request);
  }
  for (const std::string& name : options.files) {
    std::ifstream file(name);
    if (!file) {
      std::cerr << "explain: cannot read " << name << '\n';
      return to_status(exit_code::input_errors);
    }
    unreadable += reader.read(file, options.request);
  }
  if (unreadable > 0) {
    std::cerr << "explain: skipped " << unreadable << " lines that are no log lines of a node\n";
  }
  const auto timeline = reader.timeline_of(options.request);
  if (!timeline) {
    std::cerr << "explain: no log line for request " << options.request
              << "; at log level \"info\" successful requests are not logged\n";
    return to_status(exit_code::failure);
  }
  out << to_text(*timeline);
  return to_status(exit_code::ok);
}

}  // namespace arbutus
