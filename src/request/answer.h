// Matching of a streamed answer to its request: each token goes to the caller once, in order, and
// a cut or foreign answer is never taken for a whole one. Knows nothing of the stream's encoding.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/id.h"
#include "request/outcome.h"

namespace arbutus {

enum class token_verdict {
  deliver,    // hand it to the caller now
  duplicate,  // was delivered before; drop it
  gap,        // tokens before it are missing: the attempt is broken
  wrong_id,   // belongs to another request: the attempt and its connection are broken
  after_end,  // came after the finish or on a broken attempt; drop it
};

enum class end_verdict {
  whole,      // every token was delivered
  truncated,  // ended without finish, or the finish counts more tokens than came
  wrong_id,
  broken,  // a gap or a foreign token was seen before
};

// One request over all its attempts. Offsets count tokens of the answer from 0.
class answer_stream {
 public:
  explicit answer_stream(request_id id) : id_(std::move(id)) {}

  // A new attempt takes over, on another replica or connection; it is asked to start at
  // resume_offset(), but may start earlier.
  void begin_attempt();

  [[nodiscard]] token_verdict accept(const request_id& id, std::uint64_t offset);
  // The sender says that the answer has `total` tokens.
  [[nodiscard]] end_verdict finish(const request_id& id, std::uint64_t total);
  // The connection ended. `whole` only if finish() said so before.
  [[nodiscard]] end_verdict closed();

  [[nodiscard]] std::uint64_t resume_offset() const { return next_; }
  [[nodiscard]] bool whole() const { return whole_; }
  // For classify(): what the caller may be told if no further attempt is made.
  [[nodiscard]] bool any_delivered() const { return next_ > 0; }

 private:
  request_id id_;
  std::uint64_t next_ = 0;  // == number of tokens delivered
  bool broken_ = false;     // this attempt
  bool whole_ = false;      // never reset
};

}  // namespace arbutus
