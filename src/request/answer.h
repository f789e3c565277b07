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
  deliver,    // deliver it to the caller
  duplicate,  // already delivered; drop it
  gap,        // tokens before it are missing: the attempt is broken
  wrong_id,   // belongs to another request: the attempt and its connection are broken
  after_end,  // received after the end or on a broken attempt; drop it
};

enum class end_status {
  complete,   // every token was delivered
  truncated,  // ended without an end message, or that counts more tokens than were received
  wrong_id,
  broken,  // after a gap or a token of another request
};

// One request over all its attempts. Offsets count tokens of the response from 0.
class answer_stream {
 public:
  explicit answer_stream(request_id id) : id_(std::move(id)) {}

  // Starts a new attempt on another replica or connection. It is asked to start at resume_offset()
  // but may start earlier.
  void begin_attempt();

  [[nodiscard]] token_status accept(const request_id& id, std::uint64_t offset);
  // The sender reported the end of a response of `total` tokens.
  [[nodiscard]] end_status finish(const request_id& id, std::uint64_t total);
  // The connection ended. Returns `complete` only if finish() returned it before.
  [[nodiscard]] end_status closed();

  [[nodiscard]] std::uint64_t resume_offset() const { return next_; }
  [[nodiscard]] bool complete() const { return complete_; }
  // Whether the caller received any token.
  [[nodiscard]] bool any_delivered() const { return next_ > 0; }

 private:
  request_id id_;
  std::uint64_t next_ = 0;  // == number of tokens delivered
  bool broken_ = false;     // this attempt
  bool complete_ = false;   // never reset
};

}  // namespace arbutus
