// Matches a streamed response to its request. Each token is delivered once and in order, and a
// truncated response or one of another request never counts as complete. Independent of the
// stream's encoding.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/id.h"
#include "request/outcome.h"

namespace arbutus {

enum class token_status {
  deliver,    // the token is the next one: send it to the caller
  duplicate,  // the token was delivered already and is dropped
  gap,        // tokens before this one are missing: the attempt is broken
  wrong_id,   // the token belongs to another request: the attempt and its connection are broken
  after_end,  // the token arrived after the end or on a broken attempt and is dropped
};

enum class end_status {
  complete,   // every token was delivered
  truncated,  // no end message, or one that counts more tokens than were received
  wrong_id,   // the end message belongs to another request
  broken,     // a token was missing or belonged to another request
};

// The response to one request over all its attempts. Offsets count tokens of the response from 0.
class answer_stream {
 public:
  explicit answer_stream(request_id id) : id_(std::move(id)) {}

  // Starts a new attempt on another replica or connection. The replica is asked to continue the
  // response at resume_offset() but may send earlier tokens again.
  void begin_attempt();

  [[nodiscard]] token_status accept(const request_id& id, std::uint64_t offset);
  // The sender reported the end of a response of `total` tokens.
  [[nodiscard]] end_status finish(const request_id& id, std::uint64_t total);
  // The connection to the replica ended. Returns `complete` only if finish() returned it before.
  [[nodiscard]] end_status closed();

  [[nodiscard]] std::uint64_t resume_offset() const { return next_offset_; }
  [[nodiscard]] bool complete() const { return complete_; }
  // Whether the caller received any token.
  [[nodiscard]] bool any_delivered() const { return next_offset_ > 0; }

 private:
  request_id id_;
  std::uint64_t next_offset_ = 0;  // == number of tokens delivered
  bool attempt_broken_ = false;    // the current attempt is broken
  bool complete_ = false;          // the whole response was delivered; never reset
};

}  // namespace arbutus
