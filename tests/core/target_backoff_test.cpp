// Tests what a node remembers of the restraints that targets asked for.
#include "admission/target_backoff.h"

#include <gtest/gtest.h>

namespace arbutus {
namespace {

constexpr time_point start{100s};
const target_instance head{target_id{"i-1~7"}, {"10.0.0.1", 80}};

target_notice retry_after(duration d) {
  target_notice notice;
  notice.retry_after = d;
  return notice;
}

target_notice leaving() {
  target_notice notice;
  notice.is_leaving = true;
  return notice;
}

TEST(TargetBackoff, LastsAsLongAsAsked) {
  target_backoffs backoffs;
  EXPECT_TRUE(backoffs.on_response(start, head, retry_after(3s)).backoff_begun);
  EXPECT_EQ(backoffs.restraint_of(start, head), target_restraint::backing_off);
  EXPECT_EQ(backoffs.restraint_of(start + 2999ms, head), target_restraint::backing_off);
  EXPECT_EQ(backoffs.restraint_of(start + 3s, head), target_restraint::none);
  EXPECT_EQ(backoffs.count(start + 1s).backing_off, 1U);
  EXPECT_EQ(backoffs.count(start + 3s).backing_off, 0U);
}

TEST(TargetBackoff, ShorterLaterValueDoesNotShortenIt) {
  target_backoffs backoffs;
  backoffs.on_response(start, head, retry_after(10s));
  EXPECT_TRUE(backoffs.on_response(start + 1s, head, retry_after(1s)).backoff_extended);
  EXPECT_EQ(backoffs.restraint_of(start + 9s, head), target_restraint::backing_off);
}

TEST(TargetBackoff, LongerLaterValueExtendsIt) {
  target_backoffs backoffs;
  backoffs.on_response(start, head, retry_after(2s));
  backoffs.on_response(start + 1s, head, retry_after(5s));
  ASSERT_TRUE(backoffs.backoff_of(start + 2s, head));
  EXPECT_EQ(backoffs.backoff_of(start + 2s, head)->begun, start);
  EXPECT_EQ(backoffs.backoff_of(start + 2s, head)->ends, start + 6s);
}

// Guards against a success of an earlier request that ends the backoff.
TEST(TargetBackoff, SuccessDoesNotEndIt) {
  target_backoffs backoffs;
  backoffs.on_response(start, head, retry_after(3s));
  backoffs.on_response(start + 1s, head, target_notice{});
  EXPECT_EQ(backoffs.restraint_of(start + 2s, head), target_restraint::backing_off);
}

TEST(TargetBackoff, ZeroAsksForNothing) {
  target_backoffs backoffs;
  backoffs.on_response(start, head, retry_after(duration::zero()));
  EXPECT_EQ(backoffs.restraint_of(start, head), target_restraint::none);
}

// Guards against callers that all return in the moment in which the backoff ends, or before it.
TEST(TargetBackoff, CallersAreToldToReturnSpreadAfterItsEnd) {
  const target_backoffs::backoff running{start, start + 3s};
  const time_point now = start + 1s;
  EXPECT_EQ(retry_after_backoff(now, running, 0), 2s);
  EXPECT_EQ(retry_after_backoff(now, running, 0.5), 2750ms);
  EXPECT_LT(retry_after_backoff(now, running, 0.999), 3500ms);
  // Not spread over minutes after a long one.
  const target_backoffs::backoff longest{start, start + target_backoffs::max_backoff};
  EXPECT_LE(retry_after_backoff(longest.ends, longest, 1), 2s);
}

// Guards against a wrong value that takes a target out of use for hours.
TEST(TargetBackoff, IsBounded) {
  target_backoffs backoffs;
  backoffs.on_response(start, head, retry_after(from_seconds(1e9)));
  EXPECT_EQ(backoffs.restraint_of(start + target_backoffs::max_backoff, head),
            target_restraint::none);
}

// Guards against a restraint that passes to the next incarnation, or to the next target at the
// address.
TEST(TargetBackoff, BelongsToOneIncarnationAtOneAddress) {
  target_backoffs backoffs;
  target_notice both = retry_after(3s);
  both.is_leaving = true;
  backoffs.on_response(start, head, both);
  const target_instance restarted{target_id{"i-1~8"}, head.address};
  const target_instance successor{target_id{"i-2~1"}, head.address};
  const target_instance moved{head.id, {"10.0.0.2", 80}};
  for (const target_instance& other : {restarted, successor, moved}) {
    EXPECT_EQ(backoffs.restraint_of(start, other), target_restraint::none);
  }
}

// Guards against a leaving target that gets requests again while its record is unavailable.
TEST(TargetBackoff, LeavingTargetIsRememberedWithoutItsRecord) {
  target_backoffs backoffs;
  EXPECT_TRUE(backoffs.on_response(start, head, leaving()).leaving);
  EXPECT_FALSE(backoffs.on_response(start + 1s, head, leaving()).leaving);
  backoffs.forget(start + 1min, [](const target_id&) { return false; });
  EXPECT_EQ(backoffs.restraint_of(start + 1min, head), target_restraint::leaving);
}

TEST(TargetBackoff, MemoryIsBoundedByTheTargets) {
  target_backoffs backoffs;
  const target_instance listed{target_id{"i-2~1"}, {"10.0.0.2", 80}};
  backoffs.on_response(start, head, leaving());
  backoffs.on_response(start, listed, leaving());
  backoffs.on_response(start, listed, retry_after(3s));
  const time_point later = start + 1s + target_backoffs::leaving_retention;
  backoffs.forget(later, [&](const target_id& id) { return id == listed.id; });
  EXPECT_EQ(backoffs.count(later).leaving, 1U);
  EXPECT_EQ(backoffs.restraint_of(later, listed), target_restraint::leaving);
  EXPECT_EQ(backoffs.count(start).backing_off, 0U);
}

}  // namespace
}  // namespace arbutus
