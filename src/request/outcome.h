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
  not_run,  // the request provably did not run
  unknown,  // the request may have run
};

[[nodiscard]] std::string_view to_string(execution e);

// What the sender of an attempt observed.
struct attempt_evidence {
  bool bytes_may_have_left = false;  // the first write to the target's connection was started
  bool target_refused = false;       // the response says that the request was refused and not run
  bool complete_answer = false;      // a complete response with the right request id was received
};

[[nodiscard]] execution classify(const attempt_evidence& seen);

// The outcome that a node may report after it forwarded a request to another node. `link`: what the
// forwarding node observed of the connection to the other; `reported`: the outcome that the other
// node reported, which counts only if its response is complete.
[[nodiscard]] execution classify_hop(const attempt_evidence& link, execution reported);

// The outcome of a request from the outcomes of its attempts, in any order: done if one attempt is
// done; not_run only if all attempts are not_run or there was none; otherwise unknown.
[[nodiscard]] execution combine(std::span<const execution> attempts);

// Whether a request may be sent again after an attempt ended as `last`: only if it provably did not
// run, or if it may run twice (`repeatable`). The retry budget and the deadline are checked
// separately (retry.h).
[[nodiscard]] constexpr bool may_repeat(execution last, bool repeatable) {
  return last == execution::not_run || (last == execution::unknown && repeatable);
}

}  // namespace arbutus
