// Tests that responses reach the right caller, complete and with each token once.
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
  EXPECT_EQ(s.accept(mine, 0), token_status::deliver);
  EXPECT_EQ(s.accept(mine, 1), token_status::deliver);
  EXPECT_EQ(s.finish(mine, 2), end_status::complete);
  EXPECT_EQ(s.accept(mine, 2), token_status::after_end);
  EXPECT_EQ(s.closed(), end_status::complete);
}

// Guards against a caller treating a truncated response as complete.
TEST(AnswerStream, TruncatedResponseIsNotComplete) {
  answer_stream cut(mine);
  EXPECT_EQ(cut.accept(mine, 0), token_status::deliver);
  EXPECT_EQ(cut.closed(), end_status::truncated);
  EXPECT_FALSE(cut.complete());
  answer_stream short_of(mine);
  EXPECT_EQ(short_of.accept(mine, 0), token_status::deliver);
  EXPECT_EQ(short_of.finish(mine, 3), end_status::truncated);
  EXPECT_EQ(short_of.closed(), end_status::broken);
  EXPECT_FALSE(short_of.complete());
}

TEST(AnswerStream, TokenOfAnotherRequestBreaksTheAttempt) {
  answer_stream s(mine);
  EXPECT_EQ(s.accept(other, 0), token_status::wrong_id);
  EXPECT_EQ(s.accept(mine, 0), token_status::after_end);
  EXPECT_EQ(s.finish(mine, 0), end_status::broken);
  answer_stream t(mine);
  EXPECT_EQ(t.finish(other, 0), end_status::wrong_id);
  EXPECT_FALSE(t.complete());
}

TEST(AnswerStream, ResumesOnAnotherReplica) {
  answer_stream s(mine);
  EXPECT_EQ(s.accept(mine, 0), token_status::deliver);
  EXPECT_EQ(s.accept(mine, 1), token_status::deliver);
  EXPECT_EQ(s.accept(mine, 3), token_status::gap);
  s.begin_attempt();
  EXPECT_EQ(s.resume_offset(), 2U);
  EXPECT_EQ(s.accept(mine, 1), token_status::duplicate);
  EXPECT_EQ(s.accept(mine, 2), token_status::deliver);
  EXPECT_EQ(s.finish(mine, 2), end_status::broken) << "shorter than what was delivered";
  s.begin_attempt();
  EXPECT_EQ(s.finish(mine, 3), end_status::complete);
}

// Guards against duplicate or lost tokens and tokens of other responses. Attempts on several
// replicas break at random points, with repeated and skipped tokens and tokens of other responses,
// as late responses on a reused connection cause them.
TEST(AnswerStream, RandomStreams) {
  int complete = 0;
  int resumed = 0;
  for (std::uint64_t seed = 1; seed <= 5000; ++seed) {
    rng random(seed);
    const std::uint64_t length = random.below(30);
    answer_stream s(mine);
    std::vector<std::uint64_t> delivered;
    bool said_complete = false;
    for (int attempt = 0; attempt < 8 && !said_complete; ++attempt) {
      s.begin_attempt();
      std::uint64_t at = random.below(s.resume_offset() + 1);
      while (at < length && random.unit() > 0.05) {
        const double kind = random.unit();
        if (kind < 0.02) {
          EXPECT_NE(s.accept(other, at), token_status::deliver);
        } else if (kind < 0.05) {
          ++at;  // the token is lost
        } else {
          const std::uint64_t offset = kind < 0.1 ? random.below(at + 1) : at++;
          if (s.accept(mine, offset) == token_status::deliver) {
            delivered.push_back(offset);
          }
        }
      }
      const end_status end = at == length ? s.finish(mine, length) : s.closed();
      said_complete = end == end_status::complete;
      resumed += attempt > 0 && said_complete ? 1 : 0;
    }
    for (std::size_t i = 0; i < delivered.size(); ++i) {
      ASSERT_EQ(delivered[i], i) << "seed " << seed;
    }
    ASSERT_EQ(said_complete, s.complete());
    if (said_complete) {
      ASSERT_EQ(delivered.size(), length) << "seed " << seed;
      ++complete;
    }
  }
  EXPECT_GT(complete, 1000);
  EXPECT_GT(resumed, 500);
}

}  // namespace
}  // namespace arbutus
