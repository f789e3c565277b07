// The checker of promises: each kind of broken promise is noticed, and nothing else is.
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

raw_answer whole(const std::string& text) {
  raw_answer answer;
  answer.status = 200;
  answer.called_whole = true;
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
  return whole(standin::service_standin::expected_body(
      service, {"POST", path, idempotency_key{key}, {}, promise_checker::booking_body(key)}));
}

struct load_checker : testing::Test {
  promise_checker checker{model, service, path};

  void executions(std::uint32_t runs, std::uint32_t booked_times) {
    checker.check_executions([=](const request_id&) { return runs; },
                             [=](const std::string&) { return booked_times; });
  }
};

TEST_F(load_checker, right_answers_break_nothing) {
  EXPECT_EQ(checker.check_answer(model_call("a"), whole(expected_answer(model, "a", 10))),
            call_end::whole);
  EXPECT_EQ(checker.check_answer(booking("k"), booked("k")), call_end::whole);
  executions(0, 1);
  EXPECT_EQ(checker.violations(), 0U);
}

// Symptom: a caller reads an answer that is foreign, cut, or has a token twice.
// Sequence: the answer is called whole, by its end mark or as a whole body.
// Cause: a lost safeguard between the target and the caller.
TEST_F(load_checker, a_foreign_a_cut_and_a_doubled_answer_are_wrong) {
  const std::string right = expected_answer(model, "a", 10);
  for (const std::string& text : {expected_answer(model, "b", 10), expected_answer(model, "a", 9),
                                  expected_answer(model, "a", 11), right + right, std::string()}) {
    EXPECT_EQ(checker.check_answer(model_call("a"), whole(text)), call_end::wrong) << text;
  }
  EXPECT_EQ(checker.check_answer(booking("k"), booked("other")), call_end::wrong);
  EXPECT_EQ(checker.count(promise::own_answer), 6U);
  EXPECT_EQ(checker.violations(), 6U);
}

TEST_F(load_checker, a_cut_stream_that_shows_is_no_broken_promise) {
  raw_answer cut = whole(expected_answer(model, "a", 5));
  cut.called_whole = false;
  EXPECT_EQ(checker.check_answer(model_call("a"), cut), call_end::unknown);
  EXPECT_EQ(checker.violations(), 0U);
}

// Symptom: a caller repeats a refused request and it has run twice.
// Sequence: the target takes the request in; the caller is told "not run".
// Cause: an outcome that is unknown is taken for proof.
TEST_F(load_checker, a_refused_request_that_ran_is_noticed) {
  EXPECT_EQ(checker.check_answer(model_call("a"), refused("r1")), call_end::not_run);
  executions(0, 0);
  EXPECT_EQ(checker.violations(), 0U);
  executions(1, 0);
  EXPECT_EQ(checker.count(promise::not_run), 1U);
}

// Symptom: two crews drive to one drain.
// Sequence: a booking runs, its answer is lost, it is sent again and runs again.
// Cause: no record of the key.
TEST_F(load_checker, bookings_that_ran_twice_or_never_are_noticed) {
  EXPECT_EQ(checker.check_answer(booking("k"), booked("k")), call_end::whole);
  executions(0, 1);
  EXPECT_EQ(checker.violations(), 0U);
  executions(0, 2);
  EXPECT_EQ(checker.count(promise::at_most_once), 1U);
  executions(0, 0);
  EXPECT_EQ(checker.count(promise::at_most_once), 2U);
}

TEST_F(load_checker, a_booking_that_ran_although_all_were_told_not_is_noticed) {
  EXPECT_EQ(checker.check_answer(booking("k"), refused("r1")), call_end::not_run);
  executions(0, 1);
  EXPECT_EQ(checker.count(promise::not_run), 1U);
}

TEST_F(load_checker, no_answer_at_all_is_noticed_unless_nothing_was_sent) {
  raw_answer none;
  none.reached = false;
  EXPECT_EQ(checker.check_answer(model_call("a"), none), call_end::unreached);
  EXPECT_EQ(checker.violations(), 0U);
  none.reached = true;
  EXPECT_EQ(checker.check_answer(model_call("a"), none), call_end::silent);
  EXPECT_EQ(checker.count(promise::answered), 1U);
}

}  // namespace
}  // namespace arbutus
