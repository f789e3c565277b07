// Produces the tokens of one answer of a stand-in engine in order, with the faults of that answer.
#include "standin/standin_answer.h"

#include <algorithm>
#include <utility>

#include "standin/expected_answer.h"

namespace arbutus::standin {

standin_answer::standin_answer(const generation_request& request, const answer_faults& faults)
    : response_id_(request.id),
      seed_(answer_seed(request.model, request.prompt)),
      faults_(faults),
      first_offset_(std::min(request.resume_offset, request.max_tokens)),
      next_offset_(first_offset_),
      send_end_(request.max_tokens),
      answer_end_(request.max_tokens),
      duplicate_at_(first_offset_ + (answer_end_ - first_offset_) / 2) {
  if (faults_.truncate) {
    send_end_ = duplicate_at_;
  }
}

std::vector<standin_token> standin_answer::take(time_point now, std::uint32_t produced) {
  std::vector<standin_token> tokens;
  if (now < faults_.not_before) {
    return tokens;
  }
  const std::uint32_t limit =
      std::min(send_end_, first_offset_ + std::min(produced, tokens_to_generate()));
  for (; next_offset_ < limit; ++next_offset_) {
    tokens.push_back({next_offset_, answer_token(seed_, next_offset_)});
    if (faults_.duplicate && next_offset_ == duplicate_at_) {
      tokens.push_back(tokens.back());
    }
  }
  has_sent_tokens_ = has_sent_tokens_ || !tokens.empty();
  return tokens;
}

void standin_answer::swap_answers(standin_answer& a, standin_answer& b) {
  std::swap(a.response_id_, b.response_id_);
  std::swap(a.seed_, b.seed_);
  a.faults_.not_before = time_point{};
  b.faults_.not_before = time_point{};
}

}  // namespace arbutus::standin
