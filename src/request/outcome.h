// How one request can end for its caller, and what follows from it for a retry.
//
// `not_run` is a promise: it is only given with proof that no byte of the request could reach a
// target, or that the target itself refused it. Everything else without an answer is `unknown`.
#pragma once

#include <span>
#include <string_view>

namespace arbutus {

enum class execution {
  done,     // one whole answer was received
  not_run,  // proven
  unknown,  // may have run
};

[[nodiscard]] std::string_view to_string(execution e);

// What the sender of an attempt saw of it.
struct attempt_evidence {
  bool bytes_may_have_left = false;  // the first write to the target's connection was begun
  bool target_refused = false;       // a whole answer that says: refused before it was run
  bool whole_answer = false;         // a whole answer, matched by request id
};

[[nodiscard]] execution classify(const attempt_evidence& seen);

// What a node may say after it passed a request to another node: `link` is what it saw of that
// hop, `told` what the other node answered (only looked at when the hop gave a whole answer).
[[nodiscard]] execution over_hop(const attempt_evidence& link, execution told);

// The outcome of several attempts of one request, in any order: done if one is done, not_run only
// if all are. No attempt at all is not_run.
[[nodiscard]] execution combine(std::span<const execution> attempts);

// Whether another attempt could do harm; budget and deadline are asked apart (retry.h).
[[nodiscard]] constexpr bool may_repeat(execution last, bool repeatable) {
  return last == execution::not_run || (last == execution::unknown && repeatable);
}

}  // namespace arbutus
