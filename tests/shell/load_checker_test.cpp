// Tests that the checker of load runs detects each kind of violated guarantee, and reports no
// others.
#include <gtest/gtest.h>

#include "load/checker.h"
#include "standin/expected_answer.h"
#include "standin/service_standin.h"

namespace arbutus {
namespace {

const model_id model{"dispatch-llm"};
const service_id service{"crew-api"};
const std::string path = "/crew/job-cards";

planned_call model_call(const std::string& prompt) {
  planned_call call;
  call.prompt = prompt;
  call.answer_tokens = 10;
  return call;
}

planned_call booking(const std::string& key) {
  planned_call call;
  call.kind = call_kind::booking;
  call.prompt = key;
  return call;
}

raw_answer complete_answer(const std::string& text) {
  raw_answer answer;
  answer.status = 200;
  answer.marked_complete = true;
  answer.text = text;
  return answer;
}

raw_answer refused(const std::string& id) {
  raw_answer answer;
  answer.status = 503;
  answer.error_type = "not_run";
  answer.id = request_id{id};
  return answer;
}

raw_answer booked(const std::string& key) {
  return complete_answer(standin::service_standin::expected_body(
      service, {"POST", path, idempotency_key{key}, {}, guarantee_checker::booking_body(key)}));
}

struct load_checker : testing::Test {
  guarantee_checker checker{model, service, path};

  void executions(std::uint32_t runs, std::uint32_t booked_times) {
    checker.check_executions([=](const request_id&) { return runs; },
                             [=](const std::string&) { return booked_times; });
  }
};

TEST_F(load_checker, correct_answers_violate_nothing) {
  EXPECT_EQ(checker.check_answer(model_call("a"), complete_answer(expected_answer(model, "a", 10))),
            caller_outcome::complete);
  EXPECT_EQ(checker.check_answer(booking("k"), booked("k")), caller_outcome::complete);
  executions(0, 1);
  EXPECT_EQ(checker.violations(), 0U);
}

// Guards against answers of other requests, truncated answers and repeated tokens that reach a
// caller as complete, because a safeguard between target and caller is missing.
TEST_F(load_checker, swapped_truncated_and_repeated_answers_are_wrong) {
  const std::string right = expected_answer(model, "a", 10);
  for (const std::string& text : {expected_answer(model, "b", 10), expected_answer(model, "a", 9),
                                  expected_answer(model, "a", 11), right + right, std::string()}) {
    EXPECT_EQ(checker.check_answer(model_call("a"), complete_answer(text)), caller_outcome::wrong)
        << text;
  }
  EXPECT_EQ(checker.check_answer(booking("k"), booked("other")), caller_outcome::wrong);
  EXPECT_EQ(checker.count(guarantee::complete_means_correct), 6U);
  EXPECT_EQ(checker.violations(), 6U);
}

TEST_F(load_checker, a_visibly_truncated_stream_is_no_violation) {
  raw_answer cut = complete_answer(expected_answer(model, "a", 5));
  cut.marked_complete = false;
  EXPECT_EQ(checker.check_answer(model_call("a"), cut), caller_outcome::unknown);
  EXPECT_EQ(checker.violations(), 0U);
}

// Guards against a request that runs twice: the target accepts it, the node reports an unknown
// outcome as "not run", and the caller repeats it.
TEST_F(load_checker, a_refused_request_that_ran_is_detected) {
  EXPECT_EQ(checker.check_answer(model_call("a"), refused("r1")), caller_outcome::not_run);
  executions(0, 0);
  EXPECT_EQ(checker.violations(), 0U);
  executions(1, 0);
  EXPECT_EQ(checker.count(guarantee::not_run), 1U);
}

// Guards against a booking that runs twice: its answer is lost, it is sent again, and there is no
// record of its idempotency key.
TEST_F(load_checker, bookings_that_ran_twice_or_never_are_detected) {
  EXPECT_EQ(checker.check_answer(booking("k"), booked("k")), caller_outcome::complete);
  executions(0, 1);
  EXPECT_EQ(checker.violations(), 0U);
  executions(0, 2);
  EXPECT_EQ(checker.count(guarantee::at_most_once), 1U);
  executions(0, 0);
  EXPECT_EQ(checker.count(guarantee::at_most_once), 2U);
}

TEST_F(load_checker, a_booking_that_ran_although_all_callers_got_not_run_is_detected) {
  EXPECT_EQ(checker.check_answer(booking("k"), refused("r1")), caller_outcome::not_run);
  executions(0, 1);
  EXPECT_EQ(checker.count(guarantee::not_run), 1U);
}

TEST_F(load_checker, a_missing_answer_is_detected_unless_nothing_was_sent) {
  raw_answer none;
  none.may_have_been_sent = false;
  EXPECT_EQ(checker.check_answer(model_call("a"), none), caller_outcome::unreached);
  EXPECT_EQ(checker.violations(), 0U);
  none.may_have_been_sent = true;
  EXPECT_EQ(checker.check_answer(model_call("a"), none), caller_outcome::no_response);
  EXPECT_EQ(checker.count(guarantee::every_call_answered), 1U);
}

}  // namespace
}  // namespace arbutus
