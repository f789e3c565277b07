// Responses reach the right caller, whole and with each token once.
#include <gtest/gtest.h>

#include <vector>

#include "base/rng.h"
#include "request/answer.h"

namespace arbutus {
namespace {

const request_id mine("mine");
const request_id other("other");

TEST(AnswerStream, WholeAnswer) {
  answer_stream s(mine);
  EXPECT_EQ(s.accept(mine, 0), token_verdict::deliver);
  EXPECT_EQ(s.accept(mine, 1), token_verdict::deliver);
  EXPECT_EQ(s.finish(mine, 2), end_verdict::whole);
  EXPECT_EQ(s.accept(mine, 2), token_verdict::after_end);
  EXPECT_EQ(s.closed(), end_verdict::whole);
}

// Guards against a caller treating a truncated response as whole.
TEST(AnswerStream, CutAnswerIsNotWhole) {
  answer_stream cut(mine);
  EXPECT_EQ(cut.accept(mine, 0), token_verdict::deliver);
  EXPECT_EQ(cut.closed(), end_verdict::truncated);
  EXPECT_FALSE(cut.whole());
  answer_stream short_of(mine);
  EXPECT_EQ(short_of.accept(mine, 0), token_verdict::deliver);
  EXPECT_EQ(short_of.finish(mine, 3), end_verdict::truncated);
  EXPECT_EQ(short_of.closed(), end_verdict::broken);
  EXPECT_FALSE(short_of.whole());
}

TEST(AnswerStream, ForeignTokenBreaksTheAttempt) {
  answer_stream s(mine);
  EXPECT_EQ(s.accept(other, 0), token_verdict::wrong_id);
  EXPECT_EQ(s.accept(mine, 0), token_verdict::after_end);
  EXPECT_EQ(s.finish(mine, 0), end_verdict::broken);
  answer_stream t(mine);
  EXPECT_EQ(t.finish(other, 0), end_verdict::wrong_id);
  EXPECT_FALSE(t.whole());
}

TEST(AnswerStream, ResumesOnAnotherReplica) {
  answer_stream s(mine);
  EXPECT_EQ(s.accept(mine, 0), token_verdict::deliver);
  EXPECT_EQ(s.accept(mine, 1), token_verdict::deliver);
  EXPECT_EQ(s.accept(mine, 3), token_verdict::gap);
  s.begin_attempt();
  EXPECT_EQ(s.resume_offset(), 2U);
  EXPECT_EQ(s.accept(mine, 1), token_verdict::duplicate);
  EXPECT_EQ(s.accept(mine, 2), token_verdict::deliver);
  EXPECT_EQ(s.finish(mine, 2), end_verdict::broken) << "shorter than what was delivered";
  s.begin_attempt();
  EXPECT_EQ(s.finish(mine, 3), end_verdict::whole);
}

// Guards against duplicate, lost or foreign tokens. Attempts on several replicas break at random
// points, with repeated, skipped and foreign tokens, as late responses on a reused connection cause
// them.
TEST(AnswerStream, RandomStreams) {
  int whole = 0;
  int resumed = 0;
  for (std::uint64_t seed = 1; seed <= 5000; ++seed) {
    rng random(seed);
    const std::uint64_t length = random.below(30);
    answer_stream s(mine);
    std::vector<std::uint64_t> delivered;
    bool said_whole = false;
    for (int attempt = 0; attempt < 8 && !said_whole; ++attempt) {
      s.begin_attempt();
      std::uint64_t at = random.below(s.resume_offset() + 1);
      while (at < length && random.unit() > 0.05) {
        const double kind = random.unit();
        if (kind < 0.02) {
          EXPECT_NE(s.accept(other, at), token_verdict::deliver);
        } else if (kind < 0.05) {
          ++at;  // lost
        } else {
          const std::uint64_t offset = kind < 0.1 ? random.below(at + 1) : at++;
          if (s.accept(mine, offset) == token_verdict::deliver) {
            delivered.push_back(offset);
          }
        }
      }
      const end_verdict end = at == length ? s.finish(mine, length) : s.closed();
      said_whole = end == end_verdict::whole;
      resumed += attempt > 0 && said_whole ? 1 : 0;
    }
    for (std::size_t i = 0; i < delivered.size(); ++i) {
      ASSERT_EQ(delivered[i], i) << "seed " << seed;
    }
    ASSERT_EQ(said_whole, s.whole());
    if (said_whole) {
      ASSERT_EQ(delivered.size(), length) << "seed " << seed;
      ++whole;
    }
  }
  EXPECT_GT(whole, 1000);
  EXPECT_GT(resumed, 500);
}

}  // namespace
}  // namespace arbutus
