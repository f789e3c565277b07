// Tests how long a node may check callers' keys by its configuration version without a new proof
// that it is the newest.
#include "process/config_lease.h"

#include <gtest/gtest.h>

namespace arbutus {
namespace {

constexpr time_point start{100s};

TEST(ConfigLease, IsInvalidWithoutAProof) {
  EXPECT_FALSE(config_lease({}).valid(start));
}

TEST(ConfigLease, ExpiresBeforeAWithdrawnKeyMustBeRejected) {
  // Guards against a request that runs with a key revoked more than 5 s ago. It happens if a node
  // is partitioned just after the platform confirmed its version as the newest, and the proof
  // counts from the answer or does not expire.
  config_lease lease({.revocation_bound = 5s});
  lease.renew(start);
  EXPECT_TRUE(lease.valid(start + 3s));
  // The watch for configuration changes may have missed changes in the second before the query.
  EXPECT_FALSE(lease.valid(start + 4s));
}

TEST(ConfigLease, AnOlderProofDoesNotShortenTheLease) {
  config_lease lease({});
  lease.renew(start + 2s);
  lease.renew(start);
  EXPECT_EQ(lease.age(start + 3s), std::optional<duration>{1s});
}

TEST(ConfigLease, IsExpiredAfterAPause) {
  // Guards against a machine that accepts revoked keys after a suspension because its clock
  // stopped. The lease relies on a clock that runs during suspension (connection/clock.h).
  config_lease lease({});
  lease.renew(start);
  EXPECT_FALSE(lease.valid(start + 60s));
}

}  // namespace
}  // namespace arbutus
