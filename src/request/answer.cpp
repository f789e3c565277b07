// Checks the tokens of streamed responses.
#include "request/answer.h"

namespace arbutus {

void answer_stream::begin_attempt() {
  broken_ = false;
}

token_verdict answer_stream::accept(const request_id& id, std::uint64_t offset) {
  if (whole_ || broken_) {
    return token_verdict::after_end;
  }
  // A late response to an earlier request on the same connection. Without this check, its tokens
  // would be delivered to the wrong caller.
  if (id != id_) {
    broken_ = true;
    return token_verdict::wrong_id;
  }
  if (offset < next_) {
    return token_verdict::duplicate;
  }
  if (offset > next_) {
    broken_ = true;
    return token_verdict::gap;
  }
  ++next_;
  return token_verdict::deliver;
}

end_verdict answer_stream::finish(const request_id& id, std::uint64_t total) {
  if (whole_) {
    return end_verdict::whole;
  }
  if (broken_) {
    return end_verdict::broken;
  }
  if (id != id_) {
    broken_ = true;
    return end_verdict::wrong_id;
  }
  if (total != next_) {
    broken_ = true;
    // Fewer tokens than were delivered: this attempt generated a different response than the
    // previous one.
    return total > next_ ? end_verdict::truncated : end_verdict::broken;
  }
  whole_ = true;
  return end_verdict::whole;
}

end_verdict answer_stream::closed() {
  if (whole_) {
    return end_verdict::whole;
  }
  const end_verdict result = broken_ ? end_verdict::broken : end_verdict::truncated;
  broken_ = true;
  return result;
}

}  // namespace arbutus
