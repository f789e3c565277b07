// Decides what the answer of a target says of a request, and what the caller gets of it.
#include "request/target_answer.h"

namespace arbutus {

namespace {

constexpr int first_server_error = 500;

constexpr bool is_success(int status) {
  return status / 100 == 2;
}

}  // namespace

answer_kind kind_of(const answer_head& answer) {
  if (answer.names_other_request) {
    return answer_kind::mismatched;
  }
  if (answer.states_not_run || answer.status == status_misdirected) {
    return answer_kind::not_run;
  }
  if (!is_success(answer.status)) {
    return answer_kind::failed;
  }
  return answer.is_verified ? answer_kind::succeeded : answer_kind::unsigned_success;
}

bool is_false_promise(answer_source source, int status, const call_progress& call) {
  if (!promises_not_run(status)) {
    return false;
  }
  return source == answer_source::target ? !call.repeatable : call.possible_runs > 0;
}

answer_use use_of(answer_kind kind, int status, const call_progress& call, bool can_try_again) {
  switch (kind) {
    case answer_kind::not_run:
    case answer_kind::mismatched:
    case answer_kind::unsigned_success:
      return answer_use::try_another;
    case answer_kind::succeeded:
      return answer_use::forward;
    case answer_kind::failed:
      break;
  }
  if (status >= first_server_error && call.repeatable && can_try_again) {
    return answer_use::try_another;
  }
  return is_false_promise(answer_source::target, status, call) ? answer_use::replace
                                                               : answer_use::forward;
}

}  // namespace arbutus
