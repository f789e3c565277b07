// Tests the counts of request outcomes that are read from the log lines of several nodes.
#include "node/log_outcomes.h"

#include <gtest/gtest.h>

#include <sstream>

namespace arbutus {
namespace {

std::string line(const std::string& time, const std::string& node, const std::string& part,
                 const std::string& message, const std::string& fields) {
  return R"({"time":"2026-01-31T)" + time + R"(Z","level":"info","part":")" + part +
         R"(","node":")" + node + R"(","message":")" + message + "\"" + fields + "}\n";
}

std::string ended(const std::string& time, const std::string& node, const std::string& result,
                  const std::string& reason) {
  return line(time, node, "request", "ended",
              R"(,"request":"1","route":"briefs","result":")" + result + R"(","reason":")" +
                  reason + R"(","status":503)");
}

log_outcomes read(const std::string& text, std::size_t unreadable = 0) {
  log_outcomes outcomes(std::chrono::seconds(2));
  std::istringstream lines(text);
  EXPECT_EQ(outcomes.read(lines), unreadable);
  return outcomes;
}

TEST(LogOutcomes, CountsByTimeRouteAndReason) {
  const std::string text = read(ended("10:00:00.100000", "a1", "refused", "every replica is full") +
                                ended("10:00:01.900000", "a2", "refused", "every replica is full") +
                                ended("10:00:02.100000", "a1", "done", "") +
                                ended("10:00:03.000000", "a1", "cut", "no time is left"))
                               .to_text();
  EXPECT_NE(text.find("10:00:00      0        2       0      0      0"), std::string::npos) << text;
  EXPECT_NE(text.find("10:00:02      1        0       0      1      0"), std::string::npos) << text;
  EXPECT_NE(text.find("briefs                        1        2       0      1      0"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("       2  every replica is full"), std::string::npos) << text;
}

TEST(LogOutcomes, ReadsTheDataCentreFromALaterLine) {
  const std::string text =
      read(ended("10:00:00.100000", "a1", "failed", "no time is left") +
           line("09:59:00.000000", "a1", "node", "started", R"(,"data_centre":"hall-a")"))
          .to_text();
  EXPECT_NE(text.find("hall-a "), std::string::npos) << text;
  EXPECT_EQ(text.find("unknown"), std::string::npos) << text;
}

TEST(LogOutcomes, ShowsTheHighestReplicaCountOfAnyNode) {
  // A partitioned node reports no serving replicas although other nodes serve the model.
  const std::string text =
      read(line("10:00:00.000000", "a1", "fleet", "capacity", R"(,"model":"m","replicas":7)") +
           line("10:00:00.000000", "b1", "fleet", "capacity", R"(,"model":"m","replicas":0)"))
          .to_text();
  EXPECT_NE(text.find("m 7 "), std::string::npos) << text;
}

TEST(LogOutcomes, SkipsLinesThatNoNodeWrote) {
  EXPECT_TRUE(read("kernel: something\n", 1).empty());
}

}  // namespace
}  // namespace arbutus
