// Follows the three procedures of docs/OPERATIONS.md from a failed request's id to its cause, with
// the logs of nodes that run against a stand-in of the platform.
#include <gmock/gmock.h>

#include <sstream>

#include "hosted_fixture.h"
#include "node/log.h"
#include "node/request_timeline.h"
#include "shell/scripted_target.h"

namespace arbutus::testing_support {
namespace {

using testing::HasSubstr;

// Collects the log lines of both nodes of a test; they run in one process and share one log.
class Explain : public hosted_fixture {
 protected:
  explicit Explain(const standin::hosted_platform_settings& settings = {})
      : hosted_fixture(settings) {
    start_log({log_level::debug, log_format::json}, node_id{"edges"}, log_);
  }
  ~Explain() override { stop_log(); }

  // Stops the log and reads it. A node writes a request's last line after it has sent the answer;
  // that line is certain to be written once the node has answered another request.
  std::optional<request_timeline> explain_request(const std::string& id) {
    (void)send_request(0, "/llm/x", "after-0");
    (void)send_request(1, "/llm/x", "after-1");
    stop_log();
    std::istringstream lines(log_.str());
    log_reader reader;
    EXPECT_EQ(reader.read(lines, id), 0U) << "a line that its own reader cannot read";
    return reader.timeline_of(id);
  }

  static bool has(const std::vector<logged_line>& lines, std::string_view message) {
    return std::any_of(lines.begin(), lines.end(),
                       [&](const logged_line& l) { return l.message == message; });
  }

 private:
  std::ostringstream log_;
};

// Fixture with one replica of the model, which has 16 slots and room for 2 waiting requests;
// answers take 2 s.
class ExplainLoad : public Explain {
 protected:
  ExplainLoad()
      : Explain({.engines_per_data_centre = 3, .events_per_answer = 40, .event_gap = 50ms}) {}
};

TEST_F(ExplainLoad, ARefusalUnderLoad) {
  ASSERT_TRUE(eventually([&] {
    return platform_.count_serving_replicas() >= 1 &&
           send_request(0, "/llm/x", "warm-0").response.status == 200;
  }));
  constexpr std::size_t callers = 30;
  std::vector<std::thread> threads;
  std::vector<call_result> results(callers);
  for (std::size_t i = 0; i < callers; ++i) {
    threads.emplace_back(
        [&, i] { results[i] = send_request(0, "/llm/2f", "l" + std::to_string(i)); });
  }
  for (std::thread& t : threads) {
    t.join();
  }
  const auto refused = std::find_if(results.begin(), results.end(),
                                    [](const call_result& r) { return r.response.status == 503; });
  ASSERT_NE(refused, results.end());
  const std::string id = "l" + std::to_string(refused - results.begin());
  const auto timeline = explain_request(id);
  ASSERT_TRUE(timeline);
  EXPECT_THAT(timeline->cause, HasSubstr("every replica is full"));
  ASSERT_EQ(timeline->last_known.size(), 1U);
  EXPECT_TRUE(has(timeline->last_known[0].lines, "capacity"))
      << "how many replicas the node counted";
}

TEST_F(Explain, AStreamWhoseReplicaLostAMember) {
  ASSERT_TRUE(both_nodes_serve());
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < 12; ++i) {
    threads.emplace_back([&, i] { (void)send_request(i % 2, "/llm/2f", "m" + std::to_string(i)); });
  }
  ASSERT_TRUE(eventually([&] { return platform_.runs_by_request().count("m5") > 0; }));
  const std::string lost = platform_.find_member(false);
  platform_.kill_engine(lost);
  for (std::thread& t : threads) {
    t.join();
  }
  // The nodes choose which streams run on the killed replica; these are the requests that ran
  // twice.
  std::string moved;
  for (const auto& [id, count] : platform_.runs_by_request()) {
    moved = count > 1 ? id : moved;
  }
  ASSERT_FALSE(moved.empty()) << "no stream was on the replica";
  const auto timeline = explain_request(moved);
  ASSERT_TRUE(timeline);
  EXPECT_TRUE(has(timeline->own, "attempt ended"));
  EXPECT_TRUE(has(timeline->related, "suspected") || has(timeline->related, "lost"))
      << to_text(*timeline);
}

class ExplainBrokenAnswer : public Explain {
 protected:
  // A call that the target has answered so, and why that was no answer.
  void expect_reason(const scripted_answer& answer, const std::string& reason) {
    ASSERT_TRUE(both_nodes_serve());
    const scripted_target target(answer);
    platform_.write_target_record(
        "a-faulty",
        R"({"service":"api","zone":"lab-a","slots":6,"state":"ready","born":1,"address":")" +
            to_string(endpoint{"127.0.0.1", target.port()}) + "\"}");
    http_request request;
    int number = 0;
    ASSERT_TRUE(eventually([&] {
      request = make_request("/card/2f", "b" + std::to_string(++number));
      request.body.assign(upload_bytes, 'u');
      runtime.run_on(0, [&] {
        client_.fetch(local(nodes_[0]->settings.listen.caller_endpoint.port), request,
                      monotonic_now() + 2s);
      });
      return target.answered() > 0;
    }));
    EXPECT_THAT(send_operator_request("GET", "/metrics").response.body,
                HasSubstr("arbutusworks_answers_malformed{why=\"" + reason + "\"} 1\n"));
    const auto timeline = explain_request("b" + std::to_string(number));
    ASSERT_TRUE(timeline);
    EXPECT_THAT(timeline->cause, HasSubstr(reason + ". "));
    EXPECT_TRUE(has(timeline->own, "attempt ended"));
    EXPECT_EQ(std::ranges::count(timeline->own, "attempt ended", &logged_line::message), 1);
  }
};

TEST_F(ExplainBrokenAnswer, AStatusOutOfRange) {
  expect_reason({"000", signed_head("HTTP/1.1 000 Odd") + "Content-Length: 4\r\n\r\npart"},
                "status out of range");
}

TEST_F(ExplainBrokenAnswer, AResetDuringTheUpload) {
  expect_reason({"reset", signed_success() + "\r\npart", after_answer::resets, true},
                "connection reset before the end");
}

TEST_F(ExplainBrokenAnswer, AnUnknownTransferEncoding) {
  expect_reason({"xx", signed_success() + "Transfer-Encoding: xx\r\n\r\npart"},
                "unknown transfer encoding");
}

TEST_F(Explain, AKeyThatCannotBeChecked) {
  ASSERT_TRUE(both_nodes_serve());
  platform_.set_store_down(true);
  ASSERT_TRUE(eventually([&] { return send_request(0, "/llm/2f", "d0").response.status == 503; }));
  const auto timeline = explain_request("d0");
  ASSERT_TRUE(timeline);
  EXPECT_THAT(timeline->cause, HasSubstr("cannot be checked"));
  ASSERT_EQ(timeline->last_known.size(), 1U);
  EXPECT_TRUE(has(timeline->last_known[0].lines, "lost")) << "since when the store is unavailable";
  EXPECT_TRUE(has(timeline->last_known[0].lines, "in force")) << "which version it acted on";
}

}  // namespace
}  // namespace arbutus::testing_support
