// How long a version may be acted on for what depends on keys.
#include "process/config_lease.h"

#include <gtest/gtest.h>

namespace arbutus {
namespace {

constexpr time_point start{100s};

TEST(ConfigLease, IsInvalidWithoutAProof) {
  EXPECT_FALSE(config_lease({}).valid(start));
}

TEST(ConfigLease, LapsesBeforeAWithdrawnKeyMustBeDead) {
  // Symptom: a request runs with a key that was withdrawn more than 5 s ago. Sequence: a node is
  // cut off just after it was told that its version is the newest. Cause: the proof counts from its
  // answer, or does not age.
  config_lease lease({.bound = 5s});
  lease.proved(start);
  EXPECT_TRUE(lease.valid(start + 3s));
  // A watch may have missed a change for a second before its question.
  EXPECT_FALSE(lease.valid(start + 4s));
}

TEST(ConfigLease, AnOlderProofTakesNothingBack) {
  config_lease lease({});
  lease.proved(start + 2s);
  lease.proved(start);
  EXPECT_EQ(lease.age(start + 3s), std::optional<duration>{1s});
}

TEST(ConfigLease, IsLapsedAfterAPause) {
  // Symptom: a suspended machine serves withdrawn keys when it wakes. Cause: a clock that stood
  // still. The lease itself only needs a clock that did not (connection/clock.h).
  config_lease lease({});
  lease.proved(start);
  EXPECT_FALSE(lease.valid(start + 60s));
}

}  // namespace
}  // namespace arbutus
