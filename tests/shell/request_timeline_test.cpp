// Tests timelines of requests made from log lines: which lines are included, and which cause is
// reported.
#include "node/request_timeline.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <sstream>

namespace arbutus {
namespace {

using testing::HasSubstr;
using testing::Not;

std::string line(const std::string& second, const std::string& node, const std::string& rest) {
  return R"({"time":"2026-03-01T10:00:)" + second + R"(Z","level":"info","node":")" + node +
         R"(",)" + rest + "}\n";
}

request_timeline read_timeline(const std::string& text, const std::string& id) {
  std::istringstream lines(text);
  log_reader reader;
  EXPECT_EQ(reader.read(lines, id), 0U);
  const auto timeline = reader.timeline_of(id);
  EXPECT_TRUE(timeline) << "no line names " << id;
  return timeline.value_or(request_timeline{});
}

TEST(RequestTimeline, ReadsALineBehindACollectorsPrefix) {
  const auto read = read_log_line(
      R"(12.5 n-1 {"time":"2026-03-01T10:00:07.250000Z","level":"info","part":"fleet","node":"n-1",)"
      R"("message":"lost","target":"e-4","age_ms":12.5,"listed":true})");
  ASSERT_TRUE(read);
  EXPECT_EQ(read->node, "n-1");
  EXPECT_EQ(read->message, "lost");
  EXPECT_EQ(read->field("target"), "e-4");
  EXPECT_EQ(read->field("age_ms"), "12.5");
  EXPECT_EQ(read->field("listed"), "true");
  EXPECT_EQ(read->field("none"), "");
}

TEST(RequestTimeline, CountsLinesThatNoNodeWrote) {
  std::istringstream lines(
      "Starting...\n{\"time\":1}\n{\"time\":\"2026-13-01T10:00:07.250000Z\",\"node\":\"n\","
      "\"part\":\"p\",\"message\":\"m\"}\n{broken\n\n");
  log_reader reader;
  EXPECT_EQ(reader.read(lines, "r"), 4U);
  EXPECT_FALSE(reader.timeline_of("r"));
}

