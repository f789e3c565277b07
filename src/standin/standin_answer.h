// One answer of a stand-in engine while it is sent, with its faults: it can be late, be truncated,
// repeat a token, or belong to another request.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/units.h"

namespace arbutus::standin {

struct generation_request {
  request_id id;
  model_id model;
  std::string prompt;
  std::uint32_t max_tokens = 16;
  std::uint32_t resume_offset{};   // number of tokens the caller already has
  std::uint32_t priority{};        // lower numbers start first, 0 before all others
  std::optional<duration> expiry;  // time from arrival after which a queued request is dropped
  replica_id replica;  // replica that the caller expects this engine to be in; empty: not specified
  std::string fencing_generation;  // fencing generation that the caller expects of the replica, as
                                   // text; empty: not specified
};

struct standin_token {
  std::uint32_t offset{};  // position of the token in the complete answer, from 0
  std::string text;
};

// Faults that a stand-in engine applies to one answer.
struct answer_faults {
  time_point not_before;   // no token is sent before this time
  bool truncate = false;   // the answer ends after half of its tokens, without an end marker
  bool duplicate = false;  // one token in the middle is sent twice
};

class standin_answer {
 public:
  standin_answer(const generation_request& request, const answer_faults& faults);

  // Number of tokens to generate for this answer.
  [[nodiscard]] std::uint32_t tokens_to_generate() const noexcept {
    return answer_end_ - first_offset_;
  }

  // Returns and removes the next tokens to send, when `produced` of tokens_to_generate() tokens are
  // generated. Empty before not_before().
  [[nodiscard]] std::vector<standin_token> take(time_point now, std::uint32_t produced);

  [[nodiscard]] bool complete() const noexcept {
    return next_offset_ >= answer_end_ && !faults_.truncate;
  }
  [[nodiscard]] bool truncated() const noexcept {
    return faults_.truncate && next_offset_ >= send_end_;
  }
  // Whether tokens of this answer may have reached the caller.
  [[nodiscard]] bool has_sent_tokens() const noexcept { return has_sent_tokens_; }
  [[nodiscard]] const request_id& response_id() const noexcept { return response_id_; }
  [[nodiscard]] time_point not_before() const noexcept { return faults_.not_before; }
  void hold_until(time_point t) { faults_.not_before = t; }

  // Exchanges the answers and request ids of two requests, and removes their delays.
  static void swap_answers(standin_answer& a, standin_answer& b);

 private:
  request_id response_id_;
  std::uint64_t seed_;
  answer_faults faults_;
  // Offsets of tokens: the first of this answer, the next to send, the end of what is sent, the end
  // of the complete answer. Invariant: first_offset_ <= next_offset_ <= send_end_ <= answer_end_;
  // send_end_ < answer_end_ only if truncated.
  std::uint32_t first_offset_;
  std::uint32_t next_offset_;
  std::uint32_t send_end_;
  std::uint32_t answer_end_;
  std::uint32_t duplicate_at_;
  bool has_sent_tokens_ = false;
};

}  // namespace arbutus::standin
