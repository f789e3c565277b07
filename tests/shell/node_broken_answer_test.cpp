// Tests the clients of nodes of the product's own kind with broken answers: of the platform, of
// targets to probes and orders, and of nodes of other data centres that calls are passed on to.
#include <string>
#include <variant>
#include <vector>

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "connection_fixture.h"
#include "node/engine_client.h"
#include "node/platform_client.h"
#include "node/spill_call.h"
#include "process/engine_wire.h"
#include "scripted_target.h"

namespace arbutus {
namespace {

using namespace testing_support;

constexpr const char* odd_body = "part";

std::vector<scripted_answer> broken_answers(const std::string& fields, const std::string& body) {
  const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
  std::vector<scripted_answer> answers;
  for (const std::string status : {"000", "001", "099", "600", "999"}) {
    const std::string line = "HTTP/1.1 " + status + " Odd\r\n" + fields;
    answers.push_back({"status " + status, line + length + "\r\n" + body});
    answers.push_back({"status " + status + " to the end", line + "\r\n" + body});
  }
  const std::string success = "HTTP/1.1 200 OK\r\n" + fields;
  answers.push_back({"short body", success + "Content-Length: 999\r\n\r\n" + body});
  answers.push_back({"reset", success + "\r\n" + body, after_answer::resets, true});
  return answers;
}

class node_broken_answer : public connection_fixture {
 protected:
  // What the caller of a node gets whose other data centre gives this answer.
  call_result passed_on(const scripted_target& other, bool& is_answered) {
    http_server server(runtime, any_port, http_server_limits{},
                       [&](const http_request& request, response_writer& writer) {
                         const endpoint entry{"127.0.0.1", other.port()};
                         const spill_outcome end = relay_call(client, request, writer, entry,
                                                              test_deadline(), cancel_token{});
                         is_answered = end.answered;
                         EXPECT_FALSE(end.complete);
                         if (!end.answered) {
                           EXPECT_EQ(end.ran, execution::unknown);
                           writer.send(502, {}, "");
                         }
                       });
    http_request request;
    request.method = "POST";
    request.body.assign(upload_bytes, 'u');
    call_result result;
    runtime.run_on(0,
                   [&] { result = client.fetch(local(server.port()), request, test_deadline()); });
    return result;
  }

  http_client client{runtime};
};

// Guards against a broken answer of another data centre's node that reaches a caller as an answer.
TEST_F(node_broken_answer, a_call_passed_on_gets_no_broken_answer) {
  for (const scripted_answer& answer :
       broken_answers("content-type: application/json\r\n", odd_body)) {
    const scripted_target other(answer);
    bool is_answered = true;
    const call_result result = passed_on(other, is_answered);
    EXPECT_FALSE(is_answered) << answer.name;
    EXPECT_EQ(result.response.status, 502) << answer.name;
    EXPECT_EQ(result.response.body.find(odd_body), std::string::npos) << answer.name;
  }
}

// Guards against a stream that a caller takes for complete though the other node broke it off.
TEST_F(node_broken_answer, a_stream_passed_on_does_not_end_as_complete) {
  const std::string event = "data: {}\n\n";
  for (const scripted_answer& answer :
       broken_answers("content-type: text/event-stream\r\n", event)) {
    const scripted_target other(answer);
    bool is_answered = false;
    const call_result result = passed_on(other, is_answered);
    EXPECT_TRUE(!is_answered || result.response.body.find("\"cut\"") != std::string::npos)
        << answer.name;
    EXPECT_EQ(result.response.body.find("[DONE]"), std::string::npos) << answer.name;
  }
}

// Guards against a probe or an order that counts as answered.
TEST_F(node_broken_answer, probes_and_orders_are_unknown) {
  for (const scripted_answer& answer : broken_answers("", encode(engine_report{}))) {
    const scripted_target target(answer);
    engine_client engines(client);
    order large;
    large.model_version.assign(upload_bytes, 'v');
    in_fiber([&] {
      EXPECT_TRUE(std::holds_alternative<unknown>(
          engines.send(local(target.port()), large, test_deadline(), {})))
          << answer.name;
      // A probe has no body that could still be on its way when the reset comes.
      if (answer.then != after_answer::resets) {
        EXPECT_TRUE(
            std::holds_alternative<unknown>(engines.probe(local(target.port()), test_deadline())))
            << answer.name;
      }
    });
  }
}

// Guards against a row or an object that is taken from a broken answer, and a write that counts as
// done or as refused.
TEST_F(node_broken_answer, calls_to_the_platform_are_unknown) {
  for (const scripted_answer& answer : broken_answers("x-row-version: 5\r\n", "row")) {
    const scripted_target service(answer);
    const socket_address at = local(service.port());
    platform_client platform(client, {at, at, at}, data_centre_id{"lab-a"});
    const std::string large(upload_bytes, 'u');
    in_fiber([&] {
      EXPECT_TRUE(
          std::holds_alternative<unknown>(platform.write({"key", large, 4}, test_deadline())))
          << answer.name;
      if (answer.then != after_answer::resets) {
        EXPECT_TRUE(std::holds_alternative<unknown>(platform.read({"key"}, test_deadline())))
            << answer.name;
        EXPECT_TRUE(std::holds_alternative<unknown>(platform.get({"key"}, test_deadline())))
            << answer.name;
        EXPECT_TRUE(std::holds_alternative<unknown>(platform.list_vms(test_deadline())))
            << answer.name;
      }
    });
  }
}

}  // namespace
}  // namespace arbutus
