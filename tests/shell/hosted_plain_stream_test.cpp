// Tests streams of a service that is not a model, over real sockets in one process.
#include <mutex>
#include <optional>

#include "connection/http_server.h"
#include "hosted_place_fixture.h"

namespace arbutus::testing_support {
namespace {

using standin::path_state;

constexpr const char* last_event_header = "Last-Event-Id";
constexpr int last_event = 31;  // of 40
const std::string stream_path_of_plain = std::string(standin::plain_stream_prefix) + "1";

class HostedPlainStream : public hosted_place_fixture {
 protected:
  // Asks for the rest of a stream whose caller has the events up to `last_event`.
  call_result resume(std::size_t node, const std::string& path, const std::string& id) {
    http_request request = make_request(path, id);
    request.headers.add(last_event_header, std::to_string(last_event));
    call_result result;
    runtime.run_on(0, [&] {
      result = client_.fetch(local(nodes_[node]->settings.listen.caller_endpoint.port), request,
                             monotonic_now() + 8s);
    });
    return result;
  }

  [[nodiscard]] std::string expected_rest(const std::string& id) const {
    const std::string whole = expected_stream(id);
    return whole.substr(whole.find("id: " + std::to_string(last_event + 1) + "\n"));
  }

  // Whether the request has reached a target, and named the caller's last event at each arrival.
  [[nodiscard]] bool named_the_last_event(const std::string& id) const {
    const std::vector<http_headers> arrivals = platform_.arrived_headers(id);
    return !arrivals.empty() && std::ranges::all_of(arrivals, [](const http_headers& headers) {
      return headers.find(last_event_header) == std::to_string(last_event);
    });
  }
};

// Guards against a stream that begins anew when its caller resumes it.
TEST_F(HostedPlainStream, GoesOnBehindTheLastEventOfItsCaller) {
  ASSERT_TRUE(both_nodes_serve());
  const call_result result = resume(1, stream_path_of_plain, "resumed");
  EXPECT_EQ(result.response.status, 200);
  EXPECT_EQ(result.response.body, expected_rest("resumed"));
}

// Guards against a stream whose first event comes with its last one.
TEST_F(HostedPlainStream, EventsAreForwardedAsTheyArrive) {
  // Time within which a node has to pass an event on.
  constexpr duration max_forwarding_time = 120ms;
  ASSERT_TRUE(both_nodes_serve());
  const http_request request = make_request(stream_path_of_plain, "as-they-arrive");
  const time_point sent_at = monotonic_now();
  std::optional<time_point> first_event_at;
  call_result result;
  runtime.run_on(0, [&] {
    result = client_.stream(
        local(nodes_[0]->settings.listen.caller_endpoint.port), request, sent_at + 8s,
        [](int, const http_headers&) { return true; },
        [&](std::string_view) {
          first_event_at = first_event_at.value_or(monotonic_now());
          return true;
        });
  });
  EXPECT_TRUE(result.ok());
  ASSERT_TRUE(first_event_at);
  EXPECT_LT(*first_event_at - sent_at, two_places().event_gap + max_forwarding_time);
}

// Guards against a header that only routes of streams pass on.
TEST_F(HostedPlainStream, HeaderOfTheLastEventIsPassedOnWithACall) {
  ASSERT_TRUE(both_nodes_serve());
  EXPECT_EQ(resume(0, call_path, "call").response.status, 200);
  EXPECT_TRUE(named_the_last_event("call"));
}

// Guards against a stream that begins anew at a second target, after the first one has refused it.
TEST_F(HostedPlainStream, GoesOnAtASecondTargetAfterARefusal) {
  ASSERT_TRUE(both_nodes_serve());
  std::mutex lock;
  std::set<std::string> refused;
  http_server refusing(runtime, {"127.0.0.1", 0}, http_server_limits{},
                       [&](const http_request& request, response_writer& writer) {
                         const std::string id(request.headers.find("X-Request-Id").value_or(""));
                         {
                           const std::lock_guard guard(lock);
                           refused.insert(id);
                         }
                         writer.send(503, {{"X-Not-Executed", "1"}, {"X-Request-Id", id}}, "");
                       });
  // Among equals the first one by id is chosen.
  platform_.write_target_record(
      "i-a-refusing",
      R"({"service":"api","zone":"lab-a","slots":6,"state":"ready","born":1,"address":")" +
          to_string(endpoint{"127.0.0.1", refusing.port()}) + "\"}");
  std::string id;
  EXPECT_TRUE(eventually([&] {
    id = next_id(0);
    const call_result result = resume(0, stream_path_of_plain, id);
    EXPECT_EQ(result.response.status, 200);
    EXPECT_EQ(result.response.body, expected_rest(id));
    const std::lock_guard guard(lock);
    return refused.contains(id) || HasFailure();
  }));
  EXPECT_TRUE(named_the_last_event(id));
  nodes_.clear();
}

// Guards against a stream that begins anew at the target of a peer, after its node was cut off.
TEST_F(HostedPlainStream, GoesOnAtAPeerThatTakesItOver) {
  ASSERT_TRUE(both_nodes_serve());
  platform_.set_paths(0, path_state::silent);
  std::string id;
  EXPECT_TRUE(eventually([&] {
    id = next_id(0);
    const call_result result = resume(0, stream_path_of_plain, id);
    EXPECT_TRUE(result.response.status != 200 || result.response.body == expected_rest(id))
        << result.response.body;
    return metric(0, "arbutusworks_handed_over{result=\"answered\"}") > 0 || HasFailure();
  }));
  EXPECT_TRUE(named_the_last_event(id));
  platform_.set_paths(0, path_state::open);
}

}  // namespace
}  // namespace arbutus::testing_support
