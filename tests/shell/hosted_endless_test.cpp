// Tests nodes on the hosted platform whose targets send bytes without end that are no answer, over
// real sockets.
#include "hosted_fixture.h"
#include "shell/endless_target.h"

namespace arbutus::testing_support {
namespace {

using standin::plain_instance_id;

// Longest time that an answer may take whose first target is faulty.
constexpr duration give_up_limit = 3s;
constexpr int max_requests = 60;

class HostedEndless : public hosted_fixture {
 protected:
  std::uint64_t given_up(const std::string& part) {
    const std::string metrics = send_operator_request("GET", "/metrics").response.body;
    const std::string name = "arbutusworks_answers_too_large{part=\"" + part + "\"} ";
    const auto at = metrics.find(name);
    return at == std::string::npos ? 0 : std::stoull(metrics.substr(at + name.size()));
  }

  // Sends streams until one has run at the head. Each of them has to be complete.
  void expect_streams_past(const std::string& head, const std::string& what) {
    const std::size_t before = platform_.arrivals()[head].size();
    for (int i = 0; i < max_requests && platform_.arrivals()[head].size() == before; ++i) {
      const std::string id = "s" + std::to_string(++requests_);
      const time_point sent = monotonic_now();
      const call_result result = send_request(0, "/llm/1", id);
      EXPECT_EQ(result.response.status, 200) << what;
      EXPECT_EQ(result.response.body, expected_stream(id)) << what;
      EXPECT_LT(monotonic_now() - sent, give_up_limit) << what;
    }
    EXPECT_GT(platform_.arrivals()[head].size(), before) << what;
  }

  call_result send_to(const test_node& node, const std::string& target) {
    call_result result;
    runtime.run_on(0, [&] {
      result = client_.fetch(local(node.settings.listen.caller_endpoint.port),
                             make_request(target, "s" + std::to_string(++requests_)),
                             monotonic_now() + 2s);
    });
    return result;
  }

  void list_faulty_instance(std::uint16_t port) {
    const std::string address = "127.0.0.1:" + std::to_string(port);
    platform_.write_target_record("a-faulty", R"({"service":"api","address":")" + address +
                                                  R"(","zone":"lab-a","slots":6,"born":)" +
                                                  std::to_string(++born_) + R"(,"state":"ready"})");
  }

  int requests_ = 0;
  std::uint64_t born_ = 1'000'000;
};

// Guards against streams that hold their callers and the node's memory while a head sends bytes
// that are no event, and against such bytes in a caller's stream.
TEST_F(HostedEndless, AStreamWithoutEventsContinuesElsewhere) {
  ASSERT_TRUE(both_nodes_serve());
  const std::string head = platform_.engine_of_run("warm-0");
  for (const std::string& text : {std::string(": comment\n\n"), std::string(1000, 'x'),
                                  "data: " + std::string(1000, 'x'), std::string("data: x\n")}) {
    const std::uint64_t before = given_up("event");
    platform_.set_behaviour(head, {false, "", false, text});
    expect_streams_past(head, text.substr(0, 10));
    EXPECT_GT(given_up("event"), before) << text.substr(0, 10);
    platform_.set_behaviour(head, {});
  }
}

// Guards against calls of a plain service that last until their deadlines, or pass bytes on, while
// an instance sends bytes that are no answer.
TEST_F(HostedEndless, AnAnswerWithoutEndIsNotPassedOn) {
  ASSERT_TRUE(both_nodes_serve());
  for (const endless_answer& answer : endless_answers()) {
    endless_target faulty(answer);
    list_faulty_instance(faulty.port());
    int failed = 0;
    const time_point until = monotonic_now() + 4s;
    while (failed == 0 && monotonic_now() < until) {
      const std::string id = "c" + std::to_string(++requests_);
      const time_point sent = monotonic_now();
      const call_result result = send_request(0, "/card/1", id);
      EXPECT_TRUE(result.ok()) << answer.name;
      EXPECT_LT(monotonic_now() - sent, give_up_limit) << answer.name;
      EXPECT_EQ(result.response.body.find("xxx"), std::string::npos) << answer.name;
      // The route does not allow a repetition, since the call may have run.
      failed += result.response.status == 504 || result.response.status == 503 ||
                        result.response.status == 502
                    ? 1
                    : 0;
      if (result.response.status == 200) {
        EXPECT_EQ(result.response.body, "card " + id) << answer.name;
      }
    }
    EXPECT_EQ(failed, 1) << answer.name << ": the faulty instance was not called";
    EXPECT_TRUE(eventually([&] { return faulty.refused_answers() > 0; })) << answer.name;
  }
  EXPECT_GE(given_up("head"), 1U);
  EXPECT_GE(given_up("body"), 1U);
}

// Guards against a node that keeps what an engine sends for a report, or stops to control the
// others.
TEST_F(HostedEndless, ReportsWithoutEndDisturbNothing) {
  ASSERT_TRUE(both_nodes_serve());
  for (const endless_answer& answer : endless_answers()) {
    endless_target faulty(answer, 4);
    const std::string address = "127.0.0.1:" + std::to_string(faulty.port());
    platform_.write_target_record("i-faulty",
                                  R"({"service":"llm","address":")" + address +
                                      R"(","zone":"lab-a","slots":9,"domain":"odd","born":)" +
                                      std::to_string(++born_) + R"(,"state":"ready"})");
    EXPECT_TRUE(eventually([&] { return faulty.refused_answers() > 0; })) << answer.name;
    const std::string id = "r" + std::to_string(++requests_);
    const time_point sent = monotonic_now();
    EXPECT_EQ(send_request(0, "/llm/1", id).response.body, expected_stream(id)) << answer.name;
    EXPECT_LT(monotonic_now() - sent, give_up_limit) << answer.name;
  }
  platform_.kill_engine(platform_.find_member(false));
  EXPECT_TRUE(eventually([this] { return platform_.count_serving_replicas() >= 2; }));
}

// Guards against a node that keeps what its store sends, or cannot end while it does.
TEST_F(HostedEndless, AnswersOfTheStoreWithoutEndAreGivenUp) {
  for (const endless_answer& answer : endless_answers()) {
    endless_target store(answer, 4);
    const test_node node("edge-9", store.port());
    EXPECT_TRUE(eventually([&] { return store.refused_answers() > 0; })) << answer.name;
    const call_result result = send_to(node, "/llm/1");
    EXPECT_EQ(result.response.status, 503) << answer.name;
  }
}

}  // namespace
}  // namespace arbutus::testing_support
