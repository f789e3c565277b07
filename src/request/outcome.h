// Outcomes of a request for its caller, and whether it may be retried.
//
// `not_run` is a guarantee: it is reported only with proof that no byte of the request could reach
// a target, or that the target itself refused it. Any other end without a complete response is
// `unknown`.
#pragma once

#include <span>
#include <string_view>

namespace arbutus {

enum class execution {
  done,     // a complete response was received
  not_run,  // proven
  unknown,  // may have run
};

[[nodiscard]] std::string_view to_string(execution e);

// What the sender of an attempt observed.
struct attempt_evidence {
  bool bytes_may_have_left = false;  // the first write to the target's connection was started
  bool target_refused = false;       // the response says that the request was refused and not run
  bool complete_answer = false;      // a complete response with the right request id was received
};

[[nodiscard]] execution classify(const attempt_evidence& seen);

// The outcome that a node may report after it forwarded a request to another node. `link`: what it
// observed of that hop; `reported`: the outcome that the other node reported, which counts only if
// its response is complete.
[[nodiscard]] execution classify_hop(const attempt_evidence& link, execution reported);

// The outcome of several attempts of one request, in any order: done if one is done, not_run only
// if all are. Without any attempt, not_run.
[[nodiscard]] execution combine(std::span<const execution> attempts);

// Whether another attempt is safe; budget and deadline are checked separately (retry.h).
[[nodiscard]] constexpr bool may_repeat(execution last, bool repeatable) {
  return last == execution::not_run || (last == execution::unknown && repeatable);
}

}  // namespace arbutus
