// Tests what a caller gets of the answer of a peer that took its call over, also of a peer of an
// earlier release, which passes on each answer of a target as it is.
#include "connection/http_client.h"
#include "connection_fixture.h"
#include "node/hosted_relay.h"

namespace arbutus {
namespace {

using testing_support::any_port;
using testing_support::connection_fixture;
using testing_support::local;

// What the node that handed the call over has received, and what it knows of the call.
struct peer_answer {
  relay_outcome outcome = relay_outcome::answered;
  int status = 503;
  bool repeatable = false;
  std::uint32_t possible_runs = 1;  // with those that the peer reports
};

class RelayAnswer : public connection_fixture {
 protected:
  http_response passed_on(const peer_answer& received) {
    route once;
    once.kind = received.repeatable ? route_kind::idempotent : route_kind::once;
    http_server server(runtime, any_port, http_server_limits{},
                       [&](const http_request& request, response_writer& writer) {
                         hosted_request call{.raw_request = request, .writer = writer};
                         call.matched_route = &once;
                         call.possible_runs = received.possible_runs;
                         relay_answer answer;
                         answer.outcome = received.outcome;
                         answer.status = received.status;
                         answer.headers = {{"X-Response-Seal", "s"}, {"Retry-After", "1"}};
                         answer.body = "of the peer";
                         pass_on(state_, call, answer);
                       });
    call_result result;
    runtime.run_on(0, [&] {
      result = client_.fetch(local(server.port()), http_request{}, monotonic_now() + 5s);
    });
    EXPECT_TRUE(result.ok());
    return result.response;
  }

  void expect_replaced(const peer_answer& received, int status) {
    const http_response response = passed_on(received);
    EXPECT_EQ(response.status, status) << received.status;
    EXPECT_FALSE(response.headers.find("X-Response-Seal")) << received.status;
    EXPECT_FALSE(response.headers.find("Retry-After")) << received.status;
    EXPECT_EQ(response.body.find("of the peer"), std::string::npos) << received.status;
  }

  void expect_unchanged(const peer_answer& received) {
    const http_response response = passed_on(received);
    EXPECT_EQ(response.status, received.status);
    EXPECT_TRUE(response.headers.find("X-Response-Seal")) << received.status;
    EXPECT_TRUE(response.headers.find("Retry-After")) << received.status;
    EXPECT_EQ(response.body, "of the peer") << received.status;
  }

  static hosted_settings settings() {
    hosted_settings result;
    result.id = node_id{"edge-0"};
    result.data_centre = data_centre_id{"lab-a"};
    return result;
  }

  http_client client_{runtime};
  hosted_state state_{time_point{1000s}, settings(), runtime};
};

// Guards against a failed run that a peer of an earlier release passes on, during an upgrade.
TEST_F(RelayAnswer, AFailureOfATargetIsNoPromise) {
  for (const int status : {503, 429, 408}) {
    expect_replaced({.status = status}, 504);
    expect_replaced({.status = status, .possible_runs = 0}, 504);
  }
}

TEST_F(RelayAnswer, OtherAnswersOfATargetAreUnchanged) {
  for (const int status : {200, 400, 404, 500, 502, 504}) {
    expect_unchanged({.status = status});
  }
  expect_unchanged({.status = 503, .repeatable = true});
}

// Guards against a refusal of a peer that does not know of a run at this node.
TEST_F(RelayAnswer, ARefusalOfThePeerAfterAPossibleRunIsNoPromise) {
  expect_replaced({.outcome = relay_outcome::refused}, 504);
  expect_replaced({.outcome = relay_outcome::refused, .repeatable = true}, 502);
}

TEST_F(RelayAnswer, ARefusalOfThePeerWithoutARunIsUnchanged) {
  expect_unchanged({.outcome = relay_outcome::refused, .possible_runs = 0});
}

}  // namespace
}  // namespace arbutus
