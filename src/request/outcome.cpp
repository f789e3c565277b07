// Classifies outcomes and combines them over attempts and hops.
#include "request/outcome.h"

#include <algorithm>

namespace arbutus {

std::string_view to_string(execution e) {
  switch (e) {
    case execution::done:
      return "done";
    case execution::not_run:
      return "not_run";
    case execution::unknown:
      break;
  }
  return "unknown";
}

execution classify(const attempt_evidence& seen) {
  if (seen.complete_answer) {
    return seen.target_refused ? execution::not_run : execution::done;
  }
  return seen.bytes_may_have_left ? execution::unknown : execution::not_run;
}

execution classify_hop(const attempt_evidence& link, execution reported) {
  // A truncated response that began with "not run" proves nothing: it may belong to another
  // request.
  return link.complete_answer ? reported : classify(link);
}

execution combine(std::span<const execution> attempts) {
  const auto has = [&](execution e) {
    return std::find(attempts.begin(), attempts.end(), e) != attempts.end();
  };
  if (has(execution::done)) {
    return execution::done;
  }
  return has(execution::unknown) ? execution::unknown : execution::not_run;
}

}  // namespace arbutus
