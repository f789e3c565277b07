// What the answer of a target says of a request, and what the caller gets of it.
//
// Some statuses promise a caller that its request has not run and never will, and callers then send
// it again, also one that may run only once. Only the target knows whether that is so. A target
// that answers with such a status and does not state that it did not run the request may have run
// it.
#pragma once

#include <cstdint>

namespace arbutus {

// The one status that is itself a statement of the target: the request was meant for another one.
inline constexpr int status_misdirected = 421;

// The head of a complete answer of a target.
struct answer_head {
  int status = 0;
  bool names_other_request = false;  // carries the id of another request
  bool states_not_run = false;       // states that the target did not run the request
  bool is_verified = false;          // a success may be forwarded: signed, with the id, not encoded
};

enum class answer_kind : std::uint8_t {
  succeeded,         // the target ran the request
  failed,            // the target may have run the request, and reports a failure
  not_run,           // the target states that it did not run the request
  mismatched,        // the answer belongs to another request
  unsigned_success,  // a success that is not verified
};

[[nodiscard]] answer_kind kind_of(const answer_head& answer);

// Whether the answer is the target's response to this request, a success or a failure.
[[nodiscard]] constexpr bool is_response(answer_kind kind) {
  return kind == answer_kind::succeeded || kind == answer_kind::failed;
}

// Whether callers take the status for the promise that their request has not run and never will.
[[nodiscard]] constexpr bool promises_not_run(int status) {
  constexpr int request_timeout = 408;
  constexpr int too_many_requests = 429;
  constexpr int unavailable = 503;
  return status == request_timeout || status == status_misdirected || status == too_many_requests ||
         status == unavailable;
}

// Who gives the answer that is at hand for a caller.
enum class answer_source : std::uint8_t {
  node,    // this node or a peer, as its own refusal or error
  target,  // a target that may have run the request
};

// What is known of a call when an answer is at hand.
struct call_progress {
  bool repeatable = false;          // the request may run more than once
  std::uint32_t possible_runs = 0;  // runs that earlier attempts may have made
};

// Whether the status would promise the caller what is not known. A request that may be repeated
// gets a target's failure as it is: to run it again does no harm.
[[nodiscard]] bool is_false_promise(answer_source source, int status, const call_progress& call);

// The status of an answer in place of one that would be a false promise.
[[nodiscard]] constexpr int status_without_promise(bool repeatable) {
  constexpr int bad_gateway = 502;
  constexpr int gateway_timeout = 504;
  return repeatable ? bad_gateway : gateway_timeout;
}

// What a node does with a target's complete answer.
enum class answer_use : std::uint8_t {
  forward,      // unchanged
  replace,      // by an answer of the node's own with status_without_promise()
  try_another,  // sends the request to another target, or refuses it if there is none
};

// `can_try_again`: the route's attempts and the retry budget allow one more run.
[[nodiscard]] answer_use use_of(answer_kind kind, int status, const call_progress& call,
                                bool can_try_again);

}  // namespace arbutus
