// Tests what a target's answer says of a request, and what its caller gets, status by status.
#include "request/target_answer.h"

#include <gtest/gtest.h>

#include <array>

namespace arbutus {
namespace {

constexpr std::array promises = {408, 421, 429, 503};
constexpr std::array successes = {200, 201, 204};
constexpr std::array other_failures = {304, 400, 401, 403, 404, 409, 413, 422, 500, 501, 502, 504};
constexpr std::array failures_without_proof = {408, 429, 503};

constexpr answer_head answer_of(int status, bool states_not_run) {
  return {.status = status, .states_not_run = states_not_run, .is_verified = true};
}

constexpr std::array<call_progress, 4> calls = {{
    {.repeatable = false, .possible_runs = 0},
    {.repeatable = false, .possible_runs = 1},
    {.repeatable = true, .possible_runs = 0},
    {.repeatable = true, .possible_runs = 1},
}};

answer_use use_of_failure(int status, const call_progress& call, bool can_try_again) {
  return use_of(kind_of(answer_of(status, false)), status, call, can_try_again);
}

// Guards against a refusal that is taken for a run, which would use up the attempts of a call.
TEST(TargetAnswer, OnlyTheStatementOfTheTargetIsProofThatItDidNotRun) {
  for (const int status : promises) {
    EXPECT_EQ(kind_of(answer_of(status, true)), answer_kind::not_run) << status;
  }
  for (const int status : other_failures) {
    EXPECT_EQ(kind_of(answer_of(status, true)), answer_kind::not_run) << status;
    EXPECT_EQ(kind_of(answer_of(status, false)), answer_kind::failed) << status;
  }
  for (const int status : failures_without_proof) {
    EXPECT_EQ(kind_of(answer_of(status, false)), answer_kind::failed) << status;
  }
  EXPECT_EQ(kind_of(answer_of(421, false)), answer_kind::not_run);
}

// Guards against a statement that belongs to another request.
TEST(TargetAnswer, AnAnswerToAnotherRequestSaysNothingOfThisOne) {
  for (const int status : {200, 421, 500, 503}) {
    for (const bool states_not_run : {false, true}) {
      answer_head answer = answer_of(status, states_not_run);
      answer.names_other_request = true;
      EXPECT_EQ(kind_of(answer), answer_kind::mismatched) << status;
    }
  }
}

TEST(TargetAnswer, OnlyAVerifiedSuccessIsOne) {
  for (const int status : successes) {
    EXPECT_EQ(kind_of({.status = status, .is_verified = true}), answer_kind::succeeded) << status;
    EXPECT_EQ(kind_of({.status = status}), answer_kind::unsigned_success) << status;
  }
}

// Guards against callers that send a request again which has run, since the target's failure looked
// like a promise.
TEST(TargetAnswer, AFailureWithoutProofIsNoPromiseToACallThatMayNotBeRepeated) {
  for (const int status : failures_without_proof) {
    for (const call_progress& call : calls) {
      for (const bool can_try_again : {false, true}) {
        const answer_use use = use_of_failure(status, call, can_try_again);
        const bool tries = call.repeatable && can_try_again && status >= 500;
        const answer_use expected = !call.repeatable ? answer_use::replace
                                    : tries          ? answer_use::try_another
                                                     : answer_use::forward;
        EXPECT_EQ(use, expected) << status << ' ' << call.repeatable << ' ' << can_try_again;
      }
    }
  }
}

TEST(TargetAnswer, OtherFailuresAreForwardedOrTriedElsewhere) {
  for (const int status : other_failures) {
    for (const call_progress& call : calls) {
      EXPECT_EQ(use_of_failure(status, call, false), answer_use::forward) << status;
      const bool tries = call.repeatable && status >= 500;
      EXPECT_EQ(use_of_failure(status, call, true),
                tries ? answer_use::try_another : answer_use::forward)
          << status;
    }
  }
}

TEST(TargetAnswer, WhatIsNoAnswerToTheRequestIsNeverForwarded) {
  for (const answer_kind kind :
       {answer_kind::not_run, answer_kind::mismatched, answer_kind::unsigned_success}) {
    for (const call_progress& call : calls) {
      for (const int status : {200, 421, 500, 503}) {
        EXPECT_EQ(use_of(kind, status, call, false), answer_use::try_another) << status;
      }
    }
  }
}

TEST(TargetAnswer, ASuccessIsForwarded) {
  for (const call_progress& call : calls) {
    for (const int status : successes) {
      EXPECT_EQ(use_of(answer_kind::succeeded, status, call, true), answer_use::forward);
    }
  }
}

// Guards against refusals of a node, or of a peer that took the call over, after a possible run.
TEST(TargetAnswer, ARefusalOfANodeAfterAPossibleRunIsAFalsePromise) {
  for (const call_progress& call : calls) {
    for (const int status : promises) {
      EXPECT_EQ(is_false_promise(answer_source::node, status, call), call.possible_runs > 0)
          << status;
    }
    for (const int status : other_failures) {
      EXPECT_FALSE(is_false_promise(answer_source::node, status, call)) << status;
      EXPECT_FALSE(is_false_promise(answer_source::target, status, call)) << status;
    }
  }
}

// Guards against an answer of a target that an earlier release of a peer passes on as it is.
TEST(TargetAnswer, AnAnswerThatAPeerPassesOnIsJudgedAsItsTargets) {
  for (const call_progress& call : calls) {
    for (const int status : promises) {
      EXPECT_EQ(is_false_promise(answer_source::target, status, call), !call.repeatable) << status;
    }
  }
}

TEST(TargetAnswer, NoReplacementIsAPromise) {
  for (const bool repeatable : {false, true}) {
    EXPECT_FALSE(promises_not_run(status_without_promise(repeatable)));
  }
}

}  // namespace
}  // namespace arbutus
