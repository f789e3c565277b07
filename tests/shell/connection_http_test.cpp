// Tests the HTTP client with the HTTP server, callers that disconnect, and draining of the server.
#include <boost/fiber/future.hpp>
#include <set>

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "shell/connection_fixture.h"
#include "shell/raw_peer.h"

namespace arbutus {
namespace {

using namespace testing_support;

using connection_http = connection_fixture;

void echo(const http_request& request, response_writer& writer) {
  writer.send(200, {{"Content-Type", "text/plain"}, {"X-Target", request.target}},
              request.method + " " + request.body);
}

TEST_F(connection_http, answers_requests_on_one_kept_connection) {
  http_server server(runtime, any_port, {}, echo);
  http_client client(runtime);
  in_fiber([&] {
    for (int i = 0; i < 3; ++i) {
      const http_request request{"POST", "/a", {}, "body " + std::to_string(i), {}};
      const auto result = client.fetch(local(server.port()), request, test_deadline());
      ASSERT_TRUE(result.ok()) << result.detail;
      EXPECT_EQ(result.response.status, 200);
      EXPECT_EQ(result.response.body, "POST body " + std::to_string(i));
      EXPECT_EQ(result.response.headers.find("x-target"), "/a");
      EXPECT_EQ(client.idle_connections(), 1U);
    }
  });
  EXPECT_EQ(server.connections(), 1U);
}

TEST_F(connection_http, streams_chunk_by_chunk) {
  boost::fibers::promise<void> first_seen;
  auto first_chunk_read = first_seen.get_future();
  http_server server(runtime, any_port, {}, [&](const http_request&, response_writer& writer) {
    writer.start(200, {{"Content-Type", "text/event-stream"}});
    writer.write("one");
    // The second chunk is written only after the client has read the first one.
    first_chunk_read.wait();
    writer.write("");  // an empty write must not end the stream
    writer.write("two");
    writer.finish();
  });
  http_client client(runtime);
  in_fiber([&] {
    std::string seen;
    const auto result = client.stream(
        local(server.port()), {}, test_deadline(),
        [](int status, const http_headers&) { return status == 200; },
        [&](std::string_view chunk) {
          if (seen.empty()) {
            first_seen.set_value();
          }
          seen += chunk;
          return true;
        });
    EXPECT_TRUE(result.ok()) << result.detail;
    EXPECT_EQ(seen, "onetwo");
    EXPECT_EQ(client.idle_connections(), 1U);
  });
}

TEST_F(connection_http, carries_large_bodies_both_ways) {
  http_server server(runtime, any_port, {}, echo);
  http_client client(runtime);
  const std::string body(5UL * 1024 * 1024, 'b');
  in_fiber([&] {
    const auto result =
        client.fetch(local(server.port()), {"PUT", "/", {}, body, {}}, test_deadline());
    ASSERT_TRUE(result.ok()) << result.detail;
    EXPECT_EQ(result.response.body, "PUT " + body);
  });
}

TEST_F(connection_http, an_answer_to_head_has_no_body) {
  http_server server(runtime, any_port, {}, echo);
  http_client client(runtime);
  in_fiber([&] {
    for (int i = 0; i < 2; ++i) {
      const auto result =
          client.fetch(local(server.port()), {"HEAD", "/", {}, "", {}}, test_deadline());
      ASSERT_TRUE(result.ok()) << result.detail;
      EXPECT_EQ(result.response.headers.find("content-length"), "5");
      EXPECT_EQ(result.response.body, "");
    }
    EXPECT_EQ(client.idle_connections(), 1U);
  });
}

TEST_F(connection_http, a_stream_to_an_http_1_0_caller_ends_with_its_connection) {
  http_server server(runtime, any_port, {}, [](const http_request&, response_writer& writer) {
    writer.start(200, {});
    writer.write("ab");
    writer.write("cd");
    writer.finish();
  });
  auto caller = raw_connection::to(server.port());
  caller.send("GET / HTTP/1.0\r\n\r\n");
  const auto answer = caller.read_all();
  EXPECT_TRUE(caller.ended());
  EXPECT_EQ(answer.substr(answer.size() - 8), "\r\n\r\nabcd");
}

TEST_F(connection_http, spreads_connections_over_the_workers) {
  awaitable_value<std::set<std::size_t>> used;
  http_server server(runtime, any_port, {}, [&](const http_request&, response_writer& writer) {
    used.change([](auto& workers) { workers.insert(current_worker()); });
    writer.send(200, {}, "");
  });
  std::vector<raw_connection> callers;
  for (std::size_t i = 0; i < 2; ++i) {
    callers.push_back(raw_connection::to(server.port()));
    callers.back().send("GET / HTTP/1.1\r\n\r\n");
    callers.back().read_until("\r\n\r\n");
  }
  EXPECT_EQ(used.get(), (std::set<std::size_t>{0, 1}));
}

TEST_F(connection_http, an_exception_of_a_handler_is_reported) {
  awaitable_value<std::string> reported;
  const http_server server(
      runtime, any_port, {},
      [](const http_request&, response_writer&) { throw std::runtime_error("fault"); },
      default_error_body,
      [&](const http_request& request, std::string_view what) {
        reported.set(request.target + ' ' + std::string(what));
      });
  auto caller = raw_connection::to(server.port());
  caller.send("GET /throw HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(reported.wait_for("/throw fault"));
}

TEST_F(connection_http, a_handler_that_fails_gives_a_500) {
  http_server server(runtime, any_port, {}, [](const http_request& request, response_writer&) {
    if (request.target == "/throw") {
      throw std::runtime_error("fault");
    }
  });
  http_client client(runtime);
  in_fiber([&] {
    for (const char* target : {"/throw", "/silent"}) {
      const auto result =
          client.fetch(local(server.port()), {"GET", target, {}, "", {}}, test_deadline());
      ASSERT_TRUE(result.ok()) << result.detail;
      EXPECT_EQ(result.response.status, 500);
    }
  });
}

// Guards against a caller that treats half a response as complete: if the handler returns in the
// middle of a stream, the server must not end the stream properly.
TEST_F(connection_http, an_unfinished_stream_is_visibly_truncated) {
  http_server server(runtime, any_port, {}, [](const http_request&, response_writer& writer) {
    writer.start(200, {});
    writer.write("half");
  });
  http_client client(runtime);
  in_fiber([&] {
    const auto result = client.fetch(local(server.port()), {}, test_deadline());
    EXPECT_EQ(result.outcome, call_outcome::unknown);
    EXPECT_EQ(result.failure, call_failure::connection_lost);
    EXPECT_EQ(result.response.body, "half");
  });
}

// Guards against half a response that an HTTP/1.0 caller takes for complete, since the end of the
// connection ends its response.
TEST_F(connection_http, an_unfinished_stream_to_an_http_1_0_caller_ends_with_a_reset) {
  http_server server(runtime, any_port, {}, [](const http_request&, response_writer& writer) {
    writer.start(200, {});
    writer.write("half");
  });
  auto caller = raw_connection::to(server.port());
  caller.send("GET / HTTP/1.0\r\n\r\n");
  caller.read_all();
  EXPECT_TRUE(caller.was_reset());
}

// Guards against engines that go on generating for callers that have disconnected. The caller
// closes while the handler waits for a target that has not begun its response, so the server must
// not check the caller's socket only when it writes.
TEST_F(connection_http, a_caller_that_leaves_cancels_the_call_upstream) {
  const raw_listener upstream;
  http_client client(runtime);
  std::atomic<int> handled{0};
  http_server server(runtime, any_port, {}, [&](const http_request&, response_writer& writer) {
    ++handled;
    const auto token = cancel_token::make();
    writer.on_caller_disconnect([&token] { token.cancel(); });
    const auto result = client.fetch(local(upstream.port()), {}, test_deadline(), token);
    EXPECT_TRUE(writer.caller_disconnected());
    EXPECT_EQ(result.outcome, call_outcome::unknown);
    EXPECT_EQ(result.failure, call_failure::cancelled);
  });
  // The second caller sends a further request on its connection before it disconnects. That request
  // must not be run.
  const std::string get = "GET / HTTP/1.1\r\n\r\n";
  for (const auto& early : {std::string{}, get}) {
    handled = 0;
    auto caller = raw_connection::to(server.port());
    caller.send(get);
    auto target = upstream.accept();
    target.read_until("\r\n\r\n");
    caller.send(early);
    caller.close();
    target.read_all();
    EXPECT_TRUE(target.was_reset());
    in_fiber([&] { EXPECT_TRUE(fiber_wait_until([&] { return server.connections() == 0; })); });
    EXPECT_EQ(handled, 1);
  }
}

TEST_F(connection_http, a_caller_that_closes_its_sending_side_gets_a_status) {
  http_server server(runtime, any_port, {}, [](const http_request&, response_writer& writer) {
    bool left = false;
    writer.on_caller_disconnect([&left] { left = true; });
    EXPECT_TRUE(fiber_wait_until([&left] { return left; }));
  });
  auto caller = raw_connection::to(server.port());
  caller.send("GET / HTTP/1.1\r\n\r\n");
  caller.close_send_side();
  EXPECT_NE(caller.read_all().find("HTTP/1.1 500 "), std::string::npos);
  EXPECT_TRUE(caller.ended());
}

// Guards against a crash, or the cancellation of another caller's call, some time after a request
// has ended: a handler registers a callback with on_caller_disconnect() and returns, and the
// connection ends later. The callback must not outlive what it refers to.
TEST_F(connection_http, a_caller_gone_handler_does_not_outlive_its_request) {
  std::atomic<int> notices{0};
  auto server = std::make_unique<http_server>(
      runtime, any_port, http_server_limits{}, [&](const http_request&, response_writer& writer) {
        writer.on_caller_disconnect([&notices] { ++notices; });
        EXPECT_FALSE(writer.caller_disconnected());
        writer.send(200, {}, "");
      });
  auto caller = raw_connection::to(server->port());
  for (int i = 0; i < 3; ++i) {
    caller.send("GET / HTTP/1.1\r\n\r\n");
    EXPECT_NE(caller.read_until("\r\n\r\n"), "");
  }
  server.reset();
  EXPECT_EQ(notices, 0);
}

// A server whose handler waits until the test releases it.
class connection_drain : public connection_fixture {
 protected:
  void answer(response_writer& writer) {
    entered.change([](int& n) { ++n; });
    fiber_wait_until([this] { return released.load(); });
    writer.send(200, {}, "whole");
  }

  awaitable_value<int> entered;
  std::atomic<bool> released{false};
  http_server server{runtime, any_port, {}, [this](const http_request&, response_writer& writer) {
                       answer(writer);
                     }};
};

// Guards against a planned stop that truncates responses: drain() is called while one request runs
// and one connection is idle, and only the idle one may be closed.
TEST_F(connection_drain, finishes_what_is_in_flight) {
  auto idle = raw_connection::to(server.port());
  auto busy = raw_connection::to(server.port());
  busy.send("GET / HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(entered.wait_for(1));
  in_fiber([&] {
    EXPECT_TRUE(fiber_wait_until([&] { return server.connections() == 2; }));
    EXPECT_FALSE(server.drain(monotonic_now() + 5ms));
  });
  idle.read_all();
  EXPECT_TRUE(idle.ended());
  EXPECT_FALSE(raw_connection::to(server.port()).connected());
  EXPECT_EQ(server.active(), 1U);
  released = true;
  const auto answer = busy.read_all();
  EXPECT_TRUE(busy.ended());
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  EXPECT_EQ(answer.substr(answer.size() - 5), "whole");
  EXPECT_TRUE(server.drain(test_deadline()));
  EXPECT_EQ(server.active(), 0U);
}

std::size_t count_of(std::string_view text, std::string_view part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string_view::npos; at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

TEST_F(connection_drain, answers_requests_that_arrived_behind_the_one_in_progress) {
  auto caller = raw_connection::to(server.port());
  caller.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(entered.wait_for(1));
  in_fiber([&] { EXPECT_FALSE(server.drain(monotonic_now() + 5ms)); });
  released = true;
  const auto answers = caller.read_all();
  EXPECT_TRUE(caller.ended());
  EXPECT_EQ(count_of(answers, "whole"), 2U) << answers;
  EXPECT_EQ(count_of(answers, "Connection: close"), 1U) << answers;
}

TEST_F(connection_drain, answers_all_that_has_arrived_before_it_announces_the_close) {
  server.close_after_answers();
  released = true;
  auto caller = raw_connection::to(server.port());
  caller.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n\r\n");
  const auto answers = caller.read_all();
  EXPECT_EQ(count_of(answers, "whole"), 3U) << answers;
  EXPECT_EQ(count_of(answers, "Connection: close"), 1U) << answers;
}

// Guards against a reset, caused by a request that crosses the close, that destroys the end of the
// answer before it: the caller has not received it yet.
TEST_F(connection_http, a_request_that_crosses_the_close_does_not_destroy_the_answer_before_it) {
  const std::string body(48UL * 1024, 'b');
  awaitable_value<int> answered;
  http_server server(runtime, any_port, {}, [&](const http_request&, response_writer& writer) {
    EXPECT_TRUE(writer.send(200, {}, body));
    answered.set(1);
  });
  server.close_after_answers();
  constexpr int small_receive_buffer = 4096;
  auto caller = raw_connection::to(server.port(), small_receive_buffer);
  caller.send("GET / HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(answered.wait_for(1));
  in_fiber([&] {
    const time_point limit = monotonic_now() + 100ms;
    fiber_wait_until([&] { return server.connections() == 0 || monotonic_now() > limit; });
  });
  caller.send("GET /crossing HTTP/1.1\r\n\r\n");
  const auto answer = caller.read_all();
  EXPECT_FALSE(caller.was_reset());
  EXPECT_EQ(count_of(answer, "b"), body.size());
}

TEST_F(connection_drain, destroying_a_server_notifies_its_handlers) {
  awaitable_value<int> waiting;
  bool notified = false;
  auto other = std::make_unique<http_server>(
      runtime, any_port, http_server_limits{}, [&](const http_request&, response_writer& writer) {
        writer.on_caller_disconnect([&notified] { notified = true; });
        waiting.set(1);
        EXPECT_TRUE(fiber_wait_until([&notified] { return notified; }));
        EXPECT_FALSE(writer.send(200, {}, "late"));
      });
  auto caller = raw_connection::to(other->port());
  caller.send("GET / HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(waiting.wait_for(1));
  other.reset();
  EXPECT_EQ(caller.read_all(), "");
}

}  // namespace
}  // namespace arbutus
