// Tests the outcomes of failed calls of the HTTP client, against targets scripted with raw sockets.
#include <future>
#include <thread>

#include "connection/http_client.h"
#include "connection/http_server.h"
#include "shell/connection_fixture.h"
#include "shell/endless_target.h"
#include "shell/raw_peer.h"

namespace arbutus {
namespace {

using namespace testing_support;

const std::string end_of_header = "\r\n\r\n";
const std::string ok_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

class connection_client : public connection_fixture {
 protected:
  ~connection_client() override { join(); }

  // Runs the script of the scripted target in a thread of its own.
  void run_target(std::function<void()> script) { thread = std::thread(std::move(script)); }
  void join() {
    if (thread.joinable()) {
      thread.join();
    }
  }

  call_result fetch(time_point deadline = test_deadline(), const cancel_token& token = {}) {
    return client.fetch(local(target.port()), {"POST", "/job", {}, "card", {}}, deadline, token);
  }

  raw_listener target;
  http_client client{runtime};
  std::thread thread;
};

TEST_F(connection_client, a_refused_connection_is_not_sent) {
  target.close();
  in_fiber([&] {
    const auto result = fetch();
    EXPECT_EQ(result.outcome, call_outcome::not_sent);
    EXPECT_EQ(result.failure, call_failure::connect_failed);
  });
}

TEST_F(connection_client, a_request_that_was_never_written_is_not_sent) {
  in_fiber([&] {
    EXPECT_EQ(fetch(monotonic_now()).outcome, call_outcome::not_sent);

    const auto token = cancel_token::make();
    token.cancel();
    const auto cancelled = fetch(test_deadline(), token);
    EXPECT_EQ(cancelled.outcome, call_outcome::not_sent);
    EXPECT_EQ(cancelled.failure, call_failure::cancelled);

    const http_request unsafe{"GET", "/a HTTP/1.1\r\nX: y", {}, "", {}};
    const auto refused = client.fetch(local(target.port()), unsafe, test_deadline());
    EXPECT_EQ(refused.outcome, call_outcome::not_sent);
    EXPECT_EQ(refused.failure, call_failure::malformed);
  });
}

TEST_F(connection_client, a_request_never_written_on_a_reused_connection_is_not_sent) {
  run_target([&] {
    auto caller = target.accept();
    caller.read_until("card");
    caller.send(ok_answer);
    EXPECT_EQ(caller.read_all(), "");
  });
  in_fiber([&] {
    EXPECT_TRUE(fetch().ok());
    ASSERT_EQ(client.idle_connections(), 1U);
    const auto result = fetch(monotonic_now());
    EXPECT_EQ(result.outcome, call_outcome::not_sent);
    EXPECT_EQ(result.failure, call_failure::deadline);
  });
}

TEST_F(connection_client, a_stalled_body_ends_at_the_deadline) {
  http_client_limits limits;
  limits.body_stall_timeout = 100ms;
  http_client limited_client{runtime, limits};
  run_target([&] {
    auto caller = target.accept();
    caller.read_until("card");
    caller.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\no");
    caller.read_all();
  });
  in_fiber([&] {
    const auto result = limited_client.fetch(local(target.port()), {"POST", "/job", {}, "card", {}},
                                             monotonic_now() + 200ms);
    EXPECT_EQ(result.failure, call_failure::deadline);
    EXPECT_EQ(result.response.body, "o");
  });
}

TEST_F(connection_client, a_body_ends_at_its_maximum_duration) {
  http_client_limits limits;
  limits.body_stall_timeout = 5s;
  limits.max_body_duration = 200ms;
  http_client limited_client{runtime, limits};
  run_target([&] {
    auto caller = target.accept();
    caller.read_until("card");
    caller.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\no");
    caller.read_all();
  });
  in_fiber([&] {
    const auto result = limited_client.fetch(local(target.port()), {"POST", "/job", {}, "card", {}},
                                             monotonic_now() + 100ms);
    EXPECT_EQ(result.failure, call_failure::deadline);
  });
}

struct broken_answer {
  std::string name;
  std::string bytes;
  call_failure failure;
};

// Guards against a caller that writes a job card twice because the first write was reported as not
// sent. The request is sent completely, but the response is truncated or invalid, which does not
// prove that nothing ran.
TEST_F(connection_client, a_broken_response_leaves_the_outcome_unknown) {
  const std::vector<broken_answer> answers = {
      {"none", "", call_failure::connection_lost},
      {"half a header", "HTTP/1.1 200", call_failure::connection_lost},
      {"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
       call_failure::connection_lost},
      {"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
       call_failure::connection_lost},
      {"no HTTP", "hello\r\n\r\n", call_failure::malformed},
      {"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxy\r\n",
       call_failure::malformed},
  };
  run_target([&] {
    for (const auto& answer : answers) {
      auto caller = target.accept();
      caller.read_until("card");
      caller.send(answer.bytes);
    }
  });
  in_fiber([&] {
    for (const auto& answer : answers) {
      const auto result = fetch();
      EXPECT_EQ(result.outcome, call_outcome::unknown) << answer.name;
      EXPECT_EQ(result.failure, answer.failure) << answer.name << ": " << result.detail;
      EXPECT_EQ(client.idle_connections(), 0U) << answer.name;
    }
  });
}

// Guards against a faulty target that fills the node's memory, or holds the call until its
// deadline, with bytes that never become an answer.
TEST_F(connection_client, an_answer_without_end_is_given_up_for_its_size) {
  for (const endless_answer& answer : endless_answers()) {
    endless_target endless(answer);
    in_fiber([&] {
      const time_point began = monotonic_now();
      const auto result =
          client.fetch(local(endless.port()), {"POST", "/job", {}, "card", {}}, began + 3s);
      EXPECT_EQ(result.outcome, call_outcome::unknown) << answer.name;
      EXPECT_EQ(result.failure, call_failure::too_large) << answer.name << ": " << result.detail;
      EXPECT_LE(result.response.body.size(), 8UL * 1024 * 1024) << answer.name;
      EXPECT_EQ(client.idle_connections(), 0U) << answer.name;
    });
  }
}

// Guards against a node that runs out of memory, as each of many answers is within its own limit.
TEST_F(connection_client, endless_answers_together_stay_within_the_buffers) {
  constexpr std::size_t limit = 4UL * 1024 * 1024;
  constexpr std::size_t calls = 12;
  buffer_account buffers(limit);
  http_client_limits limits;
  limits.buffers = &buffers;
  http_client limited(runtime, limits);
  endless_target endless({"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                          "3e8\r\n" + std::string(1000, 'x') + "\r\n"},
                         calls);
  std::atomic<std::size_t> most{0};
  std::atomic<bool> ended{false};
  std::thread watch([&] {
    while (!ended) {
      most = std::max(most.load(), buffers.held());
    }
  });
  std::vector<std::future<call_result>> results;
  for (std::size_t i = 0; i < calls; ++i) {
    results.push_back(std::async(std::launch::async, [&] {
      call_result result;
      runtime.run_on(0, [&] {
        result = limited.fetch(local(endless.port()), {"GET", "/", {}, "", {}}, test_deadline());
      });
      return result;
    }));
  }
  for (auto& result : results) {
    EXPECT_EQ(result.get().failure, call_failure::too_large);
  }
  ended = true;
  watch.join();
  EXPECT_LE(most, 2 * limit + limit / 4);
}

// Guards against headers of a stream that are unlimited because its body is.
TEST_F(connection_client, a_stream_without_a_body_limit_has_limits_for_all_else) {
  for (const endless_answer& answer : endless_answers()) {
    if (answer.name.starts_with("body") || answer.name == "chunks") {
      continue;
    }
    endless_target endless(answer);
    in_fiber([&] {
      const auto result = client.stream(
          local(endless.port()), {"POST", "/job", {}, "card", {}}, monotonic_now() + 3s,
          [](int, const http_headers&) { return true; }, [](std::string_view) { return true; });
      EXPECT_EQ(result.failure, call_failure::too_large) << answer.name << ": " << result.detail;
    });
  }
}

TEST_F(connection_client, a_few_interim_responses_precede_an_answer) {
  run_target([&] {
    auto caller = target.accept();
    caller.read_until("card");
    for (std::size_t i = 0; i < http_client_limits{}.max_interim_responses; ++i) {
      caller.send("HTTP/1.1 102 Processing\r\n\r\n");
    }
    caller.send(ok_answer);
  });
  in_fiber([&] { EXPECT_EQ(fetch().response.body, "ok"); });
}

// Guards against a call that is held until its deadline by headers that never end.
TEST_F(connection_client, headers_that_have_begun_arrive_in_time) {
  http_client_limits limits;
  limits.max_header_duration = 50ms;
  http_client limited_client{runtime, limits};
  run_target([&] {
    {
      auto caller = target.accept();
      caller.read_until("card");
      caller.send("HTTP/1.1 200 OK\r\nContent-");
      caller.read_all();
      EXPECT_TRUE(caller.was_reset());
    }
    auto caller = target.accept();
    caller.read_until("card");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    caller.send(ok_answer);
  });
  in_fiber([&] {
    const http_request request{"POST", "/job", {}, "card", {}};
    const time_point deadline = test_deadline();
    const auto begun = limited_client.fetch(local(target.port()), request, deadline);
    EXPECT_EQ(begun.outcome, call_outcome::unknown);
    EXPECT_EQ(begun.failure, call_failure::deadline);
    EXPECT_LT(monotonic_now(), deadline - 5s);
    // The time until the first byte is not limited.
    const auto late = limited_client.fetch(local(target.port()), request, test_deadline());
    EXPECT_EQ(late.response.body, "ok");
  });
}

TEST_F(connection_client, the_deadline_covers_the_whole_answer) {
  run_target([&] {
    auto caller = target.accept();
    caller.read_until("card");
    caller.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
    caller.read_all();
    EXPECT_TRUE(caller.was_reset());
  });
  in_fiber([&] {
    const time_point deadline = monotonic_now() + 30ms;
    const auto result = fetch(deadline);
    EXPECT_EQ(result.outcome, call_outcome::unknown);
    EXPECT_EQ(result.failure, call_failure::deadline);
    EXPECT_GE(monotonic_now(), deadline);
    EXPECT_EQ(client.idle_connections(), 0U);
  });
}

// Guards against a request that fails although its target works: the target has closed an idle
// connection, and the next request is written to it without a check of the connection.
TEST_F(connection_client, a_connection_closed_while_idle_is_replaced) {
  awaitable_value<bool> closed;
  run_target([&] {
    {
      auto first = target.accept();
      first.read_until("card");
      first.send(ok_answer);
      first.close_send_side();
      closed.set(true);
      first.read_all();
    }
    auto second = target.accept();
    second.read_until("card");
    second.send(ok_answer);
  });
  in_fiber([&] {
    EXPECT_TRUE(fetch().ok());
    EXPECT_TRUE(fiber_wait_until([&] { return closed.get(); }));
    EXPECT_TRUE(fetch().ok());
    EXPECT_EQ(client.idle_connections(), 1U);
  });
}

// Guards against a job card that is written twice: the request is sent on a reused connection, the
// target reads it and closes, and the client sends it again because it assumes that the connection
// was stale.
TEST_F(connection_client, a_request_written_once_is_never_written_again) {
  run_target([&] {
    auto caller = target.accept();
    caller.read_until("card");
    caller.send(ok_answer);
    caller.read_until("card");
  });
  in_fiber([&] {
    EXPECT_TRUE(fetch().ok());
    const auto result = fetch();
    EXPECT_EQ(result.outcome, call_outcome::unknown);
    EXPECT_EQ(result.failure, call_failure::connection_lost);
  });
  EXPECT_FALSE(target.has_pending_connection());
}

TEST_F(connection_client, a_fresh_connection_is_made_on_request) {
  run_target([&] {
    auto first = target.accept();
    first.read_until("card");
    first.send(ok_answer);
    auto second = target.accept();
    second.read_until("card");
    second.send(ok_answer);
  });
  in_fiber([&] {
    EXPECT_TRUE(fetch().ok());
    EXPECT_EQ(client.idle_connections(), 1U);
    const http_request job{"POST", "/job", {}, "card", {}};
    const auto result =
        client.fetch(local(target.port()), job, test_deadline(), {}, {}, connection_use::fresh);
    EXPECT_TRUE(result.ok());
    EXPECT_EQ(client.idle_connections(), 1U);
  });
}

// Guards against a target that resets every new connection, so that calls that must not be repeated
// end as unknown. Calls that only use fresh connections must not leave them in the pool: they would
// never be reused, and accumulate until the target accepts no more.
TEST_F(connection_client, fresh_connections_do_not_fill_the_pool) {
  constexpr int calls = 20;
  run_target([&] {
    for (int i = 0; i < calls; ++i) {
      auto caller = target.accept();
      caller.read_until("card");
      caller.send(ok_answer);
    }
  });
  in_fiber([&] {
    const http_request job{"POST", "/job", {}, "card", {}};
    for (int i = 0; i < calls; ++i) {
      EXPECT_TRUE(
          client.fetch(local(target.port()), job, test_deadline(), {}, {}, connection_use::fresh)
              .ok());
    }
    EXPECT_EQ(client.idle_connections(), 0U);
  });
}

// Guards against an order that a node sends after its permission has expired. The permission
// expires while the call waits for its connection, so it has to be checked after the wait.
TEST_F(connection_client, a_call_whose_permit_expired_is_not_sent) {
  run_target([&] {
    auto caller = target.accept();
    EXPECT_EQ(caller.read_until("card").find("not permitted"), std::string::npos);
    caller.send(ok_answer);
  });
  in_fiber([&] {
    const http_request late{"POST", "/late", {{"X", "not permitted"}}, "", {}};
    const auto result =
        client.fetch(local(target.port()), late, test_deadline(), {}, [] { return false; });
    EXPECT_EQ(result.outcome, call_outcome::not_sent);
    EXPECT_EQ(result.failure, call_failure::not_permitted);
    EXPECT_TRUE(fetch().ok());
  });
}

// Guards against a caller that gets the response to another caller's request. The target sends two
// responses to one request, together or a little later, so the connection must not be reused.
TEST_F(connection_client, a_connection_with_unsolicited_bytes_is_not_reused) {
  awaitable_value<bool> sent_late;
  run_target([&] {
    auto at_once = target.accept();
    at_once.read_until("card");
    at_once.send(ok_answer + ok_answer);
    at_once.read_all();
    auto later = target.accept();
    later.read_until("card");
    later.send(ok_answer);
    later.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
    sent_late.set(true);
    auto last = target.accept();
    last.read_until("card");
    last.send(ok_answer);
  });
  in_fiber([&] {
    EXPECT_TRUE(fetch().ok());
    EXPECT_EQ(client.idle_connections(), 0U);
    EXPECT_TRUE(fetch().ok());
    EXPECT_TRUE(fiber_wait_until([&] { return sent_late.get(); }));
    EXPECT_EQ(fetch().response.body, "ok");
  });
}

// Guards against the unread rest of an abandoned response being parsed as the next response.
TEST_F(connection_client, an_abandoned_response_closes_its_connection) {
  run_target([&] {
    auto first = target.accept();
    first.read_until("card");
    first.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n");
    first.read_all();
    EXPECT_TRUE(first.was_reset());
    auto second = target.accept();
    second.read_until("card");
    second.send(ok_answer);
  });
  in_fiber([&] {
    const auto result = client.stream(
        local(target.port()), {"POST", "/", {}, "card", {}}, test_deadline(),
        [](int, const http_headers&) { return true; }, [](std::string_view) { return false; });
    EXPECT_EQ(result.outcome, call_outcome::unknown);
    EXPECT_EQ(result.failure, call_failure::abandoned);
    EXPECT_EQ(client.idle_connections(), 0U);
    EXPECT_EQ(fetch().response.body, "ok");
  });
}

TEST_F(connection_client, a_cancelled_call_is_seen_by_the_target) {
  const auto token = cancel_token::make();
  run_target([&] {
    auto caller = target.accept();
    caller.read_until("card");
    token.cancel();
    caller.read_all();
    EXPECT_TRUE(caller.was_reset());
  });
  in_fiber([&] {
    const auto result = fetch(test_deadline(), token);
    EXPECT_EQ(result.outcome, call_outcome::unknown);
    EXPECT_EQ(result.failure, call_failure::cancelled);
  });
}

TEST_F(connection_client, a_cancelled_request_resets_its_connection) {
  // Guards against targets that run requests seconds after their callers have left. During a
  // network partition a request is written to the connection, its caller leaves, and the request
  // arrives when the partition heals, because an orderly close delivers what was sent. So the
  // connection has to end with a reset, which drops data in transit.
  awaitable_value<bool> reset(false);
  run_target([&] {
    raw_connection peer = target.accept();
    peer.read_until(end_of_header);
    peer.read_all();
    reset.set(peer.was_reset());
  });
  in_fiber([&] {
    const auto token = cancel_token::make();
    runtime.post(0, [token] {
      sleep_until(monotonic_now() + 50ms);
      token.cancel();
    });
    EXPECT_EQ(fetch(test_deadline(), token).failure, call_failure::cancelled);
  });
  join();
  EXPECT_TRUE(reset.get());
}

TEST_F(connection_client, a_response_over_the_limit_fails_as_too_large) {
  http_client_limits limits;
  limits.max_body_bytes = 10;
  http_client limited_client(runtime, limits);
  run_target([&] {
    auto caller = target.accept();
    caller.read_until(end_of_header);
    caller.send("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n01234567890");
    caller.read_all();
  });
  in_fiber([&] {
    const auto result = limited_client.fetch(local(target.port()), {}, test_deadline());
    EXPECT_EQ(result.outcome, call_outcome::unknown);
    EXPECT_EQ(result.failure, call_failure::too_large);
  });
}

TEST_F(connection_client, skips_interim_responses_and_reads_to_the_end) {
  run_target([&] {
    auto caller = target.accept();
    caller.read_until("card");
    caller.send("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n\r\nup to the end");
  });
  in_fiber([&] {
    const auto result = fetch();
    EXPECT_TRUE(result.ok()) << result.detail;
    EXPECT_EQ(result.response.body, "up to the end");
    EXPECT_EQ(client.idle_connections(), 0U);
  });
}

// Guards against reporting a request that was refused for its size as unknown. The target responds
// with 413 after the header and closes while the body is being written; after the failed write the
// client has to read the response that has already arrived.
TEST_F(connection_client, a_response_before_the_end_of_the_request_counts) {
  http_server_limits limits;
  limits.max_body_bytes = 1000;
  http_server server(runtime, any_port, limits, [](const http_request&, response_writer&) {});
  const std::string body(16UL * 1024 * 1024, 'b');
  in_fiber([&] {
    const auto result =
        client.fetch(local(server.port()), {"POST", "/", {}, body, {}}, test_deadline());
    EXPECT_TRUE(result.ok()) << to_string(result.failure) << " " << result.detail;
    EXPECT_EQ(result.response.status, 413);
    EXPECT_EQ(client.idle_connections(), 0U);
  });
}

TEST_F(connection_client, idle_connections_expire) {
  http_client_limits limits;
  limits.idle_expiry = 20ms;
  http_client short_lived(runtime, limits);
  run_target([&] {
    auto caller = target.accept();
    caller.read_until(end_of_header);
    caller.send(ok_answer);
    caller.read_all();
    EXPECT_TRUE(caller.ended());
  });
  in_fiber([&] { EXPECT_TRUE(short_lived.fetch(local(target.port()), {}, test_deadline()).ok()); });
  join();
  in_fiber([&] { EXPECT_EQ(short_lived.idle_connections(), 0U); });
}

}  // namespace
}  // namespace arbutus