TEST(RequestTimeline, OrdersTheLinesOfARequestAcrossNodesByTime) {
  // A caller whose first attempt was refused tried again at another node with the same id.
  const std::string text =
      line("05.000000", "n-2",
           R"("part":"request","message":"ended","request":"r-1","result":"failed",)"
           R"("reason":"the target's own failure","targets":"e-1","total_ms":400.0)") +
      line("04.000000", "n-1",
           R"("part":"request","message":"ended","request":"r-1","result":"refused",)"
           R"("reason":"every replica is full","targets":"","total_ms":2.0)") +
      line("04.500000", "n-1",
           R"("part":"request","message":"ended","request":"r-10","result":"refused",)"
           R"("reason":"every replica is full","targets":"","total_ms":2.0)");
  const request_timeline timeline = read_timeline(text, "r-1");
  ASSERT_EQ(timeline.own.size(), 2U);
  EXPECT_EQ(timeline.own[0].node, "n-1");
  EXPECT_THAT(timeline.cause, HasSubstr("failed: the target's own failure."));
}

// Guards against an answer of the node's own that does not say what the target had answered.
TEST(RequestTimeline, ReportsTheStatusOfAFailureThatWasReplaced) {
  const std::string text =
      line(
          "05.000000", "n-1",
          R"("part":"request","message":"attempt ended","request":"r-1","target":"e-1",)"
          R"("reason":"the target refused it without saying that it did not run it","status":503)") +
      line("05.000100", "n-1",
           R"("part":"request","message":"ended","request":"r-1","result":"failed",)"
           R"("reason":"the target refused it without saying that it did not run it",)"
           R"("targets":"e-1","status":504,"total_ms":40.0)");
  const request_timeline timeline = read_timeline(text, "r-1");
  EXPECT_THAT(timeline.cause, HasSubstr("may have run the request"));
  EXPECT_THAT(timeline.cause, HasSubstr("at e-1, status 503."));
}

TEST(RequestTimeline, IncludesEventsOfItsOwnTargetsOnly) {
  const std::string text =
      line("01.000000", "n-1", R"("part":"fleet","message":"lost","target":"e-1","head":"e-1")") +
      line("08.000000", "n-1", R"("part":"fleet","message":"lost","target":"e-2","head":"e-1")") +
      line("08.000000", "n-1", R"("part":"fleet","message":"lost","target":"e-9","head":"e-9")") +
      line("09.000000", "n-2", R"("part":"keeper","message":"order","target":"e-1")") +
      line("09.500000", "n-1",
           R"("part":"request","message":"ended","request":"r","result":"cut","reason":"reset",)"
           R"("targets":"e-1","total_ms":2000.0)") +
      line("11.000000", "n-1", R"("part":"fleet","message":"back","target":"e-1")");
  const request_timeline timeline = read_timeline(text, "r");
  ASSERT_EQ(timeline.related.size(), 2U) << "the loss of its replica and the order; not what came "
                                            "long before, later, or to others";
  EXPECT_EQ(timeline.related[0].field("target"), "e-2");
  EXPECT_EQ(timeline.related[1].node, "n-2");
}

// Guards against a refusal because of a backoff whose explanation does not name the backoff.
TEST(RequestTimeline, IncludesTheBackoffsOfARefusedRequest) {
  const std::string text =
      line(
          "00.000000", "n-1",
          R"("part":"target","message":"backs off","learned_by":"r-0","target":"e-1","seconds":30)") +
      line(
          "01.000000", "n-1",
          R"("part":"target","message":"backs off","learned_by":"r-0","target":"e-9","seconds":30)") +
      line("20.000000", "n-1",
           R"("part":"request","message":"ended","request":"r-1","result":"refused",)"
           R"("reason":"the targets asked for a backoff","targets":"","restrained":"e-1,e-2",)"
           R"("total_ms":0.1)");
  const std::string explained = to_text(read_timeline(text, "r-1"));
  EXPECT_THAT(explained, HasSubstr("503 with Retry-After"));
  EXPECT_THAT(explained, HasSubstr("target backs off learned_by=\"r-0\" target=\"e-1\""));
  EXPECT_THAT(explained, Not(HasSubstr("e-9")));
}

TEST(RequestTimeline, IncludesTheStrikesOfARefusedPoisonRequest) {
  // An identical request came earlier with other ids, at other nodes, longer ago than the events
  // that the timeline includes.
  const std::string fingerprint = R"("print":"00000000000000aa")";
  const std::string text =
      line("01.000000", "n-2",
           R"("part":"poison","message":"evidence","run_of":"r-0",)" + fingerprint +
               R"(,"target":"e-1","marks":1)") +
      line("02.000000", "n-2",
           R"("part":"poison","message":"evidence","run_of":"r-7","print":"00000000000000bb",)"
           R"("target":"e-3","marks":1)") +
      line("09.000000", "n-3",
           R"("part":"poison","message":"convicted",)" + fingerprint + R"(,"targets":"e-1,e-2")") +
      line("20.000000", "n-1",
           R"("part":"poison","message":"refused","request":"r-1",)" + fingerprint) +
      line("20.000100", "n-1",
           R"("part":"request","message":"ended","request":"r-1","result":"refused",)"
           R"("reason":"it ended the targets that ran it","targets":"","total_ms":0.2)");
  const std::string told = to_text(read_timeline(text, "r-1"));
  EXPECT_THAT(told, HasSubstr("when targets ended"));
  EXPECT_THAT(told, HasSubstr("poison evidence run_of=\"r-0\""));
  EXPECT_THAT(told, HasSubstr("poison convicted"));
  EXPECT_THAT(told, Not(HasSubstr("r-7")));
}

TEST(RequestTimeline, KeepsTheNewestStateOfItsNodes) {
  const std::string text =
      line("01.000000", "n-1", R"("part":"configuration","message":"in force","version":3)") +
      line("02.000000", "n-1", R"("part":"configuration","message":"in force","version":4)") +
      line("03.000000", "n-1", R"("part":"store","message":"lost","what":"targets")") +
      line("03.000000", "n-2", R"("part":"store","message":"lost","what":"targets")") +
      line("04.000000", "n-1", R"("part":"fleet","message":"capacity","model":"m","replicas":2)") +
      line("05.000000", "n-1",
           R"("part":"request","message":"ended","request":"r","result":"refused",)"
           R"("reason":"every replica is full","targets":"","total_ms":1.0)") +
      line("06.000000", "n-1", R"("part":"configuration","message":"in force","version":5)");
  const request_timeline timeline = read_timeline(text, "r");
  ASSERT_EQ(timeline.last_known.size(), 1U);
  ASSERT_EQ(timeline.last_known[0].lines.size(), 3U);
  EXPECT_EQ(timeline.last_known[0].lines[0].field("version"), "4");
  const std::string shown = to_text(timeline);
  EXPECT_THAT(shown, HasSubstr("replicas=\"2\""));
  EXPECT_THAT(shown, Not(HasSubstr("n-2")));
}

TEST(RequestTimeline, ReportsThatNoLineSaysHowItEnded) {
  const std::string text =
      line("09.500000", "n-1",
           R"("part":"request","message":"attempt ended","request":"r","target":"e-1",)"
           R"("reason":"reset")");
  EXPECT_THAT(read_timeline(text, "r").cause, HasSubstr("No line says that it ended"));
}

TEST(RequestTimeline, ACallersValueCannotForgeALine) {
  // Guards against forged events in the output: a value from a caller can contain a line break,
  // which the log escapes and the reader unescapes.
  const std::string text =
      line("09.500000", "n-1",
           R"("part":"request","message":"ended","request":"r","result":"done","reason":"",)"
           R"("route":"a\n+0.000 s  n-1  fleet lost\u001b[31m","total_ms":1.0)");
  const std::string shown = to_text(read_timeline(text, "r"));
  EXPECT_THAT(shown, HasSubstr("served whole"));
  EXPECT_EQ(shown.find('\x1b'), std::string::npos);
  EXPECT_EQ(std::count(shown.begin(), shown.end(), '\n'), 4) << shown;
}

// Guards against an explanation that leaves out the node that took the call over, or why.
TEST(RequestTimeline, ShowsBothNodesOfACallThatWasHandedOver) {
  const std::string text =
      line("03.000000", "n-1",
           R"("part":"reach","message":"cut off from targets","service":"llm","targets":54)") +
      line("05.000000", "n-2",
           R"("part":"request","message":"taken over","request":"r-1","from":"n-1")") +
      line("05.100000", "n-2",
           R"("part":"request","message":"ended","request":"r-1","result":"refused",)"
           R"("reason":"every replica is full","targets":"","total_ms":2.0)") +
      line("05.101000", "n-1",
           R"("part":"request","message":"handed over","request":"r-1","peer":"n-2",)"
           R"("result":"refused")") +
      line("05.102000", "n-1",
           R"("part":"request","message":"ended","request":"r-1","result":"refused",)"
           R"("reason":"refused by the node that took it over","targets":"node:n-2",)"
           R"("total_ms":110.0)");
  const request_timeline timeline = read_timeline(text, "r-1");
  EXPECT_EQ(timeline.own.size(), 4U);
  EXPECT_THAT(timeline.cause, HasSubstr("The lines of that node say why"));
  EXPECT_THAT(to_text(timeline), HasSubstr("cut off from targets"));
}

}  // namespace
}  // namespace arbutus
