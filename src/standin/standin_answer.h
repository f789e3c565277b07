// One answer on its way out of a stand-in engine, with the faults an answer can have: it can come
// late, be cut in the middle, repeat a token, or be another request's.
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
  std::uint32_t resume_offset{};   // tokens the caller has already
  std::uint32_t priority{};        // 0 first
  std::optional<duration> expiry;  // from arrival; dropped if still queued then
  replica_id replica;              // who the caller takes this VM for; empty: not said
  std::string gen;                 // as text; empty: not said
};

struct standin_token {
  std::uint32_t offset{};  // in the whole answer, from 0
  std::string text;
};

// Faults of one answer.
struct answer_faults {
  time_point not_before;   // nothing leaves earlier
  bool truncate = false;   // ends without notice after half of the tokens
  bool duplicate = false;  // one token in the middle goes out twice
};

class standin_answer {
 public:
  standin_answer(const generation_request& request, const answer_faults& faults);

  // Tokens to be made for this answer.
  [[nodiscard]] std::uint32_t total() const noexcept { return end_ - first_; }

  // Takes the next tokens once `produced` of total() are made. Empty while it is held back.
  [[nodiscard]] std::vector<standin_token> take(time_point now, std::uint32_t produced);

  [[nodiscard]] bool complete() const noexcept { return next_ >= end_ && !faults_.truncate; }
  [[nodiscard]] bool truncated() const noexcept { return faults_.truncate && next_ >= last_; }
  // Whether a caller may have seen anything of it.
  [[nodiscard]] bool has_sent_tokens() const noexcept { return has_sent_tokens_; }
  [[nodiscard]] const request_id& shown_as() const noexcept { return shown_as_; }
  [[nodiscard]] time_point not_before() const noexcept { return faults_.not_before; }
  void hold_until(time_point t) { faults_.not_before = t; }

  // Each gets the other's answer under the other's name, from now on without delay.
  static void swap_answers(standin_answer& a, standin_answer& b);

 private:
  request_id shown_as_;
  std::uint64_t seed_;
  answer_faults faults_;
  // Invariant: first_ <= next_ <= last_ <= end_; last_ < end_ only if truncated.
  std::uint32_t first_;
  std::uint32_t next_;
  std::uint32_t last_;
  std::uint32_t end_;
  std::uint32_t duplicate_at_;
  bool has_sent_tokens_ = false;
};

}  // namespace arbutus::standin
