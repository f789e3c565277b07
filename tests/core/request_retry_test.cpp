// Tests outcomes of attempts, the retry budget, and hedging of slow requests.
#include <gtest/gtest.h>

#include <array>

#include "request/policy_bench.h"
#include "request/retry.h"

namespace arbutus {
namespace {

const time_point start{};

TEST(Outcome, OnlyProofGivesNotRun) {
  EXPECT_EQ(classify({}), execution::not_run);
  EXPECT_EQ(classify({.bytes_may_have_left = true}), execution::unknown);
  EXPECT_EQ(classify({.bytes_may_have_left = true, .target_refused = true}), execution::unknown)
      << "a refusal that was cut off proves nothing";
  EXPECT_EQ(classify({true, true, true}), execution::not_run);
  EXPECT_EQ(classify({true, false, true}), execution::done);
}

TEST(Outcome, HopsForwardOnlyCompleteResponses) {
  EXPECT_EQ(classify_hop({true, false, true}, execution::not_run), execution::not_run);
  EXPECT_EQ(classify_hop({true, false, true}, execution::unknown), execution::unknown);
  EXPECT_EQ(classify_hop({.bytes_may_have_left = true}, execution::not_run), execution::unknown);
  EXPECT_EQ(classify_hop({}, execution::done), execution::not_run);
}

TEST(Outcome, AttemptsCombine) {
  using enum execution;
  EXPECT_EQ(combine({}), not_run);
  EXPECT_EQ(combine(std::array{not_run, not_run}), not_run);
  EXPECT_EQ(combine(std::array{not_run, unknown}), unknown);
  EXPECT_EQ(combine(std::array{unknown, done, not_run}), done);
}

give_up_reason given_up(const retry_decision& d) {
  return std::get<give_up>(d).why;
}

TEST(Retry, OnlyWhatMayBeRepeated) {
  retry_budget budget;
  rng random(1);
  const auto decide = [&](execution last, bool repeatable, attempt_context context = {}) {
    return decide_retry(start, context, last, repeatable, start + 10s, 1s, budget, random);
  };
  EXPECT_TRUE(std::holds_alternative<retry_at>(decide(execution::not_run, false)));
  EXPECT_TRUE(std::holds_alternative<retry_at>(decide(execution::unknown, true)));
  EXPECT_EQ(given_up(decide(execution::unknown, false)), give_up_reason::not_repeatable);
  EXPECT_EQ(given_up(decide(execution::done, true)), give_up_reason::done);
  EXPECT_EQ(given_up(decide(execution::unknown, true, next_hop_context({}, 1))),
            give_up_reason::not_first_hop);
  EXPECT_EQ(given_up(decide(execution::unknown, true, {.attempt = 3})),
            give_up_reason::attempts_used);
}

TEST(Retry, StaysInsideTheDeadline) {
  rng random(1);
  for (int i = 0; i < 1000; ++i) {
    retry_budget budget;
    const retry_decision d = decide_retry(start, {.attempt = 2}, execution::not_run, true,
                                          start + 1020ms, 1s, budget, random);
    if (const auto* again = std::get_if<retry_at>(&d)) {
      EXPECT_LE(again->at + 1s, start + 1020ms);
    } else {
      EXPECT_EQ(given_up(d), give_up_reason::no_time);
      EXPECT_TRUE(budget.take(start)) << "what is not made is not charged to the budget";
    }
  }
}

TEST(Retry, BudgetFollowsFirstAttempts) {
  retry_budget budget;
  const auto drain = [&] {
    int taken = 0;
    while (taken < 1000 && budget.take(start)) {
      ++taken;
    }
    return taken;
  };
  EXPECT_EQ(drain(), 10);
  for (int i = 0; i < 55; ++i) {
    budget.first_attempt(start);
  }
  EXPECT_EQ(drain(), 5);
  EXPECT_FALSE(budget.take(start + 1s));
  EXPECT_TRUE(budget.take(start + 3s)) << "a model with few requests can retry, too";
}

// Guards against nine times the load on a target that has recovered: the target fails for a minute
// and each of two hops tries three times, so retries multiply over the hops without a budget.
TEST(Retry, StormIsBoundedOverTwoHops) {
  const retry_figures with = run_retries(true, 1.0, 1);
  const retry_figures without = run_retries(false, 1.0, 1);
  EXPECT_LE(with.max_attempts_per_request_in_second, 1.25);
  EXPECT_LT(static_cast<double>(with.attempts), 1.12 * static_cast<double>(with.requests));
  EXPECT_GT(without.max_attempts_per_request_in_second, 8.9);
}

TEST(Hedging, HedgesNearTheQuantileOfTheClass) {
  hedging h;
  rng random(3);
  for (int i = 0; i < 5000; ++i) {
    h.observe("fast", from_seconds(0.1 + 0.1 * random.unit()));
    h.observe("slow", from_seconds(1.0 + random.unit()));
  }
  ASSERT_TRUE(h.hedge_at("fast", start));
  EXPECT_NEAR(to_seconds(*h.hedge_at("fast", start) - start), 0.195, 0.03);
  EXPECT_NEAR(to_seconds(*h.hedge_at("slow", start) - start), 1.95, 0.3);
  EXPECT_FALSE(h.hedge_at("unseen", start));
}

TEST(Hedging, OnlyRepeatableLateAndBudgeted) {
  hedging h;
  for (int i = 0; i < 1000; ++i) {
    h.observe("c", 100ms);
  }
  const time_point late = start + 1s;
  const time_point deadline = start + 10s;
  EXPECT_FALSE(h.decide(late, "c", start, {}, false, deadline));
  EXPECT_FALSE(h.decide(start + 1ms, "c", start, {}, true, deadline));
  EXPECT_FALSE(h.decide(late, "c", start, next_hop_context({}, 1), true, deadline));
  EXPECT_FALSE(h.decide(late, "c", start, {}, true, late));
  int hedges = 0;
  while (hedges < 1000 && h.decide(late, "c", start, {}, true, deadline)) {
    ++hedges;
  }
  EXPECT_EQ(hedges, 5);
}

// Guards against a stall of all replicas doubling the load.
TEST(Hedging, StallDoesNotDoubleTheLoad) {
  hedging h;
  for (int i = 0; i < 1000; ++i) {
    h.observe("c", 100ms);
  }
  int hedges = 0;
  for (int i = 0; i < 1000; ++i) {
    hedges += h.decide(start + 5s, "c", start, {}, true, start + 30s) ? 1 : 0;
    h.observe("c", 5s);
  }
  EXPECT_LE(hedges, 55);
}

}  // namespace
}  // namespace arbutus
