// Checks that the tokens of a streamed response are complete, in order and of the right request.
#include "request/answer.h"

namespace arbutus {

void answer_stream::begin_attempt() {
  attempt_broken_ = false;
}

token_status answer_stream::accept(const request_id& id, std::uint64_t offset) {
  if (complete_ || attempt_broken_) {
    return token_status::after_end;
  }
  // A late response to an earlier request on the same connection. Without this check, its tokens
  // would be delivered to the wrong caller.
  if (id != id_) {
    attempt_broken_ = true;
    return token_status::wrong_id;
  }
  if (offset < next_offset_) {
    return token_status::duplicate;
  }
  if (offset > next_offset_) {
    attempt_broken_ = true;
    return token_status::gap;
  }
  ++next_offset_;
  return token_status::deliver;
}

end_status answer_stream::finish(const request_id& id, std::uint64_t total) {
  if (complete_) {
    return end_status::complete;
  }
  if (attempt_broken_) {
    return end_status::broken;
  }
  if (id != id_) {
    attempt_broken_ = true;
    return end_status::wrong_id;
  }
  if (total != next_offset_) {
    attempt_broken_ = true;
    // Fewer tokens than were delivered: this attempt generated a different response than the
    // previous one.
    return total > next_offset_ ? end_status::truncated : end_status::broken;
  }
  complete_ = true;
  return end_status::complete;
}

end_status answer_stream::closed() {
  if (complete_) {
    return end_status::complete;
  }
  const end_status result = attempt_broken_ ? end_status::broken : end_status::truncated;
  attempt_broken_ = true;
  return result;
}

}  // namespace arbutus
