// Tests prefix hashes of prompts, and the estimate of what the replicas' prefix caches contain.
#include <gtest/gtest.h>

#include "request/prefix_hash.h"
#include "request/prefix_index.h"

namespace arbutus {
namespace {

const replica_id a("a");
const replica_id b("b");
const time_point start{};

TEST(PrefixHash, HashesAreEqualUpToTheFirstDifference) {
  std::string one(2000, 'x');
  std::string two = one;
  two[600] = 'y';
  const prefix_blocks h1 = hash_prefix(one);
  const prefix_blocks h2 = hash_prefix(two);
  ASSERT_EQ(h1.size(), 7U) << "whole blocks only";
  EXPECT_EQ(h1[0], h2[0]);
  EXPECT_EQ(h1[1], h2[1]);
  for (std::size_t i = 2; i < 7; ++i) {
    EXPECT_NE(h1[i], h2[i]) << "chained";
  }
  EXPECT_NE(h1[0], hash_prefix(one, "other model")[0]);
  EXPECT_EQ(hash_prefix(std::string(100'000, 'x')).size(), max_prefix_blocks);
  EXPECT_TRUE(hash_prefix("short").empty());
}

TEST(PrefixIndex, LearnsFromSendsAndEvents) {
  prefix_index index;
  index.sent(start, a, {1, 2, 3});
  EXPECT_DOUBLE_EQ(index.expected_blocks(start, a, {1, 2, 9}), 2);
  EXPECT_DOUBLE_EQ(index.expected_blocks(start, b, {1, 2, 9}), 0);
  index.on_cache_events(start, {b, 1, 1, {1}, {}});
  EXPECT_DOUBLE_EQ(index.expected_blocks(start, b, {1, 2}), 1);
  index.on_cache_events(start, {a, 1, 1, {}, {1}});
  EXPECT_DOUBLE_EQ(index.expected_blocks(start, a, {1, 2, 3}), 0) << "only leading blocks help";
}

// Guards against sending prompts to a replica that evicted their prefix long ago: the batch with
// the eviction is lost and the gap in the sequence numbers is ignored.
TEST(PrefixIndex, GapInEventsReducesTrustInEarlierEntries) {
  prefix_index index;
  index.on_cache_events(start, {a, 1, 1, {1, 2}, {}});
  EXPECT_DOUBLE_EQ(index.expected_blocks(start, a, {1, 2}), 2);
  index.on_cache_events(start, {a, 1, 3, {1}, {}});
  EXPECT_DOUBLE_EQ(index.expected_blocks(start, a, {1, 2}), 1.25);
  index.on_cache_events(start, {a, 1, 2, {}, {1}});
  EXPECT_DOUBLE_EQ(index.expected_blocks(start, a, {1, 2}), 1.25) << "a late batch does not count";
}

TEST(PrefixIndex, RestartedEngineHasAnEmptyCache) {
  prefix_index index;
  index.on_cache_events(start, {a, 1, 1, {1, 2}, {}});
  index.on_cache_events(start, {a, 2, 1, {7}, {}});
  EXPECT_DOUBLE_EQ(index.expected_blocks(start, a, {1, 2}), 0);
  EXPECT_DOUBLE_EQ(index.expected_blocks(start, a, {7}), 1);
  index.forget(a);
  EXPECT_EQ(index.size(), 0U);
}

TEST(PrefixIndex, StaysBoundedAndAges) {
  prefix_index_settings settings;
  settings.max_entries = 100;
  prefix_index index(settings);
  for (std::uint64_t i = 0; i < 1000; ++i) {
    index.sent(start, a, {i});
  }
  EXPECT_EQ(index.size(), 100U);
  EXPECT_DOUBLE_EQ(index.expected_blocks(start, a, {0}), 0);
  EXPECT_DOUBLE_EQ(index.expected_blocks(start, a, {999}), 1);
  EXPECT_DOUBLE_EQ(index.expected_blocks(start + 11min, a, {999}), 0);
  index.sent(start + 11min, b, {5});
  EXPECT_EQ(index.size(), 1U);
}

}  // namespace
}  // namespace arbutus
